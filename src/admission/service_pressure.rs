use super::RankPressure;
use crate::routes::ServiceKey;
use serde::{Deserialize, Serialize};

/// The demand for decode memory of one service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServicePressure {
    /// The service.
    pub service: ServiceKey,
    /// The demand by rank.
    pub ranks: Vec<RankPressure>,
}

impl ServicePressure {
    /// No demand for `service`.
    pub const fn none(service: ServiceKey) -> Self {
        Self { service, ranks: Vec::new() }
    }

    /// The figures of a rank; an entry without demand is added if there is none.
    pub fn rank_mut(&mut self, rank: u8) -> &mut RankPressure {
        let index = self.ranks.iter().position(|known| known.rank == rank);
        let index = index.unwrap_or_else(|| {
            self.ranks.push(RankPressure { rank, ..RankPressure::default() });
            self.ranks.len() - 1
        });
        &mut self.ranks[index]
    }

    /// The figures of a rank, if there is any demand.
    pub fn rank(&self, rank: u8) -> Option<&RankPressure> {
        self.ranks.iter().find(|known| known.rank == rank)
    }

    /// Adds the figures of `other`.
    pub fn add(&mut self, other: &Self) {
        for rank in &other.ranks {
            self.rank_mut(rank.rank).add(rank);
        }
    }

    /// Multiplies all figures by `factor`.
    pub fn scale(&mut self, factor: f64) {
        for rank in &mut self.ranks {
            rank.scale(factor);
        }
    }

    /// Memory tokens that all running requests need.
    pub fn tokens(&self) -> f64 {
        self.ranks.iter().map(|rank| f64::from(rank.tokens)).sum()
    }

    /// Searches that found no memory, and all searches.
    pub fn searches(&self) -> (u32, u32) {
        let refused = self.ranks.iter().map(|rank| rank.refused).sum();
        (refused, refused + self.ranks.iter().map(|rank| rank.granted).sum::<u32>())
    }
}
