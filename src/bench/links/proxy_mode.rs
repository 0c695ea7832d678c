use std::time::Duration;

/// How a proxy handles the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProxyMode {
    /// Forwards them.
    #[default]
    Pass,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Forwards them at the bandwidth of a small host's link.
    Narrow,
    /// Forwards nothing in either direction until the mode is [`ProxyMode::Pass`] again.
    Silent,
    /// Forwards nothing to the server until the mode is [`ProxyMode::Pass`] again, but still forwards responses.
    DeafServer,
    /// Takes nothing until the mode is [`ProxyMode::Pass`] again, so that what is sent waits at its sender. A connection that
    /// the sender resets meanwhile is reset, and what waited is lost.
    Cut,
    /// Resets a connection as soon as bytes arrive on it.
    Reset,
}
