use super::TunnelStream;
use crate::Result;
use crate::server_paths::TunnelRefusal;
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;

/// Another daemon's request for a connection to a server, before it is accepted or refused.
#[derive(Debug)]
pub struct TunnelOpening {
    respond: SendResponse<Bytes>,
    receiver: RecvStream,
    needs_proof: bool,
}

impl TunnelOpening {
    pub(super) fn new(
        respond: SendResponse<Bytes>,
        receiver: RecvStream,
        needs_proof: bool,
    ) -> Self {
        Self { respond, receiver, needs_proof }
    }

    /// Whether the other daemon wants the connection only if this one is known to reach servers.
    pub fn needs_proof(&self) -> bool {
        self.needs_proof
    }

    /// Accepts the request; the stream carries the bytes of the connection from now on.
    ///
    /// # Errors
    /// If the connection between the daemons broke.
    pub fn accept(mut self) -> Result<TunnelStream> {
        let sender = self.respond.send_response(http::Response::new(()), false)?;
        Ok(TunnelStream::new(sender, self.receiver, None))
    }

    /// Refuses the request.
    ///
    /// # Errors
    /// If the connection between the daemons broke.
    pub fn refuse(mut self, refusal: TunnelRefusal) -> Result<()> {
        let mut response = http::Response::new(());
        *response.status_mut() = refusal.status();
        self.respond.send_response(response, true)?;
        Ok(())
    }
}
