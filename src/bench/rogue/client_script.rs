use bytes::Bytes;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// How long a client that has sent all keeps its connection.
const HOLD_TIME: Duration = Duration::from_secs(8);
/// A client that reads slowly reads one byte in this time.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(500);

/// How a client reads what it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadingPace {
    /// All of it, as it arrives.
    Promptly,
    /// A byte at a time, with a pause after each.
    Slowly,
    /// Nothing.
    Never,
}

/// What a client does on one connection.
#[derive(Debug, Clone)]
pub struct ClientScript {
    /// What it sends first.
    pub opening: Bytes,
    /// What it sends again and again after that.
    pub piece: Bytes,
    /// How often.
    pub piece_count: usize,
    /// Pause before each.
    pub pause: Duration,
    /// How it reads meanwhile.
    pub reading: ReadingPace,
}

impl ClientScript {
    /// Plays the script on an open connection, until the other side closes it or the client has held it for some seconds.
    pub async fn play(&self, stream: TcpStream) {
        let (reader, writer) = stream.into_split();
        tokio::select! {
            () = self.send(writer) => {}
            () = self.read(reader) => {}
        }
    }

    async fn send(&self, mut writer: OwnedWriteHalf) {
        if writer.write_all(&self.opening).await.is_err() {
            return;
        }
        for _ in 0..self.piece_count {
            if !self.pause.is_zero() {
                tokio::time::sleep(self.pause).await;
            }
            if writer.write_all(&self.piece).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(HOLD_TIME).await;
    }

    async fn read(&self, mut reader: OwnedReadHalf) {
        let size = match self.reading {
            ReadingPace::Promptly => 16 << 10,
            ReadingPace::Slowly => 1,
            ReadingPace::Never => return std::future::pending().await,
        };
        let mut buffer = vec![0; size];
        while matches!(reader.read(&mut buffer).await, Ok(count) if count > 0) {
            if self.reading == ReadingPace::Slowly {
                tokio::time::sleep(SLOW_READ_PAUSE).await;
            }
        }
    }
}
