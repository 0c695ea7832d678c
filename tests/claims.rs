//! Behaviour of a claim bucket under store faults: the effect of each store answer on a waiting
//! claim.

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

/// A bucket that has read its object and has a write with one claim in flight.
fn bucket_with_write_in_flight(own: ClaimRecord) -> (ClaimBucket, BucketValue) {
    let mut bucket = ClaimBucket::default();
    assert_eq!(bucket.submit(ClaimRequest::Take(own)), None);
    assert_eq!(bucket.next_call(NOW, SECONDS), Some(BucketCall::Read));
    assert_eq!(bucket.on_read(3, BucketValue::default()), []);
    let Some(BucketCall::Write { expected: 3, value }) = bucket.next_call(NOW, SECONDS) else {
        panic!("no conditional write on version 3");
    };
    (bucket, value)
}

#[test]
fn bucket_grants_written_claim() {
    let own = record(1, 1);
    let (mut bucket, value) = bucket_with_write_in_flight(own);
    assert_eq!(bucket.on_written(4, value), [(own.attempt, ClaimVerdict::Granted)]);
}

#[rstest]
#[case::write_took_effect(vec![record(1, 1)], ClaimVerdict::Granted)]
#[case::other_attempt_was_first(vec![record(2, 1)], ClaimVerdict::Taken(record(2, 1)))]
fn bucket_reads_back_after_lost_answer(
    #[case] records: Vec<ClaimRecord>,
    #[case] verdict: ClaimVerdict,
) {
    let (mut bucket, _) = bucket_with_write_in_flight(record(1, 1));
    bucket.on_lost();
    assert_eq!(bucket.next_call(NOW, SECONDS), Some(BucketCall::Read));
    assert_eq!(bucket.on_read(4, BucketValue { records }), [(record(1, 1).attempt, verdict)]);
}

#[test]
fn bucket_writes_again_after_lost_write() {
    let (mut bucket, _) = bucket_with_write_in_flight(record(1, 1));
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
fn bucket_grants_nothing_on_conflict() {
    let (mut bucket, _) = bucket_with_write_in_flight(record(1, 1));
    bucket.on_conflict();
    assert_eq!(bucket.waiting_count(), 1);
    assert_eq!(bucket.next_call(NOW, SECONDS), Some(BucketCall::Read));
}

#[test]
fn bucket_settles_claims_when_store_fails() {
    let (mut bucket, _) = bucket_with_write_in_flight(record(1, 1));
    assert_eq!(bucket.on_failed(), [(record(1, 1).attempt, ClaimVerdict::Unsettled)]);
    assert_eq!(bucket.waiting_count(), 0);
}

#[test]
fn bucket_drops_expired_claims_with_next_write() {
    let (mut bucket, _) = bucket_with_write_in_flight(record(1, 1));
    bucket.on_conflict();
    bucket.next_call(NOW, SECONDS);
    let expired = ClaimRecord { at_seconds: SECONDS - 601, ..record(2, 9) };
    assert_eq!(bucket.on_read(5, BucketValue { records: vec![expired] }), []);
    let later = NOW + std::time::Duration::from_secs(1);
    let Some(BucketCall::Write { value, .. }) = bucket.next_call(later, SECONDS) else {
        panic!("no write");
    };
    assert_eq!(value.records, [record(1, 1)]);
}

#[test]
fn bucket_refuses_when_full_and_recovers() {
    let (mut bucket, _) = bucket_with_write_in_flight(record(1, 1));
    bucket.on_conflict();
    bucket.next_call(NOW, SECONDS);
    let records: Vec<ClaimRecord> = (100..20_100).map(|key| record(2, key)).collect();
    bucket.on_read(5, BucketValue { records });
    let request = |at_seconds| ClaimRequest::Take(ClaimRecord { at_seconds, ..record(1, 2) });
    assert_eq!(bucket.submit(request(SECONDS)), Some(ClaimVerdict::Unsettled));
    assert_eq!(bucket.submit(request(SECONDS + 601)), None);
}

#[test]
fn bucket_releases_claim_only_for_its_attempt() {
    let mut bucket = ClaimBucket::default();
    let existing = record(2, 1);
    bucket.submit(ClaimRequest::Release(existing.key, record(1, 1).attempt));
    bucket.next_call(NOW, SECONDS);
    let settled = bucket.on_read(5, BucketValue { records: vec![existing] });
    assert_eq!(settled, [(record(1, 1).attempt, ClaimVerdict::Granted)]);
    bucket.submit(ClaimRequest::Release(existing.key, existing.attempt));
    let Some(BucketCall::Write { value, .. }) = bucket.next_call(NOW, SECONDS) else {
        panic!("no write");
    };
    assert_eq!(value.records, []);
}
