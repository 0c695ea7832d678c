use http::StatusCode;

/// Why a host does not forward a connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelRefusal {
    /// It does not know a server at this address, or forwards no connections at all.
    UnknownServer,
    /// It forwards as many connections as it may.
    Busy,
    /// It is shutting down.
    Stopping,
    /// It reaches no server itself.
    CutOff,
    /// No server answered it just now, so it cannot tell whether it reaches any.
    Unproven,
    /// The server's machine refused the connection.
    ConnectionRefused,
    /// The server did not answer it.
    Unanswered,
}

impl TunnelRefusal {
    const ALL: [Self; 7] = [
        Self::UnknownServer,
        Self::Busy,
        Self::Stopping,
        Self::CutOff,
        Self::Unproven,
        Self::ConnectionRefused,
        Self::Unanswered,
    ];

    /// The status by which a host tells the refusal to the one that asked.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::UnknownServer => StatusCode::NOT_FOUND,
            Self::Busy => StatusCode::TOO_MANY_REQUESTS,
            Self::Stopping => StatusCode::GONE,
            Self::CutOff => StatusCode::FAILED_DEPENDENCY,
            Self::Unproven => StatusCode::PRECONDITION_REQUIRED,
            Self::ConnectionRefused => StatusCode::BAD_GATEWAY,
            Self::Unanswered => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Reads a refusal; a status that no refusal has counts as [`Self::UnknownServer`].
    pub fn from_status(status: StatusCode) -> Self {
        Self::ALL
            .into_iter()
            .find(|refusal| refusal.status() == status)
            .unwrap_or(Self::UnknownServer)
    }

    /// The name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::UnknownServer => "unknown_server",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::CutOff => "cut_off",
            Self::Unproven => "unproven",
            Self::ConnectionRefused => "connection_refused",
            Self::Unanswered => "unanswered",
        }
    }

    /// Whether the host is at fault, so that it is not asked again for a while. The others concern only this server.
    pub(super) const fn concerns_helper(self) -> bool {
        match self {
            Self::Busy | Self::Stopping | Self::CutOff | Self::Unproven => true,
            Self::UnknownServer | Self::ConnectionRefused | Self::Unanswered => false,
        }
    }
}
