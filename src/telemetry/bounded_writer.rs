use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Instant;

/// Most lines queued for a slow reader; at about 200 bytes a line, a few hundred kilobytes.
const MAX_QUEUED_LINES: usize = 2000;
/// Sustained rate; a busy host writes about fifty lines a second.
const LINES_PER_SECOND: f64 = 300.0;
/// Capacity of the token bucket, in lines.
const BURST_LINES: f64 = 1500.0;

/// Passes complete lines to a thread that writes them to standard output.
///
/// Lines beyond the rate or the queue length are dropped and counted. A line with that count precedes
/// the next line that is accepted.
#[derive(Debug)]
pub(super) struct BoundedWriter {
    queue: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    bucket: LineBucket,
    dropped: u64,
}

/// A token bucket that limits the rate of lines.
#[derive(Debug)]
struct LineBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl LineBucket {
    fn try_take(&mut self, now: Instant) -> bool {
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

impl BoundedWriter {
    /// Starts the writer thread.
    pub fn start() -> Self {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        std::thread::spawn(move || write_lines(&lines));
        let bucket = LineBucket { tokens: BURST_LINES, refilled_at: Instant::now() };
        Self { queue, line: Vec::new(), bucket, dropped: 0 }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !self.bucket.try_take(Instant::now()) {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let notice = format!("level=warn event=log_lines_dropped count={}\n", self.dropped);
            if self.queue.try_send(notice.into_bytes()).is_ok() {
                self.dropped = 0;
            }
        }
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
            self.dropped += 1;
        }
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        for piece in buf.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                self.end_line();
            }
        }
        Ok(buf.len())
    }

    /// Does nothing: loggers flush after each line, and waiting here would block the daemon.
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        // A failure is ignored: if standard output is closed, it cannot be reported anywhere.
        drop(out.write_all(&line).and_then(|()| out.flush()));
    }
}
