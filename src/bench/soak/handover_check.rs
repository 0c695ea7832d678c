//! Checks what is left behind when something changes hands: orders after lost answers of the lease, calls that were given up
//! beside cuts, and servers that left while hosts were cut off.

use super::first_try::FirstTry;
use super::handover_record::{HandoverRecord, HandoverTally};
use super::soak_check::{SoakRecord, SoakViolation};
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use crate::Result;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HANDOVER_SALT: u64 = 0x4a_0d0f;

impl SoakCluster {
    /// Plays all three, in an order that depends on the seed. Returns violations; adds the requests to `records`.
    pub async fn check_handovers(
        &mut self,
        options: &SoakOptions,
        records: &mut Vec<SoakRecord>,
        tally: &mut HandoverTally,
    ) -> Result<Vec<SoakViolation>> {
        let random = StdRng::seed_from_u64(options.seed ^ HANDOVER_SALT);
        let mut record = HandoverRecord::new(random);
        let first = record.random.random_range(0..3);
        for part in (0..3).map(|index| (first + index) % 3) {
            self.restart_crashed().await?;
            let name = format!("s{}-over{part}", options.seed);
            match part {
                0 => self.stop_leaders(&name, &mut record).await?,
                1 => self.cut_calls(&name, &mut record).await?,
                _ => self.remove_servers(&name, &mut record).await?,
            }
        }
        let HandoverRecord { tally: found, tries, mut violations, .. } = record;
        *tally = found;
        for FirstTry { record, violation, .. } in tries {
            records.push(record);
            violations.extend(violation);
        }
        Ok(violations)
    }
}
