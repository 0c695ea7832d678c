use crate::keys::ServerKey;
use std::cmp::Reverse;

/// Servers whose crashes are still to be sent, those with the most sends left first. `sends_left` names each known crash
/// and how often it is still to be sent.
pub(super) fn send_order(sends_left: impl Iterator<Item = (ServerKey, u8)>) -> Vec<ServerKey> {
    let due = sends_left.filter(|(_, sends)| *sends > 0);
    let mut due: Vec<(Reverse<u8>, ServerKey)> =
        due.map(|(server, sends)| (Reverse(sends), server)).collect();
    due.sort_unstable();
    due.into_iter().map(|(_, server)| server).collect()
}
