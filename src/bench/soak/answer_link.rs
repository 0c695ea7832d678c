//! A loopback link to a backend server. It knows where each answer begins and ends.

use super::answer_fault::{AnswerFault, ends_inside_event, without_length};
use super::link_listener::accept_all;
use super::request_forward::forward_requests;
use crate::Result;
use crate::bench::links::{connect_as, reset};
use crate::bench::site::{IncarnationSwitch, message_end};
use bytes::{Bytes, BytesMut};
use rand::Rng;
use rand::rngs::StdRng;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Probability that a fault affects an answer.
const FAULT_PROBABILITY: f64 = 0.5;
/// Longest delay between an answer and its late copy.
const MAX_COPY_DELAY_MS: u64 = 60;
/// Longest time for which an answer is held back while a fault is set. It is as long as a prompt takes to read, so
/// that a request can arrive before the answer to the previous one has been sent.
const MAX_WORK_MS: u64 = 120;

/// A link that forwards everything unchanged until a fault is set for its server's answers.
#[derive(Debug)]
pub(super) struct AnswerLink {
    pub address: SocketAddr,
    fault: watch::Sender<Option<AnswerFault>>,
    is_open: watch::Sender<bool>,
}

impl AnswerLink {
    /// Starts a link to `target`. `seed` determines which answers a fault affects.
    pub async fn start(target: SocketAddr, seed: u64) -> Result<Self> {
        Self::start_at(Ipv4Addr::LOCALHOST, target, seed).await
    }

    /// Starts a link to `target` at an address of `machine`.
    pub async fn start_at(machine: Ipv4Addr, target: SocketAddr, seed: u64) -> Result<Self> {
        let listener = TcpListener::bind((machine, 0)).await?;
        let address = listener.local_addr()?;
        let (fault, fault_receiver) = watch::channel(None);
        let (is_open, open_receiver) = watch::channel(true);
        tokio::spawn(accept_all(listener, address, target, open_receiver, fault_receiver, seed));
        Ok(Self { address, fault, is_open })
    }

    /// Refuses connections while the server that `incarnations` belongs to is down.
    pub fn refuse_while_down(&self, incarnations: IncarnationSwitch) {
        let is_open = self.is_open.clone();
        tokio::spawn(async move {
            loop {
                incarnations.crashed().await;
                is_open.send_replace(false);
                incarnations.restarted().await;
                is_open.send_replace(true);
            }
        });
    }

    /// Sets the fault that affects answers, or clears it.
    pub fn set_fault(&self, fault: Option<AnswerFault>) {
        self.fault.send_replace(fault);
    }
}

/// Connects to `target` for a client and forwards both directions until one of them ends.
pub(super) async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<Option<AnswerFault>>,
    random: StdRng,
) -> Result<()> {
    let server = connect_as(client.peer_addr()?.ip(), target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, to) = client.into_split();
    let (from, server_write) = server.into_split();
    let (request_signal, requests) = watch::channel(());
    let buffer = BytesMut::new();
    let relay = AnswerRelay {
        from,
        to,
        buffer,
        faults,
        requests,
        pending_copy: None,
        needs_reset: false,
        random,
    };
    // When one direction ends, both sockets are dropped, which closes the other direction as well.
    tokio::select! {
        ended = forward_requests(client_read, server_write, request_signal) => ended,
        ended = relay.run() => ended,
    }
}

/// An answer that will be sent a second time.
#[derive(Debug)]
struct PendingCopy {
    answer: Bytes,
    due: CopyTime,
}

/// When a copy is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyTime {
    At(Instant),
    NextRequest,
}

/// Forwards the answers of one connection.
#[derive(Debug)]
struct AnswerRelay {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    /// Bytes that were read from the server and do not belong to an answer that was already forwarded.
    buffer: BytesMut,
    faults: watch::Receiver<Option<AnswerFault>>,
    /// Changes when bytes of a request have arrived.
    requests: watch::Receiver<()>,
    pending_copy: Option<PendingCopy>,
    /// Whether the connection ends with a reset.
    needs_reset: bool,
    random: StdRng,
}

impl AnswerRelay {
    async fn run(mut self) -> Result<()> {
        while self.wait_for_answer().await? {
            let fault = *self.faults.borrow();
            if fault.is_some() {
                let work_ms = self.random.random_range(0..MAX_WORK_MS);
                sleep(Duration::from_millis(work_ms)).await;
            }
            let fault = fault.filter(|_| self.random.random_bool(FAULT_PROBABILITY));
            if !self.send_answer(fault).await? {
                break;
            }
        }
        if self.needs_reset {
            reset(self.to);
        }
        Ok(())
    }

    /// Waits for the next answer. Returns false if the server has closed the connection.
    async fn wait_for_answer(&mut self) -> Result<bool> {
        while self.buffer.is_empty() {
            tokio::select! {
                biased;
                () = copy_due(self.pending_copy.as_ref(), &mut self.requests) => self.send_copy().await?,
                read = self.from.read_buf(&mut self.buffer) => {
                    if read? == 0 {
                        return Ok(false);
                    }
                }
            }
        }
        Ok(true)
    }

    /// Sends the copy that is due, unless the fault has been cleared meanwhile.
    async fn send_copy(&mut self) -> Result<()> {
        if let Some(copy) = self.pending_copy.take().filter(|_| self.faults.borrow().is_some()) {
            self.to.write_all(&copy.answer).await?;
        }
        Ok(())
    }

    /// Sends an answer. Returns false if the connection ends with this answer.
    async fn send_answer(&mut self, fault: Option<AnswerFault>) -> Result<bool> {
        // A request that arrives from now on counts as the next request.
        self.requests.borrow_and_update();
        match fault {
            None => Ok(self.forward_answer().await?.is_some()),
            Some(AnswerFault::LateCopy) => {
                let delay = Duration::from_millis(self.random.random_range(0..MAX_COPY_DELAY_MS));
                self.forward_and_copy(CopyTime::At(Instant::now() + delay)).await
            }
            Some(AnswerFault::CopyAhead) => self.forward_and_copy(CopyTime::NextRequest).await,
            Some(AnswerFault::CopyBehind) => self.send_twice().await,
            Some(AnswerFault::Unframed) => self.send_unframed(|answer| answer).await,
            Some(AnswerFault::UnframedTwice) => {
                self.send_unframed(|answer| [&answer[..], &answer[..]].concat().into()).await
            }
            Some(AnswerFault::UnframedBreak) => self.send_unframed_part().await,
            Some(AnswerFault::ResetMidway) => self.send_and_reset().await,
        }
    }

    /// Forwards an answer and schedules a copy of it.
    async fn forward_and_copy(&mut self, due: CopyTime) -> Result<bool> {
        let answer = self.forward_answer().await?;
        self.pending_copy = answer.map(|answer| PendingCopy { answer, due });
        Ok(self.pending_copy.is_some())
    }

    async fn send_twice(&mut self) -> Result<bool> {
        let Some(answer) = self.read_answer().await? else {
            return Ok(false);
        };
        self.to.write_all(&[&answer[..], &answer[..]].concat()).await?;
        Ok(true)
    }

    /// Removes the length from an answer and sends what `alter` makes of the result.
    async fn send_unframed(&mut self, alter: impl FnOnce(Bytes) -> Bytes) -> Result<bool> {
        if let Some(answer) = self.read_answer().await? {
            self.to.write_all(&alter(without_length(&answer))).await?;
        }
        Ok(false)
    }

    /// Sends the first part of an answer without its length, then ends the connection.
    async fn send_unframed_part(&mut self) -> Result<bool> {
        if let Some(answer) = self.read_answer().await? {
            let answer = without_length(&answer);
            let part = &answer[..cut_position(&answer)];
            self.to.write_all(part).await?;
            self.needs_reset = !ends_inside_event(part);
        }
        Ok(false)
    }

    /// Sends the first part of an answer, then resets the connection.
    async fn send_and_reset(&mut self) -> Result<bool> {
        if let Some(answer) = self.read_answer().await? {
            self.to.write_all(&answer[..cut_position(&answer)]).await?;
            self.needs_reset = true;
        }
        Ok(false)
    }

    /// Forwards an answer while it is being read. Returns `None` if the server breaks it off.
    async fn forward_answer(&mut self) -> Result<Option<Bytes>> {
        let mut forwarded = 0;
        loop {
            let end = message_end(&self.buffer);
            let known = end.unwrap_or(self.buffer.len());
            self.to.write_all(&self.buffer[forwarded..known]).await?;
            forwarded = known;
            if let Some(end) = end {
                return Ok(Some(self.buffer.split_to(end).freeze()));
            }
            if self.from.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a complete answer. Returns `None` if the server breaks it off.
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

/// Waits until the pending copy is due. Never returns if there is none.
async fn copy_due(copy: Option<&PendingCopy>, requests: &mut watch::Receiver<()>) {
    match copy.map(|copy| copy.due) {
        Some(CopyTime::At(time)) => sleep_until(time).await,
        Some(CopyTime::NextRequest) if requests.changed().await.is_ok() => {}
        _ => std::future::pending().await,
    }
}

/// Returns the position at which an answer is cut: the middle of its body, if it has one.
fn cut_position(answer: &[u8]) -> usize {
    let head_length =
        answer.windows(4).position(|window| window == b"\r\n\r\n").map_or(0, |end| end + 4);
    head_length + (answer.len() - head_length) / 2
}
