//! Which parts of a request determine its key.

use rstest::rstest;
use tealcleat::keys::{OrgKey, RequestContents, RequestHasher};

const CONTENTS: RequestContents<'_> =
    RequestContents { method: "POST", host: "a.example", path: "/x?y=1", caller: None, body: b"z" };

#[rstest]
#[case::method(RequestContents { method: "PUT", ..CONTENTS })]
#[case::host(RequestContents { host: "b.example", ..CONTENTS })]
#[case::path(RequestContents { path: "/x?y=2", ..CONTENTS })]
#[case::boundary(RequestContents { host: "a.example/", path: "x?y=1", ..CONTENTS })]
#[case::caller(RequestContents { caller: Some(OrgKey::of("hanbit")), ..CONTENTS })]
#[case::body(RequestContents { body: b"", ..CONTENTS })]
fn request_key_depends_on_each_part(#[case] other: RequestContents<'_>) {
    let hasher = RequestHasher::new("a-shared-key");
    assert_ne!(hasher.key(&CONTENTS), hasher.key(&other));
    assert_eq!(hasher.key(&CONTENTS), RequestHasher::new("a-shared-key").key(&CONTENTS));
    assert_ne!(hasher.key(&CONTENTS), RequestHasher::new("another-key").key(&CONTENTS));
}
