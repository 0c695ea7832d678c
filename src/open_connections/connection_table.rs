use super::ConnectionPhase;
use crate::keys::TimePoint;
use crate::resource_plan::RoomBounds;
use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

/// Key of an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionKey {
    slot: u32,
    /// Tells apart the connections that use a slot one after the other.
    generation: u32,
}

impl ConnectionKey {
    /// The key of the next connection that uses the same slot.
    pub fn next_generation(self) -> Self {
        Self { generation: self.generation.wrapping_add(1), ..self }
    }
}

/// What becomes of a new connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableOpening {
    /// It is admitted, and these are closed to make room.
    Admitted(ConnectionKey, Vec<ConnectionKey>),
    /// All others are at work, so there is no room.
    Refused,
}

/// The connections that are open at one address, and what they occupy.
///
/// The load that it answers: more connections than memory or descriptors allow, most of which rest or stall. When there is
/// no room, those go first whose callers did nothing for longest; a connection at work is never closed. For want of memory
/// those go before all others that hold more than a connection on which nothing has arrived yet: closing such a one
/// frees next to nothing, and its caller may be about to send.
#[derive(Debug)]
pub struct ConnectionTable {
    bounds: RoomBounds,
    slots: Vec<ConnectionSlot>,
    free_slots: Vec<u32>,
    open: usize,
    bytes: usize,
    /// Those that wait for their callers, with the time of the last progress.
    waiting: BTreeSet<(TimePoint, ConnectionKey)>,
    /// Those of them that hold more than when they were opened.
    holding: BTreeSet<(TimePoint, ConnectionKey)>,
}

#[derive(Debug)]
struct ConnectionSlot {
    generation: u32,
    entry: Option<ConnectionEntry>,
}

#[derive(Debug, Clone, Copy)]
struct ConnectionEntry {
    phase: ConnectionPhase,
    progress_at: TimePoint,
    bytes: usize,
    /// What it occupied when it was opened.
    opening_bytes: usize,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(bounds: RoomBounds) -> Self {
        Self {
            bounds,
            slots: Vec::new(),
            free_slots: Vec::new(),
            open: 0,
            bytes: 0,
            waiting: BTreeSet::new(),
            holding: BTreeSet::new(),
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open == 0
    }

    /// Bytes that all of them occupy.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Admits a connection that occupies `bytes`, if there is room or some can be made.
    pub fn open(&mut self, now: TimePoint, bytes: usize) -> TableOpening {
        let Some(closed) = self.make_room(1, bytes, None) else {
            return TableOpening::Refused;
        };
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(ConnectionSlot { generation: 0, entry: None });
            (self.slots.len() - 1) as u32
        });
        let place = &mut self.slots[slot as usize];
        let key = ConnectionKey { slot, generation: place.generation };
        place.entry = Some(ConnectionEntry {
            phase: ConnectionPhase::Resting,
            progress_at: now,
            bytes,
            opening_bytes: bytes,
        });
        self.open += 1;
        self.bytes += bytes;
        self.waiting.insert((now, key));
        TableOpening::Admitted(key, closed)
    }

    /// Records what a connection does; a phase that goes on keeps the time of its last progress.
    pub fn set_phase(&mut self, now: TimePoint, key: ConnectionKey, phase: ConnectionPhase) {
        if self.entry(key).is_some_and(|entry| entry.phase != phase) {
            self.update(key, |entry| (entry.phase, entry.progress_at) = (phase, now));
        }
    }

    /// Records that the other side sent or took something worth mentioning.
    pub fn record_progress(&mut self, now: TimePoint, key: ConnectionKey) {
        self.update(key, |entry| entry.progress_at = now);
    }

    /// Changes what a connection occupies. Returns the connections that are closed to make room: itself, if no others can go.
    pub fn set_bytes(&mut self, key: ConnectionKey, bytes: usize) -> Vec<ConnectionKey> {
        self.try_bytes(key, bytes).unwrap_or_else(|| {
            self.close(key);
            vec![key]
        })
    }

    /// Changes what a connection occupies, and returns those that are closed to make room; `None`, and changes nothing, if
    /// that is not enough.
    pub fn try_bytes(&mut self, key: ConnectionKey, bytes: usize) -> Option<Vec<ConnectionKey>> {
        let Some(before) = self.entry(key).map(|entry| entry.bytes) else {
            return Some(Vec::new());
        };
        let added = bytes.saturating_sub(before);
        let closed = if added > 0 { self.make_room(0, added, Some(key))? } else { Vec::new() };
        self.bytes = self.bytes - before + bytes;
        self.update(key, |entry| entry.bytes = bytes);
        Some(closed)
    }

    /// Closes the connections that took nothing of their answers for longer than the bound.
    pub fn close_stalled_answers(&mut self, now: TimePoint) -> Vec<ConnectionKey> {
        let stalled = self
            .waiting
            .iter()
            .take_while(|(since, _)| now.since(*since) > self.bounds.answer_stall);
        let is_stalled = |key: &ConnectionKey| {
            self.entry(*key).is_some_and(|entry| entry.phase == ConnectionPhase::Stalled)
        };
        let closed: Vec<ConnectionKey> = stalled.map(|(_, key)| *key).filter(is_stalled).collect();
        for key in &closed {
            self.close(*key);
        }
        closed
    }

    /// Closes the connection whose request has arrived without progress for longest, if that is at least `stall`.
    pub fn close_stalled_request(
        &mut self,
        now: TimePoint,
        stall: Duration,
    ) -> Option<ConnectionKey> {
        let stalled = self.waiting.iter().take_while(|(since, _)| now.since(*since) >= stall);
        let is_receiving = |key: &ConnectionKey| {
            self.entry(*key).is_some_and(|entry| entry.phase == ConnectionPhase::Receiving)
        };
        let key = stalled.map(|(_, key)| *key).find(is_receiving)?;
        self.close(key);
        Some(key)
    }

    /// Removes a connection; returns whether it was open.
    pub fn close(&mut self, key: ConnectionKey) -> bool {
        let Some(entry) = self.entry(key).copied() else { return false };
        self.waiting.remove(&(entry.progress_at, key));
        self.holding.remove(&(entry.progress_at, key));
        self.open -= 1;
        self.bytes -= entry.bytes;
        let place = &mut self.slots[key.slot as usize];
        place.entry = None;
        place.generation = key.next_generation().generation;
        self.free_slots.push(key.slot);
        true
    }

    fn entry(&self, key: ConnectionKey) -> Option<&ConnectionEntry> {
        let place = self.slots.get(key.slot as usize)?;
        place.entry.as_ref().filter(|_| place.generation == key.generation)
    }

    fn update(&mut self, key: ConnectionKey, change: impl FnOnce(&mut ConnectionEntry)) {
        let Some(mut entry) = self.entry(key).copied() else { return };
        self.waiting.remove(&(entry.progress_at, key));
        self.holding.remove(&(entry.progress_at, key));
        change(&mut entry);
        if entry.phase.waits_for_caller() {
            self.waiting.insert((entry.progress_at, key));
            if entry.bytes > entry.opening_bytes {
                self.holding.insert((entry.progress_at, key));
            }
        }
        self.slots[key.slot as usize].entry = Some(entry);
    }

    /// Closes those that waited for longest until there is room for `connections` more and `bytes` more. Returns them, or
    /// `None`, and closes nothing, if that is not enough. A connection that is to grow is not closed for its own sake.
    fn make_room(
        &mut self,
        connections: usize,
        bytes: usize,
        growing: Option<ConnectionKey>,
    ) -> Option<Vec<ConnectionKey>> {
        let (mut open, mut held) = (self.open + connections, self.bytes + bytes);
        let mut closed: HashSet<ConnectionKey> = HashSet::new();
        let (mut holding, mut waiting) = (self.holding.iter(), self.waiting.iter());
        while open > self.bounds.connections || held > self.bounds.bytes {
            let needs_memory_only = open <= self.bounds.connections;
            let holder = if needs_memory_only { holding.next() } else { None };
            let (_, key) = holder.or_else(|| waiting.next())?;
            if Some(*key) != growing && closed.insert(*key) {
                open -= 1;
                held -= self.entry(*key).map_or(0, |entry| entry.bytes);
            }
        }
        let closed: Vec<ConnectionKey> = closed.into_iter().collect();
        for key in &closed {
            self.close(*key);
        }
        Some(closed)
    }
}
