//! What a host holds adds up to less than its machine has.

use rstest::rstest;
use tealcleat::resource_plan::{MachineLimits, ResourcePlan};

/// What a host of the largest deployment is and knows, with the messages of other hosts, in percent of its memory.
const OWN_PERCENT: usize = 33;
/// The largest body that the deployments allow.
const LARGEST_BODY: usize = 4 << 20;
/// The largest page of the store.
const LARGEST_PAGE: usize = 1 << 20;

#[rstest]
#[case::smallest_of_all(88, 4100)]
#[case::few_descriptors(96, 3075)]
#[case::panelbridge(110, 4100)]
#[case::halvorsen(260, 4100)]
#[case::large(512, 8192)]
fn plan_fits_the_machine(#[case] memory_mb: u64, #[case] max_fds: u64) {
    let plan = ResourcePlan::new(&MachineLimits { memory_mb, max_fds, ..Default::default() });
    let memory = memory_mb as usize * 1_000_000;
    let held = plan.callers.bytes + plan.request_bytes + plan.answer_bytes + plan.store_bytes;
    assert!(held + memory * OWN_PERCENT / 100 <= memory);
    // A body may take half of its budget.
    assert!(plan.request_bytes >= 2 * LARGEST_BODY, "a single request inside the limits is served");
    assert!(plan.answer_bytes >= 2 * LARGEST_BODY, "a single answer inside the limits is served");
    assert!(plan.store_bytes >= 2 * LARGEST_PAGE, "a host reads its configuration");
    let others = [plan.ready, plan.metrics, plan.unproven].map(|room| room.connections);
    let sockets = max_fds as usize - 200;
    let left = sockets - plan.callers.connections - others.iter().sum::<usize>();
    assert!(left >= sockets / 4, "{left} descriptors for servers, the store and other hosts");
}
