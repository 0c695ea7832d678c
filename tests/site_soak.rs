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
// An answer to a hold came once more and was believed by the next request; a second answer behind one
// without a length became part of a stream.
#[case::answers_given_twice(5205)]
fn soak_keeps_promises(#[case] seed: u64) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_tealcleatd"));
    let options = SoakOptions {
        seed,
        length: Duration::from_secs(6),
        hosts: 3,
        callers: 12,
        environment: Vec::new(),
        programs: daemon.parent().expect("a folder").to_path_buf(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let report = runtime.block_on(run_soak(&options)).expect("it runs");
    runtime.shutdown_background();
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(report.whole > 0);
}
