use super::host_state::{HostState, lock};
use crate::claims::{BucketCall, BucketValue, ClaimBucket, ClaimRequest, ClaimVerdict};
use crate::keys::{AttemptId, stable_hash};
use crate::peers::{PeerReply, PeerRequest, decode, encode};
use crate::placement::rendezvous_owner;
use crate::platform::{CLAIMS_KIND, StoreObject, WriteOutcome, bucket_name};
use crate::{Error, Result};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

/// A healthy store answers within milliseconds; one that takes this long is unavailable.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2500);
const REMOTE_TIMEOUT: Duration = Duration::from_millis(2800);
const CALL_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Consecutive unanswered calls after which all waiting claims are refused.
const MAX_LOST_CALLS: u32 = 2;

/// Batches claims into store calls, for the claim buckets that this host serves.
#[derive(Debug, Default)]
pub struct ClaimBatcher {
    buckets: Mutex<HashMap<u64, ClaimBucket>>,
    waiters: Mutex<HashMap<AttemptId, oneshot::Sender<ClaimVerdict>>>,
    running: Mutex<HashSet<u64>>,
}

impl HostState {
    /// Claims through the host that batches for the bucket, or locally if that host cannot be
    /// reached; any host may batch for any bucket.
    pub(super) async fn claim(self: &Arc<Self>, request: ClaimRequest) -> ClaimVerdict {
        let bucket = request.key().bucket();
        let batcher = {
            let members = lock(&self.members);
            let mut domains: Vec<_> =
                members.records().map(|record| record.update.domain).collect();
            domains.push(self.domain());
            domains.sort_unstable();
            domains.dedup();
            let all = domains.into_iter().flat_map(|domain| members.living_in(domain));
            rendezvous_owner(stable_hash(bucket_name(bucket).as_bytes()), all)
        };
        if let Some(batcher) = batcher
            && batcher.incarnation != self.incarnation
            && let Ok(PeerReply::Claim(verdict)) =
                self.call_peer(batcher, &PeerRequest::Claim(request), REMOTE_TIMEOUT).await
        {
            return verdict;
        }
        self.claim_locally(request).await
    }

    /// Adds a claim to this host's batch and waits for its verdict.
    pub(super) async fn claim_locally(self: &Arc<Self>, request: ClaimRequest) -> ClaimVerdict {
        let bucket = request.key().bucket();
        let (sender, receiver) = oneshot::channel();
        lock(&self.claim_batcher.waiters).insert(request.attempt(), sender);
        let refused = lock(&self.claim_batcher.buckets).entry(bucket).or_default().submit(request);
        if let Some(verdict) = refused {
            lock(&self.claim_batcher.waiters).remove(&request.attempt());
            return verdict;
        }
        self.run_bucket(bucket);
        if let Ok(Ok(verdict)) = tokio::time::timeout(CLAIM_TIMEOUT, receiver).await {
            return verdict;
        }
        lock(&self.claim_batcher.waiters).remove(&request.attempt());
        lock(&self.claim_batcher.buckets).entry(bucket).or_default().cancel(request.attempt());
        ClaimVerdict::Unsettled
    }

    /// Starts the task that executes the bucket's store calls, unless it is already running.
    fn run_bucket(self: &Arc<Self>, bucket: u64) {
        if !lock(&self.claim_batcher.running).insert(bucket) {
            return;
        }
        let host = Arc::clone(self);
        tokio::spawn(async move {
            let mut lost_calls = 0;
            loop {
                let call = {
                    let mut buckets = lock(&host.claim_batcher.buckets);
                    let entry = buckets.entry(bucket).or_default();
                    if entry.waiting_count() == 0 {
                        // Claims are submitted under the same lock, so none is left without a task.
                        lock(&host.claim_batcher.running).remove(&bucket);
                        return;
                    }
                    entry.next_call(host.now(), Self::now_seconds())
                };
                match call {
                    None => tokio::time::sleep(CALL_POLL_PERIOD).await,
                    Some(call) => host.execute_call(bucket, call, &mut lost_calls).await,
                }
            }
        });
    }

    /// Executes one store call of a bucket and sends the verdicts that it settles.
    async fn execute_call(self: &Arc<Self>, bucket: u64, call: BucketCall, lost_calls: &mut u32) {
        let name = bucket_name(bucket);
        self.metrics().add("store_calls", 1);
        let verdicts = match call {
            BucketCall::Read => {
                let read = self.store.read(CLAIMS_KIND, &name, STORE_TIMEOUT).await;
                let parsed = read.and_then(parse_bucket);
                let mut buckets = lock(&self.claim_batcher.buckets);
                let entry = buckets.entry(bucket).or_default();
                match parsed {
                    Ok((version, value)) => {
                        *lost_calls = 0;
                        entry.on_read(version, value)
                    }
                    Err(error) => {
                        on_store_failure(entry, lost_calls, matches!(error, Error::Refused(_)))
                    }
                }
            }
            BucketCall::Write { expected, value } => {
                let outcome = self.write_bucket(&name, expected, &value).await;
                let mut buckets = lock(&self.claim_batcher.buckets);
                let entry = buckets.entry(bucket).or_default();
                match outcome {
                    WriteOutcome::Written(object) => {
                        *lost_calls = 0;
                        entry.on_written(object.revision, value)
                    }
                    WriteOutcome::Conflict => {
                        entry.on_conflict();
                        Vec::new()
                    }
                    WriteOutcome::Refused => on_store_failure(entry, lost_calls, true),
                    WriteOutcome::Unknown => on_store_failure(entry, lost_calls, false),
                }
            }
        };
        let mut waiters = lock(&self.claim_batcher.waiters);
        for (attempt, verdict) in verdicts {
            if let Some(waiter) = waiters.remove(&attempt) {
                let _ = waiter.send(verdict);
            }
        }
    }
}

impl HostState {
    /// Writes a bucket if its version is still `expected`; zero means that it must not exist yet.
    async fn write_bucket(&self, name: &str, expected: u64, value: &BucketValue) -> WriteOutcome {
        let spec = match encode_bucket(value) {
            Ok(spec) => spec,
            Err(error) => {
                log::error!("event=claims_unwritable bucket={name} cause=\"{error}\"");
                return WriteOutcome::Refused;
            }
        };
        let expected = (expected > 0).then_some(expected);
        self.store.write(CLAIMS_KIND, name, expected, &spec, STORE_TIMEOUT).await
    }
}

/// Refuses the waiting claims after a refusal or too many lost answers; otherwise has the bucket
/// read back whether the lost call took effect.
fn on_store_failure(
    bucket: &mut ClaimBucket,
    lost_calls: &mut u32,
    refused: bool,
) -> Vec<(AttemptId, ClaimVerdict)> {
    *lost_calls += 1;
    if refused || *lost_calls >= MAX_LOST_CALLS {
        *lost_calls = 0;
        return bucket.on_failed();
    }
    bucket.on_lost();
    Vec::new()
}

/// A bucket as stored: its binary encoding as base64 text.
#[derive(Debug, Serialize, Deserialize)]
struct BucketSpec {
    value: String,
}

/// Returns the version and contents of a bucket; version zero if it does not exist.
fn parse_bucket(object: Option<StoreObject>) -> Result<(u64, BucketValue)> {
    let Some(object) = object else {
        return Ok((0, BucketValue::default()));
    };
    let spec = BucketSpec::deserialize(&object.spec)?;
    let bytes = STANDARD.decode(&spec.value).map_err(|error| Error::Protocol(error.to_string()))?;
    Ok((object.revision, decode(&bytes)?))
}

fn encode_bucket(value: &BucketValue) -> Result<serde_json::Value> {
    let value = STANDARD.encode(encode(value)?);
    Ok(serde_json::to_value(BucketSpec { value })?)
}
