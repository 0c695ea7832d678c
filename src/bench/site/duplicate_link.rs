use crate::Result;
use crate::host::lock;
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Which responses a [`DuplicateLink`] sends twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DuplicatePlan {
    /// Lower-case text; responses to requests that contain it are sent twice.
    pub request_contains: &'static str,
    /// How many more responses are sent twice.
    pub times: u32,
}

/// A loopback proxy in front of a stand-in that can send responses twice.
///
/// The second copy of a response is sent when the next request arrives on the same connection, before that
/// request's own response. From then on, the connection is one response behind, as with a server that needs
/// more time for a request than passes until the next one.
#[derive(Debug, Clone)]
pub struct DuplicateLink {
    /// The address that the link listens on.
    pub address: SocketAddr,
    plan: Arc<Mutex<DuplicatePlan>>,
    connections: Arc<AtomicU32>,
}

impl DuplicateLink {
    /// Starts a link to `target` that duplicates nothing until [`DuplicateLink::duplicate`] is called.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let plan = Arc::new(Mutex::new(DuplicatePlan { request_contains: "", times: 0 }));
        let link = Self { address, plan, connections: Arc::default() };
        let acceptor = link.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let link = acceptor.clone();
                link.connections.fetch_add(1, Ordering::Relaxed);
                // When either side disconnects, both connections are dropped.
                tokio::spawn(async move { drop(link.relay(client, target).await) });
            }
        });
        Ok(link)
    }

    /// Sends the next responses that match `plan` twice.
    pub fn duplicate(&self, plan: DuplicatePlan) {
        *lock(&self.plan) = plan;
    }

    /// Number of responses that are still to be sent twice.
    pub fn remaining(&self) -> u32 {
        lock(&self.plan).times
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    async fn relay(&self, mut client: TcpStream, target: SocketAddr) -> Result<()> {
        let mut server = TcpStream::connect(target).await?;
        server.set_nodelay(true)?;
        client.set_nodelay(true)?;
        // The copy or response that is sent when the next request arrives.
        let mut delayed: Option<Bytes> = None;
        while let Some(request) = read_message(&mut client, None, || ()).await? {
            if let Some(delayed_answer) = delayed.take() {
                client.write_all(&delayed_answer).await?;
                server.write_all(&request).await?;
                delayed = read_message(&mut server, None, || ()).await?;
                continue;
            }
            server.write_all(&request).await?;
            let mut is_duplicated = false;
            let on_whole = || is_duplicated = self.take_duplicate(&request);
            let Some(answer) = read_message(&mut server, Some(&mut client), on_whole).await? else {
                return Ok(());
            };
            delayed = is_duplicated.then_some(answer);
        }
        Ok(())
    }

    fn take_duplicate(&self, request: &[u8]) -> bool {
        let mut plan = lock(&self.plan);
        let text = String::from_utf8_lossy(request).to_ascii_lowercase();
        let is_duplicated = plan.times > 0 && text.contains(plan.request_contains);
        if is_duplicated {
            plan.times -= 1;
        }
        is_duplicated
    }
}

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    Length(usize),
    LastChunk,
    Close,
}

/// Reads a message to its end and forwards its bytes to `forward_to` as they arrive; `None` if the connection ended
/// before the message was complete. Calls `on_whole` before it forwards the end of a message: a client that has the
/// whole message also sees what `on_whole` changed.
async fn read_message(
    from: &mut (impl AsyncRead + Unpin),
    mut forward_to: Option<&mut TcpStream>,
    mut on_whole: impl FnMut(),
) -> Result<Option<Bytes>> {
    let mut bytes = BytesMut::new();
    while message_end(&bytes).is_none() {
        let already_read = bytes.len();
        if from.read_buf(&mut bytes).await? == 0 {
            let closes = body_end(&bytes).is_some_and(|(_, end)| end == BodyEnd::Close);
            if closes {
                on_whole();
            }
            return Ok(closes.then(|| bytes.freeze()));
        }
        if message_end(&bytes).is_some() {
            on_whole();
        }
        if let Some(forward_to) = forward_to.as_deref_mut() {
            forward_to.write_all(&bytes[already_read..]).await?;
        }
    }
    Ok(Some(bytes.freeze()))
}

/// Length of the first message in the buffer; `None` if it is incomplete or ends with the connection.
pub(in crate::bench) fn message_end(message: &[u8]) -> Option<usize> {
    let (head, end) = body_end(message)?;
    let end = match end {
        BodyEnd::Close => None,
        BodyEnd::Length(length) => Some(head + length),
        BodyEnd::LastChunk => last_chunk_end(&message[head..]).map(|end| head + end),
    };
    end.filter(|end| message.len() >= *end)
}

/// Length of a message's head and how its body ends; `None` while the head is incomplete.
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

/// Length of a chunked body up to the end of its last chunk; `None` while it is incomplete.
fn last_chunk_end(body: &[u8]) -> Option<usize> {
    let mut offset = 0;
    loop {
        let line = body[offset..].windows(2).position(|pair| pair == b"\r\n")?;
        let digits = String::from_utf8_lossy(&body[offset..offset + line]).into_owned();
        let size = usize::from_str_radix(digits.trim(), 16).ok()?;
        offset += line + 2 + size + 2;
        if offset > body.len() {
            return None;
        }
        if size == 0 {
            return Some(offset);
        }
    }
}
