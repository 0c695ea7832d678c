use serde::{Deserialize, Serialize};

/// What a host observed of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerObservation {
    /// It broke off a connection after a request was sent.
    BrokeOff,
    /// It refused a connection or did not answer in time.
    Unresponsive,
    /// It served a request after it had failed.
    Served,
}

impl ServerObservation {
    /// Whether the server failed.
    pub const fn is_failure(self) -> bool {
        match self {
            Self::BrokeOff | Self::Unresponsive => true,
            Self::Served => false,
        }
    }
}
