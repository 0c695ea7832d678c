use serde_json::{Value, json};

/// What an object of a stand-in store holds.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ObjectBody {
    /// Contents in JSON.
    Spec(Value),
    /// Contents that may be no JSON.
    RawSpec(Vec<u8>),
    /// All of the object, its metadata included.
    RawItem(Vec<u8>),
}

impl ObjectBody {
    /// The object as it stands in answers.
    pub(super) fn item(&self, name: &str, revision: u64) -> Vec<u8> {
        match self {
            Self::Spec(spec) => item_of(name, revision, spec.to_string().as_bytes()),
            Self::RawSpec(spec) => item_of(name, revision, spec),
            Self::RawItem(item) => item.clone(),
        }
    }
}

/// Bytes between a beginning and an end.
pub(super) fn wrapped(begin: &str, bytes: &[u8], end: &str) -> Vec<u8> {
    [begin.as_bytes(), bytes, end.as_bytes()].concat()
}

fn item_of(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let metadata =
        json!({"name": name, "revision": revision, "made": 1, "finalizers": [], "deleting": false});
    let begin = format!("{{\"metadata\":{metadata},\"spec\":");
    wrapped(&begin, spec, ",\"status\":null}")
}
