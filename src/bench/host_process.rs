use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;

/// One daemon of a fleet.
#[derive(Debug)]
pub struct HostProcess {
    /// Host name.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that peers connect to.
    pub peers: SocketAddr,
    /// Address that operators connect to.
    pub operators: SocketAddr,
    /// Path of its settings file.
    pub(super) settings: PathBuf,
    /// The process, while it runs.
    pub(super) child: Option<Child>,
}

/// Number of lines at the end of a host's log that a failed start shows.
const LOG_TAIL_LINES: usize = 5;

impl HostProcess {
    /// The id of the process, if it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the end of the log, newest line first, or the error if the log cannot be read.
    pub fn log_tail(&self) -> String {
        match std::fs::read_to_string(self.settings.with_extension("log")) {
            Ok(log) => log.lines().rev().take(LOG_TAIL_LINES).collect::<Vec<_>>().join(" | "),
            Err(error) => error.to_string(),
        }
    }
}
