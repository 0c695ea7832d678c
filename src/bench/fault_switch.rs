use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A fault that can be injected into a running stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The target sends no answers and makes no progress until the fault is switched off.
    Freeze,
    /// The engine once loses all its attempts and its cache, and breaks its connections.
    Crash,
    /// Transfers into the decode engine make no progress until the fault is switched off.
    LinkStall,
    /// The platform refuses all calls.
    Outage,
    /// The platform performs writes but loses the answers.
    LoseAnswers,
    /// The service runs requests but loses their answers.
    LoseService,
    /// The engine once closes the connections of its streams, but continues to generate.
    CutStreams,
}

/// A command that switches a fault on or off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultCommand {
    /// Name of the engine or service, `platform`, or `weights` for the weight store.
    pub target: String,
    /// The fault to switch.
    pub fault: FaultKind,
    /// Whether the fault is switched on.
    pub on: bool,
}

/// State of the faults of one target.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    frozen: AtomicBool,
    link_stalled: AtomicBool,
    outage: AtomicBool,
    lose_answers: AtomicBool,
    crashes: AtomicU64,
    cuts: AtomicU64,
}

impl FaultSwitch {
    /// Switches a fault on or off.
    pub fn switch(&self, fault: FaultKind, on: bool) {
        match fault {
            FaultKind::Freeze => self.frozen.store(on, Ordering::Relaxed),
            FaultKind::LinkStall => self.link_stalled.store(on, Ordering::Relaxed),
            FaultKind::Outage => self.outage.store(on, Ordering::Relaxed),
            FaultKind::LoseAnswers | FaultKind::LoseService => {
                self.lose_answers.store(on, Ordering::Relaxed);
            }
            FaultKind::Crash => {
                self.crashes.fetch_add(u64::from(on), Ordering::Relaxed);
            }
            FaultKind::CutStreams => {
                self.cuts.fetch_add(u64::from(on), Ordering::Relaxed);
            }
        }
    }

    /// Whether the target is frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }

    /// Whether transfers into the engine stall.
    pub fn is_link_stalled(&self) -> bool {
        self.link_stalled.load(Ordering::Relaxed)
    }

    /// Whether all calls are refused.
    pub fn has_outage(&self) -> bool {
        self.outage.load(Ordering::Relaxed)
    }

    /// Whether answers are lost.
    pub fn loses_answers(&self) -> bool {
        self.lose_answers.load(Ordering::Relaxed)
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }

    /// How often all streams have been cut so far.
    pub fn cuts(&self) -> u64 {
        self.cuts.load(Ordering::Relaxed)
    }

    /// Waits until the target is no longer frozen.
    pub async fn wait_while_frozen(&self) {
        while self.is_frozen() {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }
}
