//! Streams whose server falls silent and goes on: the answer is never ended for the silence alone.

use tealcleat::bench::site::SitePlan;

mod silent_common;
mod site_common;

use silent_common::{SILENCE, StreamCaller, slow_site};
use site_common::runtime;

/// Guards against an answer that is cut although its server lives: the server stood still for two seconds, the run was
/// closed as lost, and no other server could go on with it.
#[test]
fn stream_goes_on_after_its_only_server_was_silent() {
    runtime().block_on(async {
        let site = slow_site(SitePlan { decodes: 1, ..SitePlan::default() }).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        site.decodes[0].stall_gate.stall();
        tokio::time::sleep(SILENCE).await;
        site.decodes[0].stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), (0..8).collect::<Vec<u64>>());
    });
}
