use super::call_within;
use crate::site_common::call;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Pause between two requests to one daemon.
const CALL_PERIOD: Duration = Duration::from_millis(50);
/// Every so many requests, one asks for a stream.
const STREAM_EVERY: u64 = 4;

/// How the requests of ordinary callers ended, each sent once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallTally {
    /// Requests that were sent.
    pub begun: u64,
    /// Those that ended.
    pub asked: u64,
    /// Those answered with what was asked for.
    pub served: u64,
    /// Those that were refused as not run.
    pub refused: u64,
    /// Those that got no whole answer, or another one.
    pub lost: u64,
}

impl CallTally {
    /// The share that was served.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// What callers ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallMix {
    /// Requests that may be repeated, and streams.
    Repeatable,
    /// Also requests that may run once only, as many as streams.
    WithUnsafe,
}

/// Callers that ask one daemon, a request after the other begun at even times, each on a connection of its own.
pub struct OrdinaryCallers {
    lost: Arc<Mutex<Vec<String>>>,
    tally: Arc<Mutex<CallTally>>,
    is_stopped: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

impl OrdinaryCallers {
    /// Starts to ask the daemon at `address` for what may be repeated and for streams.
    pub fn start(address: SocketAddr) -> Self {
        Self::start_mix(address, CallMix::Repeatable)
    }

    /// Starts to ask it also for what may run once only.
    pub fn start_with_unsafe(address: SocketAddr) -> Self {
        Self::start_mix(address, CallMix::WithUnsafe)
    }

    fn start_mix(address: SocketAddr, mix: CallMix) -> Self {
        let tally: Arc<Mutex<CallTally>> = Arc::default();
        let lost: Arc<Mutex<Vec<String>>> = Arc::default();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let records = (Arc::clone(&tally), Arc::clone(&lost));
        let task = tokio::spawn(ask(address, mix, records, Arc::clone(&is_stopped)));
        Self { lost, tally, is_stopped, task }
    }

    /// Ids of the requests that got no whole answer, or another one than was asked for.
    pub fn lost_ids(&self) -> Vec<String> {
        self.lost.lock().expect("no panic").clone()
    }

    /// Waits until `count` more requests have ended, and returns how they did.
    pub async fn ended(&self, count: u64) -> CallTally {
        let before = self.tally();
        loop {
            let now = self.tally();
            if now.asked >= before.asked + count {
                return CallTally {
                    begun: now.begun - before.begun,
                    asked: now.asked - before.asked,
                    served: now.served - before.served,
                    refused: now.refused - before.refused,
                    lost: now.lost - before.lost,
                };
            }
            tokio::time::sleep(CALL_PERIOD).await;
        }
    }

    fn tally(&self) -> CallTally {
        *self.tally.lock().expect("no panic")
    }

    /// Sends no more requests, waits until all have ended, and returns how they did.
    pub async fn stop(self) -> CallTally {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.task.await.expect("it ends");
        loop {
            let tally = *self.tally.lock().expect("no panic");
            if tally.asked == tally.begun {
                return tally;
            }
            tokio::time::sleep(CALL_PERIOD).await;
        }
    }
}

/// How requests ended, and the ids of those that were lost.
type CallRecords = (Arc<Mutex<CallTally>>, Arc<Mutex<Vec<String>>>);

async fn ask(
    address: SocketAddr,
    mix: CallMix,
    (tally, lost): CallRecords,
    is_stopped: Arc<AtomicBool>,
) {
    let mut period = tokio::time::interval(CALL_PERIOD);
    // Callers of several daemons share the ids, and each has all kinds of requests.
    for place in 0_u64.. {
        period.tick().await;
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let is_stream = place.is_multiple_of(STREAM_EVERY);
        let is_unsafe = mix == CallMix::WithUnsafe && place % STREAM_EVERY == 2;
        let (method, route) = match (is_stream, is_unsafe) {
            (true, _) => ("POST", "stream"),
            (false, true) => ("POST", "once"),
            (false, false) => ("GET", "safe"),
        };
        let mut request = call(method, route, &format!("ordinary-{number}"));
        if method == "GET" {
            request.body = "";
        }
        tally.lock().expect("no panic").begun += 1;
        let (tally, lost) = (Arc::clone(&tally), Arc::clone(&lost));
        tokio::spawn(async move {
            let status = call_within(address, &request).await;
            let mut tally = tally.lock().expect("no panic");
            tally.asked += 1;
            match status {
                Ok(200) => tally.served += 1,
                Ok(503) => tally.refused += 1,
                other => {
                    println!("lost: {} ended with {other:?}", request.id);
                    lost.lock().expect("no panic").push(request.id.clone());
                    tally.lost += 1;
                }
            }
        });
    }
}
