//! A short soak of real daemons as processes of their own, with faults from outside. Seeds that
//! ever failed stay here, each with its cause.

use rstest::rstest;
use std::path::Path;
use std::time::Duration;
use tealcleat::bench::soak::{SoakOptions, run_soak};

#[rstest]
#[case::first(1)]
// A run fell silent, a second one found no room, and the caller was told "not run".
#[case::refused_after_a_run(406)]
fn soak_keeps_promises(#[case] seed: u64) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_tealcleatd"));
    let options = SoakOptions {
        seed,
        length: Duration::from_secs(6),
        hosts: 3,
        callers: 8,
        programs: daemon.parent().expect("a folder").to_path_buf(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let report = runtime.block_on(run_soak(&options)).expect("it runs");
    runtime.shutdown_background();
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(report.whole > 0);
}
