//! Communication between daemons: `bincode` messages over `h2` streams, and signed datagrams.
//!
//! Both sides prove that they know the shared key before any frame is decoded.

mod datagram;
mod link_driver;
mod peer_client;
mod peer_link;
mod peer_message;
mod peer_server;
mod proof;
mod tunnel_client;
mod tunnel_opening;
mod tunnel_stream;
mod view_fetches;

pub use datagram::{open_datagram, seal_datagram};
pub use peer_client::{PeerClient, PeerTimeouts};
pub use peer_message::{
    AttemptReport, ClaimReply, HoldRequest, PeerReply, PeerRequest, PlaceOffers, PlaceRequest,
    PresentReply, StartReply,
};
pub use peer_server::{PeerHandler, serve_peers};
pub use proof::{prove_as_client, prove_as_server};
pub use tunnel_opening::TunnelOpening;
pub use tunnel_stream::TunnelStream;
pub use view_fetches::ViewFetches;

use crate::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a message between daemons in bytes.
pub const MESSAGE_LIMIT: usize = 8 << 20;

/// Encodes a message.
///
/// # Errors
/// If it cannot be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    Ok(bincode::serde::encode_to_vec(message, bincode::config::standard())?)
}

/// Decodes a message; trailing bytes are an error.
///
/// # Errors
/// If the bytes are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MESSAGE_LIMIT>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config)?;
    if used == bytes.len() {
        Ok(message)
    } else {
        Err(crate::Error::Protocol("invalid frame: trailing bytes".to_owned()))
    }
}
