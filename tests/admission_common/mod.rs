//! Many hosts that decide who gets decode memory, and exchange their figures with delay and loss.
//!
//! Servers are simulated by their free memory. A run uses all of its memory from the start.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;
use tealcleat::keys::NameKey;

pub mod admission_cluster;

pub const HOSTS: usize = 71;
pub const SERVERS: usize = 39;
pub const DOMAINS: [NameKey; 3] = [NameKey(1), NameKey(2), NameKey(3)];
pub const MEMORY: u32 = 28_798;
pub const URGENT: u8 = 0;
pub const LESS_URGENT: u8 = 2;
pub const SERVICE: NameKey = NameKey(7);
pub const STEP: Duration = Duration::from_millis(5);
/// How often each host updates its levels, in steps.
pub const UPDATE_STEPS: usize = 40;
/// Most servers that one search asks.
pub const MAX_ASKED: usize = 18;
/// How often an urgent request that found no memory searches again, each after 20 ms.
pub const URGENT_SEARCHES: u32 = 5;

/// What callers send, and what goes wrong.
#[derive(Debug, Clone)]
pub struct Load {
    pub with_admission: bool,
    /// Factor of the urgent and of the less urgent load from second 6 to second 11.
    pub burst: (f64, f64),
    /// Factor of the load of the first organisation in that time.
    pub org_burst: f64,
    /// Fraction of the messages between hosts that are lost.
    pub loss: f64,
    pub seed: u64,
}

impl Load {
    pub const fn burst(urgent: f64, less_urgent: f64) -> Self {
        Self {
            with_admission: true,
            burst: (urgent, less_urgent),
            org_burst: 1.0,
            loss: 0.02,
            seed: 1,
        }
    }
}

/// Requests of the burst by rank, organisation and tokens, and whether each was served; and how many were refused beside
/// memory that was kept from them, but not for a more urgent rank.
#[derive(Debug, Default)]
pub struct Served(pub Vec<(u8, NameKey, u32, bool)>, pub usize);

impl Served {
    pub fn fraction(&self, is_counted: impl Fn(u8, NameKey, u32) -> bool) -> f64 {
        let counted =
            self.0.iter().filter(|(rank, org, tokens, _)| is_counted(*rank, *org, *tokens));
        let (served, all) =
            counted.fold((0_u32, 0_u32), |(served, all), row| (served + u32::from(row.3), all + 1));
        f64::from(served) / f64::from(all.max(1))
    }

    pub fn withheld(&self) -> usize {
        self.1
    }

    pub fn org(&self, org: NameKey) -> f64 {
        self.fraction(|rank, of, _| rank == LESS_URGENT && of == org)
    }

    pub fn rank(&self, rank: u8) -> f64 {
        self.fraction(|of, _, _| of == rank)
    }
}
