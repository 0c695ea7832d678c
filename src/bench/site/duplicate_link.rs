use crate::Result;
use crate::host::lock;
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Which answers are given twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DuplicatePlan {
    /// Answers to requests whose head holds this text, in lower case.
    pub request_contains: &'static str,
    /// How many of them.
    pub times: u32,
}

/// A loopback link before a stand-in that can give its answers twice.
///
/// The second copy of an answer leaves when the next request on its connection has arrived, ahead of that
/// request's own answer; from then on the connection is one answer behind, as it is with a server whose
/// work takes longer than the pause between two requests.
#[derive(Debug, Clone)]
pub struct DuplicateLink {
    /// Where it listens.
    pub address: SocketAddr,
    plan: Arc<Mutex<DuplicatePlan>>,
    connections: Arc<AtomicU32>,
}

impl DuplicateLink {
    /// Starts a link to `target` that passes everything on until it is told otherwise.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let plan = Arc::new(Mutex::new(DuplicatePlan { request_contains: "", times: 0 }));
        let link = Self { address, plan, connections: Arc::default() };
        let serving = link.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let link = serving.clone();
                link.connections.fetch_add(1, Ordering::Relaxed);
                // Whoever breaks off first ends both sides.
                tokio::spawn(async move { drop(link.carry(near, target).await) });
            }
        });
        Ok(link)
    }

    /// Gives the next answers that `plan` names twice.
    pub fn duplicate(&self, plan: DuplicatePlan) {
        *lock(&self.plan) = plan;
    }

    /// Answers that are still to be given twice.
    pub fn remaining(&self) -> u32 {
        lock(&self.plan).times
    }

    /// Connections that were opened to it.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    async fn carry(&self, mut near: TcpStream, target: SocketAddr) -> Result<()> {
        let mut far = TcpStream::connect(target).await?;
        far.set_nodelay(true)?;
        near.set_nodelay(true)?;
        // The copy, or the answer, that is behind.
        let mut late: Option<Bytes> = None;
        while let Some(request) = read_message(&mut near, None).await? {
            if let Some(earlier) = late.take() {
                near.write_all(&earlier).await?;
                far.write_all(&request).await?;
                late = read_message(&mut far, None).await?;
                continue;
            }
            far.write_all(&request).await?;
            let Some(answer) = read_message(&mut far, Some(&mut near)).await? else {
                return Ok(());
            };
            if self.is_doubled(&request) {
                late = Some(answer);
            }
        }
        Ok(())
    }

    fn is_doubled(&self, request: &[u8]) -> bool {
        let mut plan = lock(&self.plan);
        let text = String::from_utf8_lossy(request).to_ascii_lowercase();
        let doubled = plan.times > 0 && text.contains(plan.request_contains);
        if doubled {
            plan.times -= 1;
        }
        doubled
    }
}

/// How a message's body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    Length(usize),
    LastChunk,
    Close,
}

/// Reads a message to its end, and passes it on as it comes; `None` if the connection has ended.
async fn read_message(
    from: &mut (impl AsyncRead + Unpin),
    mut onward: Option<&mut TcpStream>,
) -> Result<Option<Bytes>> {
    let mut bytes = BytesMut::new();
    while message_end(&bytes).is_none() {
        let before = bytes.len();
        if from.read_buf(&mut bytes).await? == 0 {
            let closes = body_end(&bytes).is_some_and(|(_, end)| end == BodyEnd::Close);
            return Ok(closes.then(|| bytes.freeze()));
        }
        if let Some(onward) = onward.as_deref_mut() {
            onward.write_all(&bytes[before..]).await?;
        }
    }
    Ok(Some(bytes.freeze()))
}

/// Where a message that is there as a whole ends.
pub(in crate::bench) fn message_end(message: &[u8]) -> Option<usize> {
    let (head, end) = body_end(message)?;
    let end = match end {
        BodyEnd::Close => None,
        BodyEnd::Length(length) => Some(head + length),
        BodyEnd::LastChunk => last_chunk_end(&message[head..]).map(|end| head + end),
    };
    end.filter(|end| message.len() >= *end)
}

/// Length of a message's head and how its body ends, once the head is there.
fn body_end(message: &[u8]) -> Option<(usize, BodyEnd)> {
    let text = String::from_utf8_lossy(message).to_ascii_lowercase();
    let head = &text[..text.find("\r\n\r\n")?];
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let end = if field("transfer-encoding:").is_some_and(|value| value.contains("chunked")) {
        BodyEnd::LastChunk
    } else if let Some(length) = field("content-length:") {
        BodyEnd::Length(length.parse().unwrap_or_default())
    } else if head.starts_with("http/") {
        BodyEnd::Close
    } else {
        BodyEnd::Length(0)
    };
    Some((head.len() + 4, end))
}

/// Where the last chunk of a chunked body ends, if it is there.
fn last_chunk_end(body: &[u8]) -> Option<usize> {
    let mut place = 0;
    loop {
        let line = body[place..].windows(2).position(|pair| pair == b"\r\n")?;
        let digits = String::from_utf8_lossy(&body[place..place + line]).into_owned();
        let size = usize::from_str_radix(digits.trim(), 16).ok()?;
        place += line + 2 + size + 2;
        if place > body.len() {
            return None;
        }
        if size == 0 {
            return Some(place);
        }
    }
}
