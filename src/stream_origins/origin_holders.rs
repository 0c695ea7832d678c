use super::StreamKey;
use crate::keys::NameKey;
use crate::membership::MemberUpdate;
use crate::placement::rendezvous_rank;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Number of hosts that are told of a stream. With three, the loss of a failure domain or of a third of all hosts leaves
/// nearly every stream known.
pub const ORIGIN_HOLDERS: usize = 3;

/// The hosts that hold the origin of a stream, best first; the first [`ORIGIN_HOLDERS`] of them are told.
///
/// They alternate between failure domains, so that the loss of one domain leaves other holders. Hosts that know the same
/// members agree on the order, and a member that comes or goes changes it in one place only.
pub fn origin_holders(
    stream: StreamKey,
    members: impl Iterator<Item = MemberUpdate>,
) -> Vec<MemberUpdate> {
    let mut ranked: Vec<MemberUpdate> = members.collect();
    ranked.sort_by_cached_key(|member| {
        Reverse((rendezvous_rank(stream.0, member.incarnation.0), member.incarnation))
    });
    let mut seen: HashMap<NameKey, usize> = HashMap::new();
    let mut rounds: Vec<(usize, u64, MemberUpdate)> = Vec::with_capacity(ranked.len());
    for member in ranked {
        let round = seen.entry(member.domain).or_default();
        rounds.push((*round, rendezvous_rank(stream.0, member.domain.0), member));
        *round += 1;
    }
    rounds.sort_by_key(|(round, domain_rank, _)| (*round, Reverse(*domain_rank)));
    rounds.into_iter().map(|(_, _, member)| member).collect()
}
