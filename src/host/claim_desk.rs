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

/// A store that serves answers within some milliseconds; one that does not is away.
const STORE_LIMIT: Duration = Duration::from_millis(800);
const CLAIM_LIMIT: Duration = Duration::from_millis(2500);
const REMOTE_LIMIT: Duration = Duration::from_millis(2800);
const NEXT_LOOK: Duration = Duration::from_millis(20);
/// Unanswered calls in a row after which everything that waits is refused.
const MOST_LOST: u32 = 2;

/// Runs the claim buckets that this host batches for.
#[derive(Debug, Default)]
pub struct ClaimDesk {
    buckets: Mutex<HashMap<u64, ClaimBucket>>,
    waiters: Mutex<HashMap<AttemptId, oneshot::Sender<ClaimVerdict>>>,
    running: Mutex<HashSet<u64>>,
}

impl HostState {
    /// Claims at the bucket's batching host, or here if it cannot be reached: any host may.
    pub(super) async fn claim(self: &Arc<Self>, ask: ClaimRequest) -> ClaimVerdict {
        let bucket = ask.key().bucket();
        let batcher = {
            let members = lock(&self.members);
            let mut domains: Vec<_> = members.records().map(|r| r.update.domain).collect();
            domains.push(self.domain());
            domains.sort_unstable();
            domains.dedup();
            let all = domains.into_iter().flat_map(|domain| members.owners(domain));
            rendezvous_owner(stable_hash(bucket_name(bucket).as_bytes()), all)
        };
        if let Some(batcher) = batcher
            && batcher.incarnation != self.incarnation
            && let Ok(PeerReply::Claim(verdict)) =
                self.call_peer(batcher, &PeerRequest::Claim(ask), REMOTE_LIMIT).await
        {
            return verdict;
        }
        self.claim_here(ask).await
    }

    /// Queues a claim in this host's batch and waits for its verdict.
    pub(super) async fn claim_here(self: &Arc<Self>, ask: ClaimRequest) -> ClaimVerdict {
        let bucket = ask.key().bucket();
        let (sender, receiver) = oneshot::channel();
        lock(&self.claims.waiters).insert(ask.attempt(), sender);
        let refused = lock(&self.claims.buckets).entry(bucket).or_default().submit(ask);
        if let Some(verdict) = refused {
            lock(&self.claims.waiters).remove(&ask.attempt());
            return verdict;
        }
        self.run_bucket(bucket);
        if let Ok(Ok(verdict)) = tokio::time::timeout(CLAIM_LIMIT, receiver).await {
            return verdict;
        }
        lock(&self.claims.waiters).remove(&ask.attempt());
        lock(&self.claims.buckets).entry(bucket).or_default().cancel(ask.attempt());
        ClaimVerdict::Unsettled
    }

    fn run_bucket(self: &Arc<Self>, bucket: u64) {
        if !lock(&self.claims.running).insert(bucket) {
            return;
        }
        let host = Arc::clone(self);
        tokio::spawn(async move {
            let mut lost = 0;
            loop {
                let order = {
                    let mut buckets = lock(&host.claims.buckets);
                    let entry = buckets.entry(bucket).or_default();
                    if entry.waiting_count() == 0 {
                        // Under the same lock as new asks, so that none is left unserved.
                        lock(&host.claims.running).remove(&bucket);
                        return;
                    }
                    entry.next_call(host.now(), Self::now_seconds())
                };
                match order {
                    None => tokio::time::sleep(NEXT_LOOK).await,
                    Some(order) => host.carry_out(bucket, order, &mut lost).await,
                }
            }
        });
    }

    async fn carry_out(self: &Arc<Self>, bucket: u64, order: BucketCall, lost: &mut u32) {
        let name = bucket_name(bucket);
        self.metrics().add("store_calls", 1);
        let verdicts = match order {
            BucketCall::Read => {
                let read = self.store.read(CLAIMS_KIND, &name, STORE_LIMIT).await;
                let parsed = read.and_then(parse);
                let mut buckets = lock(&self.claims.buckets);
                let entry = buckets.entry(bucket).or_default();
                match parsed {
                    Ok((version, value)) => {
                        *lost = 0;
                        entry.on_read(version, value)
                    }
                    Err(error) => after_loss(entry, lost, matches!(error, Error::Refused(_))),
                }
            }
            BucketCall::Write { expected, value } => {
                let outcome = self.write_bucket(&name, expected, &value).await;
                let mut buckets = lock(&self.claims.buckets);
                let entry = buckets.entry(bucket).or_default();
                match outcome {
                    WriteOutcome::Written(object) => {
                        *lost = 0;
                        entry.on_written(object.revision, value)
                    }
                    WriteOutcome::Conflict => {
                        entry.on_conflict();
                        Vec::new()
                    }
                    WriteOutcome::Refused => after_loss(entry, lost, true),
                    WriteOutcome::Unknown => after_loss(entry, lost, false),
                }
            }
        };
        let mut waiters = lock(&self.claims.waiters);
        for (attempt, verdict) in verdicts {
            if let Some(waiter) = waiters.remove(&attempt) {
                let _ = waiter.send(verdict);
            }
        }
    }
}

impl HostState {
    /// Writes a bucket whose version is still `expected`; zero if it must not exist yet.
    async fn write_bucket(&self, name: &str, expected: u64, value: &BucketValue) -> WriteOutcome {
        let spec = match to_spec(value) {
            Ok(spec) => spec,
            Err(error) => {
                log::error!("event=claims_unwritable bucket={name} cause=\"{error}\"");
                return WriteOutcome::Refused;
            }
        };
        let expected = (expected > 0).then_some(expected);
        self.store.write(CLAIMS_KIND, name, expected, &spec, STORE_LIMIT).await
    }
}

fn after_loss(
    bucket: &mut ClaimBucket,
    lost: &mut u32,
    refused: bool,
) -> Vec<(AttemptId, ClaimVerdict)> {
    *lost += 1;
    if refused || *lost >= MOST_LOST {
        *lost = 0;
        return bucket.on_failed();
    }
    bucket.on_lost();
    Vec::new()
}

/// A bucket as it lies in the store: its value in the project's own encoding, as text.
#[derive(Debug, Serialize, Deserialize)]
struct BucketSpec {
    value: String,
}

/// Version and contents of a bucket; version zero if there is none.
fn parse(object: Option<StoreObject>) -> Result<(u64, BucketValue)> {
    let Some(object) = object else {
        return Ok((0, BucketValue::default()));
    };
    let spec = BucketSpec::deserialize(&object.spec)?;
    let bytes = STANDARD.decode(&spec.value).map_err(|error| Error::Protocol(error.to_string()))?;
    Ok((object.revision, decode(&bytes)?))
}

fn to_spec(value: &BucketValue) -> Result<serde_json::Value> {
    let value = STANDARD.encode(encode(value)?);
    Ok(serde_json::to_value(BucketSpec { value })?)
}
