//! Server slots grants the places at contended plain servers, one host for each server.

use crate::keys::IncarnationId;
use serde::{Deserialize, Serialize};

/// A message between a host and the owner of a contended server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotMessage {
    /// The sender.
    pub from: IncarnationId,
}

/// The places at plain servers that this host uses and grants.
#[derive(Debug, Default)]
pub struct SlotControl {}
