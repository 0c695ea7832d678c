//! What hosts of the limit world ask, grant, lend and tell each other.

use super::InjectedBug;
use super::limit_parts::{OpenAsk, ParcelBody};
use super::limit_world::{ANSWER_LIMIT, BOUNDS, DOMAINS, LimitWorld, org};
use super::world_host::domain_key;
use super::world_net::Parcel;
use crate::keys::{IncarnationId, NameKey};
use crate::limits::{LimitReply, LimitRequest, LimitShare, OwnerChoice, choose_owner};
use crate::membership::MemberUpdate;
use rand::Rng;
use std::time::Duration;

impl LimitWorld {
    pub fn ask_owner(&mut self, place: usize, ask: LimitRequest) {
        match self.owner(place, self.hosts[place].update.domain) {
            OwnerChoice::Own => {
                let answer = self.grant(place, self.hosts[place].update.incarnation, &ask);
                self.hear(place, &ask, &answer);
            }
            OwnerChoice::Other(owner) => {
                let until = self.now + ANSWER_LIMIT;
                self.open.push(OpenAsk { host: place, owner: owner.incarnation, ask, until });
                self.send(place, owner, ParcelBody::Ask(ask));
            }
            OwnerChoice::Unknown => self.use_alone(place, &ask),
        }
    }

    fn place_of(&self, host: MemberUpdate) -> usize {
        usize::try_from(host.incarnation.0).unwrap_or_default() % self.hosts.len()
    }

    pub fn owner(&self, place: usize, domain: NameKey) -> OwnerChoice {
        let host = &self.hosts[place];
        let living = host.living(self.now, domain);
        let (age, own) = (host.age(self.now), host.update.incarnation);
        choose_owner(age, org(), own, host.is_alone(), living.into_iter(), &host.silent)
    }

    fn share(&self, place: usize) -> LimitShare {
        let share = LimitShare::for_domain(&self.limit, &BOUNDS);
        let (seen, known) = self.hosts[place].domain_hosts(self.now);
        if self.bug == InjectedBug::GrantWholeShare { share } else { share.scaled(seen, known) }
    }

    pub fn grant(&mut self, place: usize, from: IncarnationId, ask: &LimitRequest) -> LimitReply {
        let (mut share, age) = (self.share(place), self.hosts[place].age(self.now));
        let is_owner = self.owner(place, self.hosts[place].update.domain) == OwnerChoice::Own;
        if !is_owner {
            share.initial = 0.0;
        }
        let is_settled = is_owner
            && self.hosts[place].is_settled(self.now, BOUNDS.window)
            && self.hosts[place].tools.ledger.term().lasts_for(age, BOUNDS.window);
        let ledger = &mut self.hosts[place].tools.ledger;
        let answer = ledger.receive(age, from, ask, &share, is_settled);
        if ledger.wants_loan(age, org(), &share) {
            self.ask_loans(place, &share);
        }
        answer
    }

    /// A host looks after the account that it has as the owner.
    pub fn look_after_account(&mut self, place: usize) {
        let is_owner = self.owner(place, self.hosts[place].update.domain) == OwnerChoice::Own;
        let host = &mut self.hosts[place];
        let (age, looked_at) = (host.age(self.now), host.tools.ledger.term().renewed_at());
        // Its own clock began with its life.
        let since = self.now - age.since(looked_at);
        let has_owned = is_owner && host.has_owned(org(), since);
        if self.bug != InjectedBug::KeepStaleAccounts {
            host.tools.ledger.check_ownership(age, |_| has_owned);
        }
    }

    fn ask_loans(&mut self, place: usize, share: &LimitShare) {
        let domain = self.hosts[place].update.domain;
        let lenders: Vec<MemberUpdate> = (0..DOMAINS)
            .map(domain_key)
            .filter(|other| *other != domain)
            .filter_map(|domain| match self.owner(place, domain) {
                OwnerChoice::Other(owner) => Some(owner),
                OwnerChoice::Own | OwnerChoice::Unknown => None,
            })
            .collect();
        let age = self.hosts[place].age(self.now);
        let loans = self.hosts[place].tools.ledger.request_loans(age, org(), share, lenders.len());
        for (lender, loan) in lenders.into_iter().zip(loans) {
            self.send(place, lender, ParcelBody::LoanRequest(loan));
        }
    }

    pub fn send(&mut self, place: usize, to: MemberUpdate, body: ParcelBody) {
        let from = self.hosts[place].update;
        let delay = Duration::from_millis(self.rng.random_range(0..25));
        let lost = self.rng.random_bool(0.02);
        if !lost {
            self.net.post(Parcel { due: self.now + delay, from, to, body });
        }
    }

    pub fn deliver(&mut self, parcel: Parcel<ParcelBody>) {
        let place = self.place_of(parcel.to);
        let from = self.place_of(parcel.from);
        let host = &self.hosts[place];
        if host.update.incarnation != parcel.to.incarnation || !self.net.is_open(from, place) {
            return;
        }
        if host.suspended_until > self.now {
            // It lies in the socket's buffer until the host goes on.
            return self.net.post(Parcel { due: host.suspended_until, ..parcel });
        }
        let age = host.age(self.now);
        let share = self.share(place);
        match parcel.body {
            ParcelBody::Ask(ask) => {
                let answer = self.grant(place, parcel.from.incarnation, &ask);
                self.send(place, parcel.from, ParcelBody::Answer(answer));
            }
            ParcelBody::Answer(answer) => {
                let waits = |open: &OpenAsk| {
                    open.host == place
                        && open.ask.sequence == answer.sequence
                        && open.owner == parcel.from.incarnation
                };
                if let Some(at) = self.open.iter().position(waits) {
                    let open = self.open.swap_remove(at);
                    self.hear(place, &open.ask, &answer);
                }
            }
            ParcelBody::LoanRequest(ask) => {
                let loan = self.hosts[place].tools.ledger.lend(age, &ask, &share);
                if let Some(loan) = loan {
                    self.send(place, parcel.from, ParcelBody::Loan(loan));
                }
            }
            ParcelBody::Loan(loan) => {
                self.hosts[place].tools.ledger.accept_loan(age, &loan, &share)
            }
        }
    }

    fn hear(&mut self, place: usize, ask: &LimitRequest, answer: &LimitReply) {
        let age = self.hosts[place].age(self.now);
        self.hosts[place].tools.meter.apply_reply(age, answer, ask.units);
        if answer.refused_ms.is_none() {
            self.admit(ask.units);
        }
    }

    fn use_alone(&mut self, place: usize, ask: &LimitRequest) {
        let age = self.hosts[place].age(self.now);
        let (_, known) = self.hosts[place].domain_hosts(self.now);
        let share = LimitShare::for_domain(&self.limit, &BOUNDS);
        if self.hosts[place].tools.meter.use_without_owner(age, org(), ask.units, &share, known) {
            self.admit(ask.units);
        }
    }

    fn admit(&mut self, units: u32) {
        self.report.done += u64::from(units);
        self.window.note(self.now, units);
    }

    pub fn give_up_asks(&mut self) {
        let now = self.now;
        let (late, open): (Vec<OpenAsk>, Vec<OpenAsk>) =
            self.open.drain(..).partition(|open| now >= open.until);
        self.open = open;
        for ask in late {
            let host = &mut self.hosts[ask.host];
            // The process that asked may be another one by now.
            if host.runs(now) {
                let age = host.age(now);
                host.silent.record(age, ask.owner);
                self.use_alone(ask.host, &ask.ask);
            }
        }
    }
}
