//! What makes two requests the same one.

use rstest::rstest;
use tealcleat::keys::{OrgKey, RequestContents, RequestHasher};

const CONTENTS: RequestContents<'_> =
    RequestContents { method: "POST", host: "a.example", path: "/x?y=1", caller: None, body: b"z" };

#[rstest]
#[case::method(RequestContents { method: "PUT", ..CONTENTS })]
#[case::host(RequestContents { host: "b.example", ..CONTENTS })]
#[case::path(RequestContents { path: "/x?y=2", ..CONTENTS })]
#[case::border(RequestContents { host: "a.example/", path: "x?y=1", ..CONTENTS })]
#[case::caller(RequestContents { caller: Some(OrgKey::of("hanbit")), ..CONTENTS })]
#[case::body(RequestContents { body: b"", ..CONTENTS })]
fn contents_differ_in_one_part(#[case] other: RequestContents<'_>) {
    let hasher = RequestHasher::new("a-shared-key");
    assert_ne!(hasher.key(&CONTENTS), hasher.key(&other));
    assert_eq!(hasher.key(&CONTENTS), RequestHasher::new("a-shared-key").key(&CONTENTS));
    assert_ne!(hasher.key(&CONTENTS), RequestHasher::new("another-key").key(&CONTENTS));
}
