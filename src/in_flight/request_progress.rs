/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestWait {
    /// Its body, or whether it is admitted.
    Admission,
    /// Memory at a decode server.
    Memory,
    /// A prefill server that reads its prompt.
    PromptRead,
    /// The first event of a run that was sent.
    FirstEvent,
    /// The next event of a run.
    NextEvent,
    /// The next event of a run whose server is silent.
    SilentServer,
    /// A plain server that accepts it.
    Server,
    /// The answer of a plain server.
    Answer,
    /// Its caller, who does not read.
    Caller,
}

impl RequestWait {
    /// The name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Memory => "memory",
            Self::PromptRead => "prompt_read",
            Self::FirstEvent => "first_event",
            Self::NextEvent => "next_event",
            Self::SilentServer => "silent_server",
            Self::Server => "server",
            Self::Answer => "answer",
            Self::Caller => "caller",
        }
    }
}

/// How far a request has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestProgress {
    /// The caller's id of it.
    pub id: String,
    /// The server that it was last sent to, if any.
    pub server: Option<String>,
    /// Events relayed to the caller.
    pub events: u64,
    /// What it waits for.
    pub wait: RequestWait,
    /// Whether a server may have run it.
    pub may_have_run: bool,
}

impl RequestProgress {
    /// A request whose head was read.
    pub fn new(id: &str) -> Self {
        let wait = RequestWait::Admission;
        Self { id: id.to_owned(), server: None, events: 0, wait, may_have_run: false }
    }

    /// Records that it waits for `wait` of `server`.
    pub fn wait_at(&mut self, wait: RequestWait, server: &str) {
        self.wait = wait;
        if self.server.as_deref() != Some(server) {
            self.server = Some(server.to_owned());
        }
    }
}
