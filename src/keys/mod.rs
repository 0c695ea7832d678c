//! Small copyable keys that identify things across processes, and the clock and time points of a host.

mod attempt_id;
mod host_clock;
mod incarnation_id;
mod keyed_hash;
mod name_key;
mod request_key;
mod time_point;

pub use attempt_id::AttemptId;
pub use host_clock::HostClock;
pub use incarnation_id::IncarnationId;
pub use keyed_hash::{KeyedHash, keyed_hash};
pub use name_key::{IdKey, NameKey, OrgKey, PartKey, ServerKey, VersionKey};
pub use request_key::{RequestContents, RequestHasher, RequestKey};
pub use time_point::TimePoint;

/// 64-bit FNV-1a hash; stable across hosts and versions, unlike the standard library's hasher.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Mixes two hashes into one with full avalanche (the finisher of splitmix64).
pub fn mix_hash(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
