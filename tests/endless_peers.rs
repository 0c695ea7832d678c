//! Other hosts whose replies have no end, although they know the key, and strangers that do not: a call to them ends, and
//! takes a bounded part of what they send.

use bytes::Bytes;
use h2::server::SendResponse;
use http::{HeaderMap, HeaderValue, Response};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tealcleat::Error;
use tealcleat::peers::{MESSAGE_LIMIT, PeerClient, PeerReply, PeerRequest, prove_as_server};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

mod site_common;

use site_common::runtime;

const KEY: &str = "a-shared-key-of-tests";
const LIMIT: Duration = Duration::from_secs(5);
const PIECE: usize = 64 << 10;
/// After this many bytes a reply stops, so that a host without a bound does not fill the machine's memory.
const MAX_WRITTEN: usize = 64 << 20;
/// Most bytes that may leave the other host: a message, what the connection lets through unread, and a piece.
const MAX_TAKEN: usize = 3 * MESSAGE_LIMIT;

/// Where the reply of another host has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndlessReply {
    /// The bytes of the message.
    Body,
    /// The fields of its head.
    Head,
    /// The fields after it.
    Trailers,
    /// The bytes of the connection are no frames.
    Noise,
    /// There is not even a proof of the key.
    Stranger,
}

/// Starts a host whose replies have no end; counts the bytes that it could send.
async fn start_host(reply: EndlessReply) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let written = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&written);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, reply, Arc::clone(&counted)));
        }
    });
    (address, written)
}

async fn serve(mut stream: TcpStream, reply: EndlessReply, written: Arc<AtomicUsize>) {
    let has_proof = reply != EndlessReply::Stranger;
    if has_proof && prove_as_server(&mut stream, KEY).await.is_err() {
        return;
    }
    if matches!(reply, EndlessReply::Noise | EndlessReply::Stranger) {
        while written.load(Ordering::Relaxed) < MAX_WRITTEN
            && stream.write_all(&[7; PIECE]).await.is_ok()
        {
            written.fetch_add(PIECE, Ordering::Relaxed);
        }
        return;
    }
    let Ok(mut connection) = h2::server::handshake(stream).await else { return };
    while let Some(Ok((_, respond))) = connection.accept().await {
        tokio::spawn(send_reply(respond, reply, Arc::clone(&written)));
    }
}

async fn send_reply(
    mut respond: SendResponse<Bytes>,
    reply: EndlessReply,
    written: Arc<AtomicUsize>,
) {
    let mut response = Response::new(());
    if reply == EndlessReply::Head {
        *response.headers_mut() = many_fields();
    }
    let Ok(mut stream) = respond.send_response(response, false) else { return };
    match reply {
        EndlessReply::Trailers => drop(stream.send_trailers(many_fields())),
        _ => {
            while written.load(Ordering::Relaxed) < MAX_WRITTEN {
                stream.reserve_capacity(PIECE);
                let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
                let Some(Ok(count)) = capacity else { return };
                if stream.send_data(Bytes::from(vec![0; count]), false).is_err() {
                    return;
                }
                written.fetch_add(count, Ordering::Relaxed);
            }
        }
    }
}

/// Fields of 48 MB together.
fn many_fields() -> HeaderMap {
    let mut fields = HeaderMap::new();
    for _ in 0..3000 {
        fields.append("x-more", HeaderValue::from_bytes(&[b'a'; 16 << 10]).expect("a value"));
    }
    fields
}

/// Guards against a reply that is collected without a bound.
#[rstest]
#[case::body(EndlessReply::Body)]
#[case::head(EndlessReply::Head)]
#[case::trailers(EndlessReply::Trailers)]
#[case::noise(EndlessReply::Noise)]
#[case::stranger(EndlessReply::Stranger)]
fn endless_reply_given_up(#[case] reply: EndlessReply) {
    runtime().block_on(async {
        let (address, written) = start_host(reply).await;
        let client = PeerClient::new(KEY);
        let call = client.call::<_, PeerReply>(address, &PeerRequest::Config(0), LIMIT);
        let ended = call.await;
        assert!(ended.is_err(), "{ended:?}");
        if reply == EndlessReply::Stranger {
            assert!(matches!(ended, Err(Error::Unauthenticated)), "{ended:?}");
        }
        let taken = written.load(Ordering::Relaxed);
        assert!(taken < MAX_TAKEN, "{taken} bytes were taken");
    });
}
