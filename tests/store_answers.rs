//! A store that sends an answer twice, the second time late.
//!
//! With every answer duplicated, a read of one object returned another object, a refused write counted as written, and
//! a listing of one kind was empty. Answers of the store identify neither their call nor their kind, so on a reused
//! connection the copy of one answer took the place of the next call's answer. A lease or claim that was never written
//! would have been accepted.

use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{DuplicateLink, DuplicatePlan, SiteStore};
use tealcleat::platform::{ListAge, StoreClient, WriteOutcome};

mod site_common;

use site_common::runtime;

const LIMIT: Duration = Duration::from_secs(10);

/// Starts a store with two objects of a kind, and a client that reaches it over a link that can duplicate answers.
async fn duplicating_store() -> (Arc<SiteStore>, DuplicateLink, StoreClient) {
    let store = Arc::new(SiteStore::default());
    let address = store.serve().await.expect("an address");
    store.change(|objects| objects.set("claims", "a", json!({"of": "a"})));
    store.change(|objects| objects.set("claims", "b", json!({"of": "b"})));
    let link = DuplicateLink::start(address).await.expect("a link");
    let client = StoreClient::new(link.address);
    (store, link, client)
}

#[test]
fn store_read_returns_its_own_object_after_duplicate_answer() {
    runtime().block_on(async {
        let (_store, link, client) = duplicating_store().await;
        link.duplicate(DuplicatePlan { request_contains: "claims/a", times: 1 });
        for name in ["a", "b"] {
            let object = client.read("claims", name, LIMIT).await.expect("an answer");
            assert_eq!(object.map(|object| object.name).as_deref(), Some(name));
        }
        assert_eq!(link.remaining(), 0, "nothing was answered twice");
    });
}

#[test]
fn store_refused_write_is_a_conflict_after_duplicate_answer() {
    runtime().block_on(async {
        let (_store, link, client) = duplicating_store().await;
        link.duplicate(DuplicatePlan { request_contains: "post ", times: 1 });
        let made = client.write("claims", "c", None, &json!({"of": "c"}), LIMIT).await;
        assert!(matches!(made, WriteOutcome::Written(_)), "{made:?}");
        let refused = client.write("claims", "a", Some(9999), &json!({"of": "x"}), LIMIT).await;
        assert_eq!(refused, WriteOutcome::Conflict);
        assert_eq!(link.remaining(), 0, "nothing was answered twice");
    });
}

#[test]
fn store_list_returns_its_own_kind_after_duplicate_answer() {
    runtime().block_on(async {
        let (_store, link, client) = duplicating_store().await;
        link.duplicate(DuplicatePlan { request_contains: "objects/config", times: 1 });
        let none = client.list("config", ListAge::Newest, LIMIT).await.expect("an answer");
        assert!(none.items.is_empty());
        let claims = client.list("claims", ListAge::Newest, LIMIT).await.expect("an answer");
        assert_eq!(claims.items.len(), 2);
        assert_eq!(link.remaining(), 0, "nothing was answered twice");
    });
}

/// Pages after the first one share a connection. The copy of a page of one listing must not be accepted as a page of
/// the next listing.
#[test]
fn store_list_contains_no_page_of_the_previous_list() {
    runtime().block_on(async {
        let (store, link, client) = duplicating_store().await;
        for number in 0..9 {
            store.change(|objects| objects.set("many", &format!("many-{number}"), json!(number)));
        }
        link.duplicate(DuplicatePlan { request_contains: "after=many-5", times: 1 });
        for _ in 0..2 {
            let list = client.list("many", ListAge::Newest, LIMIT).await.expect("an answer");
            assert_eq!(list.items.len(), 9);
        }
        assert_eq!(link.remaining(), 0, "nothing was answered twice");
    });
}
