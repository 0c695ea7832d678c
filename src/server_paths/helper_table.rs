use super::TunnelRefusal;
use crate::keys::{NameKey, TimePoint, mix_hash};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most hosts that are asked for one connection. Those that cannot help reply within a round trip, and are not asked again
/// for the next connections.
const MAX_HELPERS: usize = 4;
/// How long a host that could not help is not asked again. A host that has lost its paths usually lacks them for seconds.
const REFUSAL_PAUSE: Duration = Duration::from_millis(1000);
/// The same for a host that did not reply, or through which nothing came: to find that out cost a request its time.
const SILENCE_PAUSE: Duration = Duration::from_millis(3000);
/// How long a host that opened a connection is preferred to those of which nothing is known.
const SERVED_TIME: Duration = Duration::from_secs(5);
/// Hosts that opened connections lately, from which on no further ones are tried out: they share this host's requests.
const ENOUGH_HELPERS: usize = 3;
/// One in so many connections is opened through a host of which nothing is known, until enough are known.
const TRYOUT_INTERVAL: u64 = 8;

/// A host that may forward connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Helper {
    /// Address at which hosts reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: NameKey,
}

/// What is known of one host.
#[derive(Debug, Clone, Copy, Default)]
struct HelperRecord {
    served_at: Option<TimePoint>,
    refused_until: Option<TimePoint>,
}

impl HelperRecord {
    fn served_lately(&self, now: TimePoint) -> bool {
        self.served_at.is_some_and(|at| now.since(at) < SERVED_TIME)
    }

    fn is_refusing(&self, now: TimePoint) -> bool {
        self.refused_until.is_some_and(|until| now < until)
    }
}

/// Hosts that forwarded connections for this host, or could not.
#[derive(Debug, Clone, Default)]
pub struct HelperTable {
    records: HashMap<SocketAddr, HelperRecord>,
}

impl HelperTable {
    /// Selects the hosts to ask for one connection, in order.
    ///
    /// Those that helped lately come first, those of this host's failure domain before others, since a connection that
    /// crosses domains is longer and is lost with the link. Among hosts of which nothing is known, the domains take turns: a domain may have lost all of its
    /// paths. `draw` is a random number that spreads the load of several hosts over all that can help.
    pub fn select(
        &self,
        now: TimePoint,
        candidates: &[Helper],
        own_domain: NameKey,
        draw: u64,
    ) -> Vec<SocketAddr> {
        let record =
            |helper: &Helper| self.records.get(&helper.address).copied().unwrap_or_default();
        let usable = candidates.iter().filter(|helper| !record(helper).is_refusing(now));
        let (mut proven, mut unknown): (Vec<&Helper>, Vec<&Helper>) =
            usable.partition(|helper| record(helper).served_lately(now));
        proven.sort_by_key(|helper| (helper.domain != own_domain, random_rank(draw, helper)));
        unknown.sort_by_key(|helper| random_rank(draw, helper));
        let unknown = by_turns(&unknown, own_domain);
        let tries_out = proven.len() < ENOUGH_HELPERS && draw.is_multiple_of(TRYOUT_INTERVAL);
        let (first, second) = if tries_out { (unknown, proven) } else { (proven, unknown) };
        let ordered = first.into_iter().chain(second);
        ordered.take(MAX_HELPERS).map(|helper| helper.address).collect()
    }

    /// Records that a host opened a connection.
    pub fn record_opened(&mut self, now: TimePoint, helper: SocketAddr) {
        self.records.insert(helper, HelperRecord { served_at: Some(now), refused_until: None });
    }

    /// Records that a host did not open a connection.
    pub fn record_refused(&mut self, now: TimePoint, helper: SocketAddr, refusal: TunnelRefusal) {
        if refusal.concerns_helper() {
            self.pause(now + REFUSAL_PAUSE, helper);
        }
    }

    /// Records that a host did not reply, or that nothing came through a connection that it opened.
    pub fn record_silent(&mut self, now: TimePoint, helper: SocketAddr) {
        self.pause(now + SILENCE_PAUSE, helper);
    }

    fn pause(&mut self, until: TimePoint, helper: SocketAddr) {
        self.records.insert(helper, HelperRecord { served_at: None, refused_until: Some(until) });
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: TimePoint) {
        self.records.retain(|_, record| record.served_lately(now) || record.is_refusing(now));
    }
}

fn random_rank(draw: u64, helper: &Helper) -> u64 {
    let port = u64::from(helper.address.port());
    let machine = match helper.address.ip() {
        std::net::IpAddr::V4(address) => u64::from(address.to_bits()),
        std::net::IpAddr::V6(address) => address.to_bits() as u64,
    };
    mix_hash(draw, mix_hash(machine, port))
}

/// Reorders hosts so that failure domains alternate, beginning with `own_domain`.
fn by_turns<'a>(helpers: &[&'a Helper], own_domain: NameKey) -> Vec<&'a Helper> {
    let mut turns: HashMap<NameKey, usize> = HashMap::new();
    let mut placed: Vec<(usize, bool, &Helper)> = helpers
        .iter()
        .map(|helper| {
            let turn = turns.entry(helper.domain).or_default();
            *turn += 1;
            (*turn, helper.domain != own_domain, *helper)
        })
        .collect();
    placed.sort_by_key(|(turn, is_remote, _)| (*turn, *is_remote));
    placed.into_iter().map(|(_, _, helper)| helper).collect()
}
