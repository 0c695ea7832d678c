use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes that bodies of one kind may occupy together.
///
/// One body may hold as many bytes as are left free beside it (a dynamic threshold: Choudhury and Hahne, "Dynamic Queue
/// Length Thresholds for Shared-Memory Packet Switches", 1998). With `n` bodies that grow without end, each is refused
/// at the capacity divided by `n + 1`, and as much stays free for small ones. A first-come bound would be used up by
/// four bodies of 4 MiB, and refuse every small body beside them.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    pool: Arc<BytePool>,
}

#[derive(Debug)]
struct BytePool {
    capacity: usize,
    held: AtomicUsize,
    most_held: AtomicUsize,
}

impl ByteBudget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        let pool = BytePool { capacity, held: AtomicUsize::new(0), most_held: AtomicUsize::new(0) };
        Self { pool: Arc::new(pool) }
    }

    /// Bytes that may be held at a time.
    pub fn capacity(&self) -> usize {
        self.pool.capacity
    }

    /// Bytes that are held now.
    pub fn held(&self) -> usize {
        self.pool.held.load(Ordering::Relaxed)
    }

    /// Most bytes that were held at a time.
    pub fn most_held(&self) -> usize {
        self.pool.most_held.load(Ordering::Relaxed)
    }

    /// Whether a new body of `bytes` would be admitted now.
    pub fn admits(&self, bytes: usize) -> bool {
        self.pool.admits(self.held(), bytes)
    }

    /// Starts a share that holds nothing.
    pub fn share(&self) -> ByteShare {
        ByteShare { budget: self.clone(), bytes: 0 }
    }
}

impl BytePool {
    /// Whether a body may hold `bytes` beside others that hold `others`.
    fn admits(&self, others: usize, bytes: usize) -> bool {
        bytes.saturating_mul(2).saturating_add(others) <= self.capacity
    }
}

/// The part of a budget that one body holds; it is returned when the share is dropped.
#[derive(Debug)]
pub struct ByteShare {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteShare {
    /// Bytes that the share holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the share to `bytes`; returns false, and changes nothing, if the budget does not admit as many.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let pool = &self.budget.pool;
        if bytes <= self.bytes {
            pool.held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let added = bytes - self.bytes;
        let grow = |held: usize| pool.admits(held - self.bytes, bytes).then_some(held + added);
        let Ok(before) = pool.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow) else {
            return false;
        };
        pool.most_held.fetch_max(before + added, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// Attaches the share to `bytes`, and returns it when the last reference to them is dropped.
    pub fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, share: self })
    }

    /// Moves `bytes` of this share, or all that it holds, to a share of their own.
    pub fn split(&mut self, bytes: usize) -> Self {
        let moved = bytes.min(self.bytes);
        self.bytes -= moved;
        Self { budget: self.budget.clone(), bytes: moved }
    }
}

/// Bytes that count against a budget.
#[derive(Debug)]
struct HeldBytes<B> {
    bytes: B,
    #[allow(dead_code, reason = "dropped with the bytes")]
    share: ByteShare,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        self.budget.pool.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
