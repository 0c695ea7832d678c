use crate::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait in the queue of the port; the operating system completes a few more than the queue's length.
const QUEUE_LENGTH: u32 = 1;
/// A connection to loopback that takes longer than this is not answered.
const CONNECT_TIME: Duration = Duration::from_millis(200);
/// Ends the search for the length of the queue.
const MAX_CONNECTIONS: usize = 64;

/// A port at which connections hang, as at a machine that cannot be reached: its queue is full and nobody accepts.
#[derive(Debug)]
pub struct UnansweredPort {
    /// The address of the port.
    pub address: SocketAddr,
    #[allow(dead_code, reason = "keeps the port open")]
    listener: TcpListener,
    #[allow(dead_code, reason = "keeps the queue full")]
    queued: Vec<TcpStream>,
}

impl UnansweredPort {
    /// Opens the port and fills its queue.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn open() -> Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(QUEUE_LENGTH)?;
        let address = listener.local_addr()?;
        let mut queued = Vec::new();
        while queued.len() < MAX_CONNECTIONS {
            let connected = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await;
            let Ok(Ok(stream)) = connected else { break };
            queued.push(stream);
        }
        Ok(Self { address, listener, queued })
    }
}
