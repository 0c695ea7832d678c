//! Unit tests of the placement state machines.

use rstest::rstest;
use std::time::Duration;
use tealcleat::keys::{AttemptId, IncarnationId, NameKey, TimePoint};
use tealcleat::placement::{
    CircuitBreaker, LengthModel, LinkSchedule, PlacementPolicy, PrefillQueue, PrefillRequest,
    PrefixIndex, RefusalReason, RetryBudget, SlotTable, prefix_blocks, rendezvous_owner,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn attempt(serial: u64) -> AttemptId {
    AttemptId { owner: IncarnationId(1), serial }
}

fn prefill(serial: u64, org: &str, tokens: u32, finish_by: TimePoint) -> PrefillRequest {
    PrefillRequest {
        attempt: attempt(serial),
        org: NameKey::of(org),
        tokens,
        not_before: at(0),
        finish_by,
    }
}

#[test]
fn queue_refuses_late_prefill() {
    let mut queue = PrefillQueue::new(1000.0);
    assert!(queue.admit(at(0), prefill(1, "a", 900, at(1000))).is_ok());
    assert_eq!(queue.admit(at(0), prefill(2, "a", 200, at(1000))), Err(RefusalReason::TooLate));
    assert!(queue.admit(at(0), prefill(3, "a", 100, at(1000))).is_ok());
}

#[test]
fn queue_refuses_prefill_that_delays_others() {
    let mut queue = PrefillQueue::new(1000.0);
    assert!(queue.admit(at(0), prefill(1, "a", 500, at(600))).is_ok());
    assert_eq!(queue.admit(at(0), prefill(2, "a", 200, at(400))), Err(RefusalReason::CrowdsOthers));
}

#[test]
fn queue_starts_in_deadline_order_and_never_early() {
    let mut queue = PrefillQueue::new(1000.0);
    queue.admit(at(0), prefill(1, "a", 100, at(1400))).expect("admitted");
    queue.admit(at(0), prefill(2, "a", 100, at(900))).expect("admitted");
    let delayed = PrefillRequest { not_before: at(500), ..prefill(3, "a", 100, at(800)) };
    queue.admit(at(0), delayed).expect("admitted");
    let next =
        |queue: &mut PrefillQueue, now| queue.start_next(now).map(|e| e.request.attempt.serial);
    assert_eq!(next(&mut queue, at(0)), Some(2));
    assert_eq!(next(&mut queue, at(0)), None);
    queue.finish(attempt(2), 100, ms(100));
    assert_eq!(next(&mut queue, at(100)), Some(1));
    queue.finish(attempt(1), 100, ms(100));
    assert_eq!(next(&mut queue, at(300)), None);
    assert_eq!(next(&mut queue, at(500)), Some(3));
}

#[test]
fn queue_expires_late_prefill() {
    let mut queue = PrefillQueue::new(1000.0);
    queue.admit(at(0), prefill(1, "a", 100, at(200))).expect("admitted");
    assert_eq!(queue.expire(at(100), ms(0)), []);
    assert_eq!(queue.expire(at(150), ms(0)), [attempt(1)]);
    assert_eq!(queue.waiting_count(), 0);
}

/// Whether an empty queue admits a prompt of 100 ms of work, with 350 ms until its deadline, after others were refused.
fn admits_short_after(refused: u32, refused_tokens: u32) -> bool {
    let queue = PrefillQueue::new(1000.0);
    for serial in 0..u64::from(refused) {
        let too_late = prefill(serial, "a", refused_tokens, at(0));
        assert_eq!(queue.quote(at(0), &too_late), Err(RefusalReason::TooLate));
    }
    queue.quote(at(0), &prefill(999, "a", 100, at(350))).is_ok()
}

#[rstest]
#[case::no_request(0, 0)]
#[case::long_requests(390, 700)]
#[case::short_requests(390, 100)]
fn queue_admits_what_is_in_time_whoever_was_refused_before(
    #[case] refused: u32,
    #[case] refused_tokens: u32,
) {
    assert!(admits_short_after(refused, refused_tokens));
}

#[rstest]
#[case::short(100)]
#[case::long(700)]
fn queue_decides_by_the_time_that_is_left_whatever_the_size(#[case] tokens: u32) {
    let work = u64::from(tokens);
    let queue = PrefillQueue::new(1000.0);
    for serial in 0..200 {
        let late = queue.quote(at(0), &prefill(serial, "a", 700, at(600)));
        assert_eq!(late, Err(RefusalReason::TooLate));
    }
    assert_eq!(queue.quote(at(0), &prefill(900, "a", tokens, at(work))), Ok(at(work)));
    let late = queue.quote(at(0), &prefill(901, "a", tokens, at(work - 1)));
    assert_eq!(late, Err(RefusalReason::TooLate));
}

#[test]
fn queue_admits_organisations_within_their_share() {
    let mut queue = PrefillQueue::new(1000.0);
    let mut serial = 0;
    let mut admit = |queue: &mut PrefillQueue, org: &str| {
        serial += 1;
        queue.admit(at(0), prefill(serial, org, 50, at(1400))).is_ok()
    };
    admit(&mut queue, "quiet");
    let flood = (0..100).filter(|_| admit(&mut queue, "flood")).count();
    let quiet = (0..100).filter(|_| admit(&mut queue, "quiet")).count();
    assert!(flood >= 10, "{flood}");
    assert!(quiet >= 2, "the flood used up the queue: {quiet}");
}

/// Two organisations, one of which had 20 times as much work done as the other, and nothing is left of it.
fn queue_after_unequal_work() -> PrefillQueue {
    let mut queue = PrefillQueue::new(1000.0);
    for (serial, org) in (0..21).map(|serial| (serial, if serial == 0 { "quiet" } else { "busy" }))
    {
        let now = at(serial * 50);
        queue.admit(now, prefill(serial, org, 50, now + ms(50))).expect("admitted");
        assert!(queue.start_next(now).is_some());
        queue.finish(attempt(serial), 50, ms(50));
    }
    queue
}

#[rstest]
#[case::organisation_with_little_work_before("quiet")]
#[case::organisation_with_much_work_before("busy")]
fn queue_admits_what_is_in_time_whatever_its_organisation_had_before(#[case] org: &str) {
    let queue = queue_after_unequal_work();
    let now = at(1050);
    assert_eq!(queue.quote(now, &prefill(99, org, 300, now + ms(300))), Ok(now + ms(300)));
}

#[test]
fn queue_orders_by_deadline_whatever_an_organisation_had_before() {
    let mut queue = queue_after_unequal_work();
    let now = at(1050);
    queue.admit(now, prefill(98, "quiet", 100, now + ms(500))).expect("admitted");
    queue.admit(now, prefill(99, "busy", 100, now + ms(450))).expect("admitted");
    assert_eq!(queue.start_next(now).map(|entry| entry.request.attempt), Some(attempt(99)));
}

/// An organisation is postponed by the work that it has waiting beyond an equal share, and no longer than it waits.
#[test]
fn queue_postpones_the_work_beyond_an_equal_share() {
    let mut queue = PrefillQueue::new(1000.0);
    queue.admit(at(0), prefill(1, "a", 400, at(1400))).expect("admitted");
    queue.admit(at(0), prefill(2, "b", 100, at(1400))).expect("admitted");
    // "a" has 400 ms of 500 ms waiting, 150 ms beyond its share.
    assert_eq!(queue.quote(at(0), &prefill(3, "a", 100, at(249))), Err(RefusalReason::TooLate));
    assert_eq!(queue.quote(at(0), &prefill(3, "a", 100, at(250))), Ok(at(100)));
    assert_eq!(queue.quote(at(0), &prefill(3, "b", 100, at(100))), Ok(at(100)));
    queue.remove(attempt(1));
    assert_eq!(queue.quote(at(0), &prefill(3, "a", 100, at(100))), Ok(at(100)));
}

#[test]
fn slots_held_from_the_handoff_on() {
    let mut slots = SlotTable::new(1, ms(10));
    slots.start(at(0), attempt(1), 100);
    // No slot is free now, and only one is free later.
    assert_eq!(slots.hold(at(0), attempt(2), at(0), at(100), 100), None);
    let handoff = slots.hold(at(0), attempt(2), at(0), at(3000), 100).expect("held later");
    assert!(handoff > at(500), "{handoff:?}");
    assert_eq!(slots.hold(at(0), attempt(3), at(0), handoff, 100), None);
    assert!(slots.release(attempt(2), None));
    assert!(slots.hold(at(0), attempt(3), at(0), handoff, 100).is_some());
}

#[test]
fn slots_hold_expires() {
    let mut slots = SlotTable::new(1, ms(10));
    slots.hold(at(0), attempt(1), at(0), at(0), 10).expect("held");
    assert_eq!(slots.expire(at(1000)), []);
    assert_eq!(slots.expire(at(1300)), [attempt(1)]);
}

#[test]
fn slots_expired_hold_does_not_hide_a_running_attempt() {
    let mut slots = SlotTable::new(4, ms(10));
    slots.hold(at(0), attempt(1), at(0), at(0), 10).expect("held");
    assert_eq!(slots.reconcile(at(500), at(100), &[attempt(1)]), []);
    assert_eq!(slots.reconcile(at(1300), at(900), &[attempt(1)]), [attempt(1)]);
}

#[test]
fn slots_reconciled_with_the_engine() {
    let mut slots = SlotTable::new(4, ms(10));
    slots.start(at(0), attempt(1), 100);
    slots.start(at(0), attempt(2), 100);
    let queried = slots.reconcile(at(500), at(100), &[attempt(2), attempt(9)]);
    assert_eq!(queried, [attempt(9)]);
    assert_eq!(
        slots.used(),
        2,
        "the slot of the lost attempt is freed and the untracked attempt counts"
    );
    slots.mark_unconfirmed(IncarnationId(1));
    assert_eq!(slots.reconcile(at(600), at(200), &[attempt(2), attempt(9)]).len(), 2);
}

#[test]
fn length_model_learns_from_answers() {
    let mut model = LengthModel::default();
    for _ in 0..2000 {
        model.record_used(0.5);
    }
    assert!(model.survival(0.0, 0.4) > 0.95);
    assert!(model.survival(0.0, 0.6) < 0.05);
    assert!((model.survival(0.45, 0.45) - 1.0).abs() < 1e-9);
}

#[test]
fn link_transfers_scheduled_one_after_the_other() {
    let mut link = LinkSchedule::new(1000);
    assert_eq!(link.reserve(attempt(1), at(0), 500), at(500));
    assert_eq!(link.reserve(attempt(2), at(0), 500), at(1000));
    link.release(attempt(1));
    assert_eq!(link.reserve(attempt(3), at(100), 400), at(500));
}

#[test]
fn breaker_opens_admits_trials_and_closes() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(at(0));
    assert!(breaker.admits(at(0)));
    breaker.record_failure(at(0));
    assert!(!breaker.admits(at(499)));
    assert!(breaker.admits(at(500)));
    breaker.record_sent(at(500));
    assert!(!breaker.admits(at(501)), "only one trial at a time");
    breaker.record_abandoned();
    assert!(breaker.admits(at(502)), "after an abandoned trial another one is admitted");
    breaker.record_sent(at(502));
    assert!(breaker.admits(at(4000)), "a trial without a result expires");
    breaker.record_success();
    assert!(breaker.admits(at(503)));
}

#[test]
fn retry_budget_limits_retries() {
    let mut budget = RetryBudget::new(100, 2);
    assert!(budget.try_spend() && budget.try_spend() && !budget.try_spend());
    (0..10).for_each(|_| budget.record_request());
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
}

#[test]
fn prefix_index_evicts_least_recently_used() {
    let prompt: Vec<u64> = (0..256).collect();
    let blocks = prefix_blocks(prompt.iter().copied());
    let mut index = PrefixIndex::new(4);
    index.record_stored(&blocks);
    assert_eq!(index.cached_tokens(&blocks), 256);
    index.record_stored(&[1, 2]);
    assert_eq!(index.len(), 4);
    assert_eq!(index.cached_tokens(&blocks), 0, "its first blocks were evicted");
}

#[rstest]
#[case::host_leaves(&[1, 2, 3], &[1, 2])]
#[case::host_joins(&[1, 2, 3], &[1, 2, 3, 4])]
fn rendezvous_moves_only_affected_keys(#[case] before: &[u64], #[case] after: &[u64]) {
    let owner = |key: u64, hosts: &[u64]| {
        rendezvous_owner(key, hosts.iter().map(|host| (*host, *host))).expect("an owner")
    };
    for key in 0..500 {
        let (old, new) = (owner(key, before), owner(key, after));
        let has_left = !after.contains(&old);
        let has_joined = !before.contains(&new);
        assert!(old == new || has_left || has_joined, "{key} moved from {old} to {new}");
    }
}

#[test]
fn policy_names_round_trip() {
    for policy in PlacementPolicy::ALL {
        assert_eq!(policy.name().parse(), Ok(policy));
    }
}
