use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Most lines queued for a slow reader; at about 200 bytes a line, a few hundred kilobytes.
const MAX_QUEUED_LINES: usize = 2000;
/// Sustained rate; a busy host writes about fifty lines a second.
const LINES_PER_SECOND: f64 = 300.0;
/// Capacity of the token bucket, in lines.
const BURST_LINES: f64 = 1500.0;
/// Longest wait for the queued lines to be written before the process ends: an exit has 0.2 s left for it.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);
const FLUSH_POLL: Duration = Duration::from_millis(2);

/// Lines that are queued and not written yet.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);
/// Whether the rate of lines is no longer limited.
static IS_RATE_LIFTED: AtomicBool = AtomicBool::new(false);

/// Waits until the writer thread has written the queued lines, or a short time has passed.
pub fn flush_logs() {
    let began_at = Instant::now();
    while QUEUED_LINES.load(Ordering::Acquire) > 0 && began_at.elapsed() < FLUSH_LIMIT {
        std::thread::sleep(FLUSH_POLL);
    }
}

/// Accepts all further lines for which the queue has room: the process ends, and its last lines must not be dropped for
/// those before.
pub fn lift_line_rate() {
    IS_RATE_LIFTED.store(true, Ordering::Relaxed);
}

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
        if !self.bucket.try_take(Instant::now()) && !IS_RATE_LIFTED.load(Ordering::Relaxed) {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let notice = format!("level=warn event=log_lines_dropped count={}\n", self.dropped);
            if self.try_queue(notice.into_bytes()) {
                self.dropped = 0;
            }
        }
        if !self.try_queue(line) {
            self.dropped += 1;
        }
    }

    /// Queues a line; returns false if the queue has no room.
    fn try_queue(&self, line: Vec<u8>) -> bool {
        QUEUED_LINES.fetch_add(1, Ordering::AcqRel);
        let queued = self.queue.try_send(line);
        if queued.is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
        }
        !matches!(queued, Err(TrySendError::Full(_)))
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
        QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
    }
}
