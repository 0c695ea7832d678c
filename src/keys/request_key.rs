use super::{KeyedHash, OrgKey, keyed_hash};
use hmac::Mac;
use serde::{Deserialize, Serialize};

/// Domain separation from other hashes made with the hosts' shared key.
const PURPOSE: &[u8] = b"request-contents";

/// Key of a request's contents: the same for each attempt, regardless of the host and the request id.
///
/// It is eight bytes of a keyed hash: nobody without the shared key can create two requests with the same key.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct RequestKey(pub u64);

impl std::fmt::Display for RequestKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The contents that identify a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestContents<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name in the request.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Organisation that holds the caller's key, if any.
    pub caller: Option<OrgKey>,
    /// Request body.
    pub body: &'a [u8],
}

/// Computes keys of requests; hosts that share a key compute the same ones.
#[derive(Clone)]
pub struct RequestHasher(KeyedHash);

impl std::fmt::Debug for RequestHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RequestHasher(..)")
    }
}

impl RequestHasher {
    /// Creates a hasher for hosts that share `shared_key`.
    pub fn new(shared_key: &str) -> Self {
        let mut hash = keyed_hash(shared_key);
        hash.update(PURPOSE);
        Self(hash)
    }

    /// Computes the key of a request's contents.
    pub fn key(&self, contents: &RequestContents<'_>) -> RequestKey {
        let mut hash = self.0.clone();
        for part in [contents.method, contents.host, contents.path] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        let caller = contents.caller.map(|caller| caller.0.to_le_bytes());
        hash.update(&[u8::from(caller.is_some())]);
        hash.update(&caller.unwrap_or_default());
        hash.update(contents.body);
        let whole = hash.finalize().into_bytes();
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&whole[..size_of::<u64>()]);
        RequestKey(u64::from_le_bytes(bytes))
    }
}
