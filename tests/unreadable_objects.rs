//! Unreadable objects are logged once for each change of them.

use tealcleat::gateway::UnreadableObjects;
use tealcleat::platform::UnreadableObject;

fn object(name: Option<&str>, revision: u64, cause: &str) -> UnreadableObject {
    UnreadableObject { name: name.map(str::to_owned), revision, cause: cause.to_owned() }
}

#[test]
fn object_is_new_once_for_each_change() {
    let mut objects = UnreadableObjects::default();
    assert!(objects.insert(&object(Some("a"), 7, "no state")));
    assert!(!objects.insert(&object(Some("a"), 7, "no state")), "a listing returns it again");
    assert!(objects.insert(&object(Some("a"), 8, "no state")), "the object changed");
    assert!(objects.insert(&object(Some("b"), 7, "no state")));
}

#[test]
fn nameless_objects_are_distinguished_by_cause() {
    let mut objects = UnreadableObjects::default();
    assert!(objects.insert(&object(None, 0, "no object")));
    assert!(!objects.insert(&object(None, 0, "no object")));
    assert!(objects.insert(&object(None, 0, "no text")));
}

/// Another writer may create any number of unreadable objects.
#[test]
fn memory_is_bounded() {
    let mut objects = UnreadableObjects::default();
    for revision in 0..100_000 {
        assert!(objects.insert(&object(Some("a"), revision, "no state")));
        assert!(!objects.insert(&object(Some("a"), revision, "no state")));
    }
    assert!(objects.insert(&object(Some("a"), 0, "no state")), "the oldest one was not dropped");
}
