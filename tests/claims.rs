//! Fault table of a claim bucket: what each answer of the store means for a waiting claim.

use rstest::rstest;
use tealcleat::claims::{
    BucketCall, BucketValue, ClaimBucket, ClaimKey, ClaimRecord, ClaimRequest, ClaimVerdict,
};
use tealcleat::keys::{AttemptId, IncarnationId, TimePoint};

const NOW: TimePoint = TimePoint::from_millis(10_000);
const SECONDS: u64 = 1_000_000;

fn record(owner: u64, key: u64) -> ClaimRecord {
    let attempt = AttemptId { owner: IncarnationId(owner), serial: key };
    ClaimRecord { key: ClaimKey(key, 0), attempt, body: 5, at_seconds: SECONDS }
}

/// A bucket that has read the store and has one claim in a write under way.
fn writing(ours: ClaimRecord) -> (ClaimBucket, BucketValue) {
    let mut bucket = ClaimBucket::default();
    assert_eq!(bucket.submit(ClaimRequest::Take(ours)), None);
    assert_eq!(bucket.next_call(NOW, SECONDS), Some(BucketCall::Read));
    assert_eq!(bucket.on_read(3, BucketValue::default()), []);
    let Some(BucketCall::Write { expected: 3, value }) = bucket.next_call(NOW, SECONDS) else {
        panic!("no conditional write on version 3");
    };
    (bucket, value)
}

#[test]
fn written_claim_is_granted() {
    let ours = record(1, 1);
    let (mut bucket, value) = writing(ours);
    assert_eq!(bucket.on_written(4, value), [(ours.attempt, ClaimVerdict::Granted)]);
}

#[rstest]
#[case::it_took_effect(vec![record(1, 1)], ClaimVerdict::Granted)]
#[case::another_was_first(vec![record(2, 1)], ClaimVerdict::Taken(record(2, 1)))]
fn lost_answer_is_settled_by_reading_back(
    #[case] records: Vec<ClaimRecord>,
    #[case] verdict: ClaimVerdict,
) {
    let (mut bucket, _) = writing(record(1, 1));
    bucket.on_lost();
    assert_eq!(bucket.next_call(NOW, SECONDS), Some(BucketCall::Read));
    assert_eq!(bucket.on_read(4, BucketValue { records }), [(record(1, 1).attempt, verdict)]);
}

#[test]
fn lost_answer_without_effect_is_written_again() {
    let (mut bucket, _) = writing(record(1, 1));
    bucket.on_lost();
    bucket.next_call(NOW, SECONDS);
    assert_eq!(bucket.on_read(3, BucketValue::default()), []);
    let later = NOW + std::time::Duration::from_secs(1);
    assert!(matches!(
        bucket.next_call(later, SECONDS),
        Some(BucketCall::Write { expected: 3, .. })
    ));
}

#[test]
fn conflict_grants_nothing() {
    let (mut bucket, _) = writing(record(1, 1));
    bucket.on_conflict();
    assert_eq!(bucket.waiting_count(), 1);
    assert_eq!(bucket.next_call(NOW, SECONDS), Some(BucketCall::Read));
}

#[test]
fn failed_store_settles_at_once() {
    let (mut bucket, _) = writing(record(1, 1));
    assert_eq!(bucket.on_failed(), [(record(1, 1).attempt, ClaimVerdict::Unsettled)]);
    assert_eq!(bucket.waiting_count(), 0);
}

#[test]
fn old_claims_leave_with_the_next_write() {
    let (mut bucket, _) = writing(record(1, 1));
    bucket.on_conflict();
    bucket.next_call(NOW, SECONDS);
    let old = ClaimRecord { at_seconds: SECONDS - 601, ..record(2, 9) };
    assert_eq!(bucket.on_read(5, BucketValue { records: vec![old] }), []);
    let later = NOW + std::time::Duration::from_secs(1);
    let Some(BucketCall::Write { value, .. }) = bucket.next_call(later, SECONDS) else {
        panic!("no write");
    };
    assert_eq!(value.records, [record(1, 1)]);
}

#[test]
fn full_bucket_refuses_and_recovers() {
    let (mut bucket, _) = writing(record(1, 1));
    bucket.on_conflict();
    bucket.next_call(NOW, SECONDS);
    let records: Vec<ClaimRecord> = (100..20_100).map(|key| record(2, key)).collect();
    bucket.on_read(5, BucketValue { records });
    let ask = |at_seconds| ClaimRequest::Take(ClaimRecord { at_seconds, ..record(1, 2) });
    assert_eq!(bucket.submit(ask(SECONDS)), Some(ClaimVerdict::Unsettled));
    assert_eq!(bucket.submit(ask(SECONDS + 601)), None);
}

#[test]
fn claim_is_given_back_only_by_its_attempt() {
    let mut bucket = ClaimBucket::default();
    let standing = record(2, 1);
    bucket.submit(ClaimRequest::Release(standing.key, record(1, 1).attempt));
    bucket.next_call(NOW, SECONDS);
    let settled = bucket.on_read(5, BucketValue { records: vec![standing] });
    assert_eq!(settled, [(record(1, 1).attempt, ClaimVerdict::Granted)]);
    bucket.submit(ClaimRequest::Release(standing.key, standing.attempt));
    let Some(BucketCall::Write { value, .. }) = bucket.next_call(NOW, SECONDS) else {
        panic!("no write");
    };
    assert_eq!(value.records, []);
}
