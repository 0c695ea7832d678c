//! Checks that the repeats that all hosts send together stay within the retry bounds, over all their lives, while servers
//! reject most of what arrives and hosts are killed, paused and cut off.

use super::first_try::{TryPlan, open_connections};
use super::host_contacts::HostContacts;
use super::host_shock::HostShock;
use super::soak_caller::CallerResults;
use super::soak_check::{SoakRecord, SoakViolation};
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use crate::Result;
use crate::bench::rogue::WHOLE_REQUEST_PREFIX;
use crate::bench::site::{EngineFault, RepeatSum, RequestArrival, ServiceFault, StoreFault};
use crate::host::lock;
use crate::retries::RetryBounds;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// The retry bounds of the daemons: a short window, of which a soak test has many, and little slack. Callers ask so seldom that
/// a host does not learn which servers reject most requests before it has sent them some.
pub(super) const RETRY_BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, slack: 6.0, window: Duration::from_secs(3), domains: 3 };
/// How many of ten requests an overloaded engine rejects.
const SHED_TENTHS: u64 = 7;
/// How many of five engines are overloaded.
const SHEDDING_FIFTHS: usize = 3;
/// How long callers ask beside each disruption, and the pause between two requests.
const TRY_TIME: Duration = Duration::from_millis(4000);
const TRY_PAUSE: Duration = Duration::from_millis(20);
/// Disruptions of all hosts in a row, within one window.
const KILLS_IN_A_ROW: usize = 3;
const REPEAT_SALT: u64 = 0x9e_9ea7;

/// The repeats that were found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RepeatTally {
    /// Repeats at engines.
    pub engine_repeats: usize,
    /// Repeats at servers of the plain service.
    pub plain_repeats: usize,
}

impl SoakCluster {
    /// Lets servers reject requests beside each disruption, and sums the repeats. Returns violations; adds the requests to
    /// `records`. Those of other callers are in `results`.
    pub async fn check_repeats(
        &mut self,
        options: &SoakOptions,
        results: &CallerResults,
        records: &mut Vec<SoakRecord>,
        tally: &mut RepeatTally,
    ) -> Result<Vec<SoakViolation>> {
        let mut random = StdRng::seed_from_u64(options.seed ^ REPEAT_SALT);
        let addresses = self.caller_addresses();
        let contacts = HostContacts::new(&addresses, tokio::time::Instant::now());
        let mut violations = Vec::new();
        let mut shocks = self.draw_shocks(&mut random);
        shocks.extend([HostShock::KillAll; KILLS_IN_A_ROW]);
        let plan = TryPlan { time: TRY_TIME, pause: TRY_PAUSE, target: None, tokens: None };
        for (shock, index) in shocks.into_iter().zip(0..) {
            self.fault_log.record_disruption(&format!("repeats: {shock:?}"))?;
            self.overload_servers(index);
            // The store is away beside every third disruption.
            if index % 3 == 2 {
                self.site.store.set_fault(StoreFault::Busy);
            }
            let name = format!("s{}-repeats{index}", options.seed);
            let duration = self.begin_shock(shock, &contacts)?;
            let mut targets = StdRng::seed_from_u64(random.random());
            let hosts = addresses.clone();
            let tries =
                tokio::spawn(
                    async move { open_connections(&name, &hosts, plan, &mut targets).await },
                );
            tokio::time::sleep(duration).await;
            if shock == HostShock::KillAll {
                // Without the store no host would know any server.
                self.site.store.set_fault(StoreFault::None);
            }
            self.end_shock(shock, &contacts).await?;
            let tries = tries.await.map_err(|error| crate::Error::Protocol(error.to_string()))?;
            self.site.store.set_fault(StoreFault::None);
            for first_try in tries {
                records.push(first_try.record);
                violations.extend(first_try.violation);
            }
        }
        self.end_all_faults().await?;
        let mut all_records = lock(&results.records).clone();
        all_records.extend_from_slice(records);
        violations.extend(self.sum_repeats(&all_records, tally));
        Ok(violations)
    }

    /// Overloads most engines, others each time, and one server of the plain service; another one loses its answers.
    fn overload_servers(&self, turn: usize) {
        let engines = self.engines();
        for (index, engine) in engines.enumerate() {
            let is_shedding = (index + turn) % 5 < SHEDDING_FIFTHS;
            let shed = EngineFault::Shed { tenths: SHED_TENTHS };
            engine.set_fault(if is_shedding { shed } else { EngineFault::None });
        }
        let faults = [ServiceFault::Full, ServiceFault::LoseAnswers, ServiceFault::None];
        for (index, service) in self.site.services.iter().enumerate() {
            service.set_fault(faults[(index + turn) % faults.len()]);
        }
    }

    /// Sums the repeats of all requests; returns whether they exceed the bounds.
    pub fn sum_repeats(
        &self,
        records: &[SoakRecord],
        tally: &mut RepeatTally,
    ) -> Option<SoakViolation> {
        let asked = |is_engine: bool| {
            let of_service = records.iter().filter(|record| record.route.is_stream() == is_engine);
            let mut asked: Vec<Instant> = of_service.map(|record| record.asked_at).collect();
            asked.sort_unstable();
            asked
        };
        let engines = self.engines();
        // Clients that do not behave use their ids again.
        let is_counted =
            |arrival: &RequestArrival| !arrival.request.starts_with(WHOLE_REQUEST_PREFIX);
        let engines: Vec<RequestArrival> =
            engines.flat_map(|engine| engine.arrivals.requests()).filter(is_counted).collect();
        let services = self.site.services.iter();
        let services: Vec<RequestArrival> =
            services.flat_map(|service| service.arrivals.requests()).filter(is_counted).collect();
        let (engines, services) = (RepeatSum::of(engines), RepeatSum::of(services));
        *tally = RepeatTally { engine_repeats: engines.count(), plain_repeats: services.count() };
        let excess = engines.worst_excess(&RETRY_BOUNDS, &asked(true));
        let excess = excess.or_else(|| services.worst_excess(&RETRY_BOUNDS, &asked(false)))?;
        let guarantee = "repeats of all hosts stay within the retry bounds";
        let detail = format!("{} repeats, {:.1} allowed", excess.repeats, excess.allowed);
        Some(SoakViolation { guarantee, detail })
    }
}
