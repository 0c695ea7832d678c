//! A loopback link before a backend server that knows where answers begin and end.

use super::link_listener::accept_all;
use super::soak_answer::{AnswerFault, without_length};
use crate::Result;
use crate::bench::links::{connect_as, reset};
use crate::bench::site::{IncarnationSwitch, message_end};
use bytes::{Bytes, BytesMut};
use rand::Rng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Part of the answers that a fault strikes.
const FAULTY_PART: f64 = 0.5;
/// A copy leaves at most this long after its answer.
const LONGEST_LATE_MS: u64 = 60;
/// Longest work on a request while answers go wrong: as long as a prompt takes to read, so that requests
/// can arrive before the answer to the last one has left.
const LONGEST_WORK_MS: u64 = 120;

/// A link that passes everything on until its server's answers are to go wrong.
#[derive(Debug)]
pub(super) struct AnswerLink {
    pub address: SocketAddr,
    fault: watch::Sender<Option<AnswerFault>>,
    is_open: watch::Sender<bool>,
}

impl AnswerLink {
    /// Starts a link to `target`; `seed` draws which answers go wrong.
    pub async fn start(target: SocketAddr, seed: u64) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(None);
        let (is_open, opens) = watch::channel(true);
        tokio::spawn(accept_all(listener, address, target, opens, faults, seed));
        Ok(Self { address, fault, is_open })
    }

    /// Refuses connections while the server is down that has these lives.
    pub fn follow(&self, lives: IncarnationSwitch) {
        let is_open = self.is_open.clone();
        tokio::spawn(async move {
            loop {
                lives.crashed().await;
                is_open.send_replace(false);
                lives.restarted().await;
                is_open.send_replace(true);
            }
        });
    }

    /// Lets answers go wrong, or right again.
    pub fn set(&self, fault: Option<AnswerFault>) {
        self.fault.send_replace(fault);
    }
}

pub(super) async fn carry(
    near: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<Option<AnswerFault>>,
    random: StdRng,
) -> Result<()> {
    let far = connect_as(near.peer_addr()?.ip(), target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, to) = near.into_split();
    let (from, far_write) = far.into_split();
    let (asked, asks) = watch::channel(());
    let buffer = BytesMut::new();
    let pump = AnswerPump { from, to, buffer, faults, asks, late: None, is_reset: false, random };
    // When one way ends, both sockets are dropped: that breaks the other way off.
    tokio::select! {
        ended = pass_requests(near_read, far_write, asked) => ended,
        ended = pump.run() => ended,
    }
}

async fn pass_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    asked: watch::Sender<()>,
) -> Result<()> {
    let mut buffer = BytesMut::new();
    while from.read_buf(&mut buffer).await? > 0 {
        // Before the server can have answered.
        asked.send_replace(());
        to.write_all(&buffer).await?;
        buffer.clear();
    }
    Ok(())
}

/// An answer that is to be given once more.
#[derive(Debug)]
struct LateCopy {
    answer: Bytes,
    leaves: CopyTime,
}

/// When a copy leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyTime {
    At(Instant),
    NextRequest,
}

/// Passes the answers of one connection on.
#[derive(Debug)]
struct AnswerPump {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    /// What was read of the server's answers and does not belong to one that was passed on.
    buffer: BytesMut,
    faults: watch::Receiver<Option<AnswerFault>>,
    /// Changes when bytes of requests have arrived.
    asks: watch::Receiver<()>,
    late: Option<LateCopy>,
    /// The connection ends with a reset.
    is_reset: bool,
    random: StdRng,
}

impl AnswerPump {
    async fn run(mut self) -> Result<()> {
        while self.answer_comes().await? {
            let struck = *self.faults.borrow();
            if struck.is_some() {
                let work = self.random.random_range(0..LONGEST_WORK_MS);
                sleep(Duration::from_millis(work)).await;
            }
            let fault = struck.filter(|_| self.random.random_bool(FAULTY_PART));
            if !self.give(fault).await? {
                break;
            }
        }
        if self.is_reset {
            reset(self.to);
        }
        Ok(())
    }

    /// Waits for the next answer; false if the server has closed the connection.
    async fn answer_comes(&mut self) -> Result<bool> {
        while self.buffer.is_empty() {
            tokio::select! {
                biased;
                () = copy_due(self.late.as_ref(), &mut self.asks) => self.give_copy().await?,
                read = self.from.read_buf(&mut self.buffer) => {
                    if read? == 0 {
                        return Ok(false);
                    }
                }
            }
        }
        Ok(true)
    }

    /// Gives the copy that is due, unless the server has come right meanwhile.
    async fn give_copy(&mut self) -> Result<()> {
        if let Some(late) = self.late.take().filter(|_| self.faults.borrow().is_some()) {
            self.to.write_all(&late.answer).await?;
        }
        Ok(())
    }

    /// Gives an answer; false if its connection ends with it.
    async fn give(&mut self, fault: Option<AnswerFault>) -> Result<bool> {
        // A request that arrives from now on is the next one.
        self.asks.borrow_and_update();
        match fault {
            None => Ok(self.pass_answer().await?.is_some()),
            Some(AnswerFault::LateCopy) => {
                let late = Duration::from_millis(self.random.random_range(0..LONGEST_LATE_MS));
                self.pass_doubled(CopyTime::At(Instant::now() + late)).await
            }
            Some(AnswerFault::CopyAhead) => self.pass_doubled(CopyTime::NextRequest).await,
            Some(AnswerFault::CopyBehind) => self.give_twice().await,
            Some(AnswerFault::Unframed) => self.give_unframed(|answer| answer).await,
            Some(AnswerFault::UnframedTwice) => {
                self.give_unframed(|answer| [&answer[..], &answer[..]].concat().into()).await
            }
            Some(AnswerFault::UnframedReset) => {
                self.give_reset(|answer| without_length(&answer)).await
            }
            Some(AnswerFault::ResetMidway) => self.give_reset(|answer| answer).await,
        }
    }

    async fn pass_doubled(&mut self, leaves: CopyTime) -> Result<bool> {
        let answer = self.pass_answer().await?;
        self.late = answer.map(|answer| LateCopy { answer, leaves });
        Ok(self.late.is_some())
    }

    async fn give_twice(&mut self) -> Result<bool> {
        let Some(answer) = self.read_answer().await? else {
            return Ok(false);
        };
        self.to.write_all(&[&answer[..], &answer[..]].concat()).await?;
        Ok(true)
    }

    /// Gives an answer without a length, and what `alter` makes of it.
    async fn give_unframed(&mut self, alter: impl FnOnce(Bytes) -> Bytes) -> Result<bool> {
        if let Some(answer) = self.read_answer().await? {
            self.to.write_all(&alter(without_length(&answer))).await?;
        }
        Ok(false)
    }

    /// Gives the first part of what `alter` makes of an answer, and resets the connection.
    async fn give_reset(&mut self, alter: impl FnOnce(Bytes) -> Bytes) -> Result<bool> {
        if let Some(answer) = self.read_answer().await? {
            let answer = alter(answer);
            self.to.write_all(&answer[..cut_place(&answer)]).await?;
            self.is_reset = true;
        }
        Ok(false)
    }

    /// Reads an answer and passes it on as it comes; `None` if the server breaks it off.
    async fn pass_answer(&mut self) -> Result<Option<Bytes>> {
        let mut passed = 0;
        loop {
            let end = message_end(&self.buffer);
            let known = end.unwrap_or(self.buffer.len());
            self.to.write_all(&self.buffer[passed..known]).await?;
            passed = known;
            if let Some(end) = end {
                return Ok(Some(self.buffer.split_to(end).freeze()));
            }
            if self.from.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads an answer; `None` if the server breaks it off.
    async fn read_answer(&mut self) -> Result<Option<Bytes>> {
        loop {
            if let Some(end) = message_end(&self.buffer) {
                return Ok(Some(self.buffer.split_to(end).freeze()));
            }
            if self.from.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }
}

/// Returns when a copy is to leave; never if there is none.
async fn copy_due(late: Option<&LateCopy>, asks: &mut watch::Receiver<()>) {
    match late.map(|late| late.leaves) {
        Some(CopyTime::At(time)) => sleep_until(time).await,
        Some(CopyTime::NextRequest) if asks.changed().await.is_ok() => {}
        _ => std::future::pending().await,
    }
}

/// Where an answer is cut: within its body, if it has one.
fn cut_place(answer: &[u8]) -> usize {
    let head = answer.windows(4).position(|window| window == b"\r\n\r\n").map_or(0, |end| end + 4);
    head + (answer.len() - head) / 2
}
