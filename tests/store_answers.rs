//! A store that gives an answer twice, the second time late.
//!
//! What was seen: with each answer given twice, a read of one object brought another, a refused write counted as
//! written, and a list of one kind came empty. How it came about: answers of the store name neither call nor
//! kind, and the copy of one stood where the next call's should on the connection that was kept. Cause: the same
//! as for answers of backend servers. A lease or claim that was not written would be believed.

use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{DuplicateLink, DuplicatePlan, SiteStore};
use tealcleat::platform::{ListAge, StoreClient, WriteOutcome};

mod site_common;

use site_common::runtime;

const LIMIT: Duration = Duration::from_secs(10);

/// A store with two objects of a kind, and a client that reaches it over a link that can give answers twice.
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
fn store_read_brings_its_own_object_after_one_given_twice() {
    runtime().block_on(async {
        let (_store, link, client) = duplicating_store().await;
        link.duplicate(DuplicatePlan { request_has: "claims/a", times: 1 });
        for name in ["a", "b"] {
            let object = client.read("claims", name, LIMIT).await.expect("an answer");
            assert_eq!(object.map(|object| object.name).as_deref(), Some(name));
        }
        assert_eq!(link.left(), 0, "nothing was answered twice");
    });
}

#[test]
fn store_write_that_was_refused_is_no_write_after_one_answered_twice() {
    runtime().block_on(async {
        let (_store, link, client) = duplicating_store().await;
        link.duplicate(DuplicatePlan { request_has: "post ", times: 1 });
        let made = client.write("claims", "c", None, &json!({"of": "c"}), LIMIT).await;
        assert!(matches!(made, WriteOutcome::Written(_)), "{made:?}");
        let refused = client.write("claims", "a", Some(9999), &json!({"of": "x"}), LIMIT).await;
        assert_eq!(refused, WriteOutcome::Conflict);
        assert_eq!(link.left(), 0, "nothing was answered twice");
    });
}

#[test]
fn store_list_brings_its_own_kind_after_one_given_twice() {
    runtime().block_on(async {
        let (_store, link, client) = duplicating_store().await;
        link.duplicate(DuplicatePlan { request_has: "objects/config", times: 1 });
        let none = client.list("config", ListAge::Newest, LIMIT).await.expect("an answer");
        assert!(none.items.is_empty());
        let claims = client.list("claims", ListAge::Newest, LIMIT).await.expect("an answer");
        assert_eq!(claims.items.len(), 2);
        assert_eq!(link.left(), 0, "nothing was answered twice");
    });
}

/// Pages after the first one share a connection; the copy of one listing's page may not pass for the next
/// listing's.
#[test]
fn store_listing_holds_no_page_of_the_one_before() {
    runtime().block_on(async {
        let (store, link, client) = duplicating_store().await;
        for number in 0..9 {
            store.change(|objects| objects.set("many", &format!("many-{number}"), json!(number)));
        }
        link.duplicate(DuplicatePlan { request_has: "after=many-5", times: 1 });
        for _ in 0..2 {
            let list = client.list("many", ListAge::Newest, LIMIT).await.expect("an answer");
            assert_eq!(list.items.len(), 9);
        }
        assert_eq!(link.left(), 0, "nothing was answered twice");
    });
}
