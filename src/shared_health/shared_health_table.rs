use super::host_failure::HostFailure;
use super::own_observations::OwnObservations;
use super::service_majority::{is_majority, majority_services};
use super::suspect_server::{SuspectServer, TrialTurn};
use super::{
    HealthChange, HealthChangeKind, OutgoingReport, PoolStandings, ServerObservation,
    ServerStanding,
};
use crate::fleet::{FleetView, ServerEntry};
use crate::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use crate::placement::{ServerEvent, rendezvous_rank};
use crate::routes::ServiceKey;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// A host whose clock jumps by this much was suspended: its state and the datagrams in its socket are out of date. Busy
/// hosts with 0.12 of a core pause for about 0.1 s at a time, which must not count.
const SUSPENSION_GAP: Duration = Duration::from_secs(1);
/// A host that pauses this long may mistake its own pause for the silence of a server: it considers a server silent
/// after 0.2 s without an answer to a hold request.
const STALL_GAP: Duration = Duration::from_millis(150);
/// How long after a pause a host ignores silence and, after a suspension, the reports in its socket.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// How long the version of a host's last report is kept: longer than a datagram may be late.
const VERSION_RETENTION: Duration = Duration::from_secs(30);

/// What all hosts observed of backend servers.
///
/// A server that two hosts report within [`REPORT_TTL`](super::REPORT_TTL) is excluded at all hosts, until one host tries it with success.
/// Reports count only at hosts of the reporter's failure domain and, for servers of that domain, everywhere: failures
/// across a broken link between two domains are no evidence for a third.
#[derive(Debug)]
pub struct SharedHealth {
    pub(super) own: IncarnationId,
    pub(super) domain: NameKey,
    pub(super) suspects: HashMap<ServerKey, SuspectServer>,
    /// Version of the last report of each host, and when it arrived.
    pub(super) versions: HashMap<IncarnationId, (u32, TimePoint)>,
    observations: OwnObservations,
    ticked_at: Option<TimePoint>,
    /// Until when silence of servers is not counted, since this host paused.
    stalled_until: TimePoint,
    /// Until when reports are not counted, since this host was suspended.
    pub(super) suspended_until: TimePoint,
}

impl SharedHealth {
    /// The state of a host `own` in the failure domain `domain`.
    pub fn new(own: IncarnationId, domain: NameKey) -> Self {
        Self {
            own,
            domain,
            suspects: HashMap::new(),
            versions: HashMap::new(),
            observations: OwnObservations::default(),
            ticked_at: None,
            stalled_until: TimePoint::CLOCK_START,
            suspended_until: TimePoint::CLOCK_START,
        }
    }

    /// Records the outcome of a step of a call of this host to a server. What it means for others goes into the next
    /// [`Self::due_report`].
    pub fn record_own(
        &mut self,
        now: TimePoint,
        server: &ServerEntry,
        event: ServerEvent,
        fleet: &FleetView,
    ) -> Vec<HealthChange> {
        self.detect_pause(now);
        let key = server.key();
        let change = match event {
            ServerEvent::Sent => {
                self.suspects.get_mut(&key).and_then(|known| known.record_sent(now))
            }
            ServerEvent::Answered | ServerEvent::Errored | ServerEvent::OutOfTime => {
                if let Some(known) = self.suspects.get_mut(&key) {
                    known.record_no_result();
                }
                None
            }
            ServerEvent::Served => self.record_own_success(now, server),
            ServerEvent::BrokeOff => {
                return self.record_own_failure(now, server, ServerObservation::BrokeOff, fleet);
            }
            ServerEvent::Unresponsive => {
                if now < self.stalled_until {
                    return Vec::new();
                }
                let silence = ServerObservation::Unresponsive;
                return self.record_own_failure(now, server, silence, fleet);
            }
        };
        change.map(|kind| HealthChange { server: key, kind }).into_iter().collect()
    }

    fn record_own_success(
        &mut self,
        now: TimePoint,
        server: &ServerEntry,
    ) -> Option<HealthChangeKind> {
        let key = server.key();
        let Some(known) = self.suspects.get_mut(&key) else {
            self.observations.drop_refuted(now, key);
            return None;
        };
        if !known.is_proved_by_answer(now) {
            // A failure that was withheld as this host's own fault is not known to the table.
            if !known.has_failure_of(self.own) {
                self.observations.drop_refuted(now, key);
            }
            return None;
        }
        let is_local = server.domain == self.domain;
        if self.observations.add(now, key, ServerObservation::Served, is_local, true) {
            self.observations.mark_changed(is_local);
        }
        known.record_served(now, now, false)
    }

    fn record_own_failure(
        &mut self,
        now: TimePoint,
        server: &ServerEntry,
        observation: ServerObservation,
        fleet: &FleetView,
    ) -> Vec<HealthChange> {
        let key = server.key();
        if !fleet.is_ready(key) {
            return Vec::new();
        }
        let known = self.suspects.entry(key).or_insert_with(|| SuspectServer::new(server.domain));
        // Others have reported it, and this host does not make the trial.
        let is_trial = known.is_on_trial(now);
        if known.is_excluded() && !is_trial {
            return Vec::new();
        }
        let is_local = server.domain == self.domain;
        let is_new_to_others = is_trial || !known.has_failure_of(self.own);
        let was_own_fault = self.is_own_fault(now, server.service, fleet);
        let is_due = self.observations.add(now, key, observation, is_local, is_new_to_others);
        if self.is_own_fault(now, server.service, fleet) {
            if !was_own_fault {
                // The next report leaves the service out, which withdraws earlier ones at all hosts.
                self.observations.mark_changed(true);
            }
            return self.withdraw_service(now, self.own, server.service, fleet);
        }
        if is_due {
            self.observations.mark_changed(is_local);
        }
        let failure = HostFailure { domain: self.domain, at: now };
        let known = self.suspects.get_mut(&key);
        let kind = known.and_then(|known| known.record_failure(now, self.own, failure));
        kind.map(|kind| HealthChange { server: key, kind }).into_iter().collect()
    }

    /// Whether more than half of a service's servers fail for this host, so that the fault is probably its own.
    fn is_own_fault(&self, now: TimePoint, service: ServiceKey, fleet: &FleetView) -> bool {
        let failed: HashSet<ServerKey> = self.observations.failed(now).collect();
        is_majority(&failed, service, fleet)
    }

    /// The report to send now, if one is due.
    pub fn due_report(&mut self, now: TimePoint, fleet: &FleetView) -> Option<OutgoingReport> {
        if !self.observations.is_report_due(now) {
            return None;
        }
        let failed: HashSet<ServerKey> = self.observations.failed(now).collect();
        let at_fault = majority_services(&failed, fleet);
        let is_withheld = |key: ServerKey| {
            failed.contains(&key)
                && fleet.entry(key).is_none_or(|entry| at_fault.contains(&entry.service))
        };
        self.observations.due_report(now, self.own, is_withheld)
    }

    /// Standings of the servers of one pool: the ready servers of a service and stage. `is_usable` tells whether this
    /// host's own breakers admit a server, and `hosts` returns the living hosts of a failure domain.
    ///
    /// At most half of the pool is excluded, counting servers that are not usable, and never its last server. Beyond
    /// that, failed servers are used last.
    pub fn standings<'a>(
        &self,
        now: TimePoint,
        pool: impl Iterator<Item = &'a ServerEntry>,
        is_usable: impl Fn(&ServerEntry) -> bool,
        hosts: impl Fn(NameKey) -> Vec<IncarnationId>,
    ) -> PoolStandings {
        let mut standings = PoolStandings::default();
        if self.suspects.is_empty() {
            return standings;
        }
        let (mut size, mut unusable, mut excluded) = (0_usize, 0_usize, Vec::new());
        for server in pool {
            size += 1;
            if !is_usable(server) {
                unusable += 1;
                continue;
            }
            let key = server.key();
            let Some(known) = self.suspects.get(&key) else { continue };
            match known.exclusion_rank() {
                Some(rank) => excluded.push((rank, key, server.domain, known)),
                None => standings.insert(key, known.standing(now, |_| None)),
            }
        }
        excluded.sort_by_key(|(rank, key, _, _)| (*rank, *key));
        let limit = (size / 2).saturating_sub(unusable);
        for (index, (_, key, domain, known)) in excluded.into_iter().enumerate() {
            let turn = |is_own_domain_only: bool| {
                // Without a living host in the server's domain, each other domain makes its own trial.
                let of_server = if is_own_domain_only { Vec::new() } else { hosts(domain) };
                let candidates = if of_server.is_empty() { hosts(self.domain) } else { of_server };
                trial_turn(key, self.own, &candidates)
            };
            let standing =
                if index < limit { known.standing(now, turn) } else { ServerStanding::LastResort };
            standings.insert(key, standing);
        }
        standings
    }

    /// Whether a server is excluded.
    pub fn is_excluded(&self, server: ServerKey) -> bool {
        self.suspects.get(&server).is_some_and(SuspectServer::is_excluded)
    }

    /// When the next trial of a server may be made, if it is excluded.
    pub fn trial_due_at(&self, server: ServerKey) -> Option<TimePoint> {
        self.suspects.get(&server).and_then(SuspectServer::trial_due_at)
    }

    /// Whether a server is not excluded, but a host reports a failure.
    pub fn is_doubtful(&self, now: TimePoint, server: ServerKey) -> bool {
        let known = self.suspects.get(&server);
        known.is_some_and(|known| !known.is_excluded() && known.reporters(now) > 0)
    }

    /// Forgets a server incarnation that has ended.
    pub fn forget(&mut self, server: ServerKey) {
        self.suspects.remove(&server);
        self.observations.remove(server);
    }

    /// Drops what has expired, and detects pauses of this host. Called several times a second.
    pub fn tick(&mut self, now: TimePoint, fleet: &FleetView) -> Vec<HealthChange> {
        self.detect_pause(now);
        self.observations.expire(now);
        self.versions.retain(|_, (_, at)| now.since(*at) < VERSION_RETENTION);
        let mut changes = Vec::new();
        for (key, known) in &mut self.suspects {
            let kind = known.expire(now);
            changes.extend(kind.map(|kind| HealthChange { server: *key, kind }));
        }
        self.suspects
            .retain(|key, known| fleet.entry(*key).is_some() && !known.is_forgettable(now));
        self.ticked_at = Some(now);
        changes
    }

    /// Checks whether this host paused since its last tick.
    pub(super) fn detect_pause(&mut self, now: TimePoint) {
        let pause = self.ticked_at.map(|at| now.since(at)).unwrap_or_default();
        if pause >= STALL_GAP {
            self.stalled_until = now + SETTLE_TIME;
        }
        if pause >= SUSPENSION_GAP {
            self.suspended_until = now + SETTLE_TIME;
            self.suspects.clear();
            self.observations = self.observations.without_observations();
        }
    }
}

/// The turn of `own` among the hosts that try a server, in rendezvous order; equal at all hosts that know the same
/// hosts.
fn trial_turn(server: ServerKey, own: IncarnationId, hosts: &[IncarnationId]) -> Option<TrialTurn> {
    let rank = |host: IncarnationId| (rendezvous_rank(server.0, host.0), host);
    let own_rank = rank(own);
    hosts.contains(&own).then(|| TrialTurn {
        place: hosts.iter().filter(|host| rank(**host) > own_rank).count(),
        hosts: hosts.len(),
    })
}
