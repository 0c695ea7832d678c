//! Runtime invariants: a violation is logged and counted, and panics in builds with debug assertions.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of invariant violations since the process started.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Logs and counts a violation; panics in builds with debug assertions.
///
/// # Panics
/// Always in builds with debug assertions, so that tests stop at the first violation.
pub fn violated(name: &str, detail: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    log::error!("event=invariant_violated name={name} detail={detail:?}");
    if cfg!(debug_assertions) {
        panic!("invariant {name}: {detail}");
    }
}

/// Asserts that an invariant holds; a violation is reported with a formatted detail.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $name:literal, $($detail:tt)+) => {
        if !$holds {
            $crate::invariant::violated($name, &format!($($detail)+));
        }
    };
}
