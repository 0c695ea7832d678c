use serde_json::{Value, json};

/// The contents of an object in a stand-in store.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ObjectBody {
    /// A spec in JSON.
    Spec(Value),
    /// The bytes of a spec, which need not be JSON.
    RawSpec(Vec<u8>),
    /// The bytes of the whole object, including its metadata.
    RawItem(Vec<u8>),
}

impl ObjectBody {
    /// The object as encoded in responses.
    pub(super) fn item(&self, name: &str, revision: u64) -> Vec<u8> {
        match self {
            Self::Spec(spec) => encode_item(name, revision, spec.to_string().as_bytes()),
            Self::RawSpec(spec) => encode_item(name, revision, spec),
            Self::RawItem(item) => item.clone(),
        }
    }
}

/// Concatenates a prefix, bytes and a suffix.
pub(super) fn enclose(begin: &str, bytes: &[u8], end: &str) -> Vec<u8> {
    [begin.as_bytes(), bytes, end.as_bytes()].concat()
}

fn encode_item(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let metadata =
        json!({"name": name, "revision": revision, "made": 1, "finalizers": [], "deleting": false});
    let begin = format!("{{\"metadata\":{metadata},\"spec\":");
    enclose(&begin, spec, ",\"status\":null}")
}
