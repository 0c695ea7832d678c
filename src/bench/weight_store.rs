use super::EngineTiming;
use super::fault_switch::FaultSwitch;
use tokio::sync::Mutex;

/// Simulates a rate-limited weight store, which serves one pull at a time for all engines of the process.
#[derive(Debug, Default)]
pub struct WeightStore {
    /// Faults that are switched on; while frozen, the store serves no pull.
    pub faults: FaultSwitch,
    pull_lock: Mutex<()>,
}

impl WeightStore {
    /// Waits for and performs the pull of one model's weights.
    pub async fn pull(&self, timing: &EngineTiming) {
        let _pull = self.pull_lock.lock().await;
        self.faults.wait_while_frozen().await;
        tokio::time::sleep(timing.weight_pull).await;
    }
}
