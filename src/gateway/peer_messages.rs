use crate::fleet::{FleetUpdate, ServerStage};
use crate::keys::{IncarnationId, ServerKey};
use crate::limits::{LimitLoan, LimitReply, LimitRequest, LoanRequest};
use crate::membership::{MemberUpdate, ProbeMessage, ViewMark};
use crate::organisations::{AgeReply, AgeRequest};
use crate::placement::{ServerLoad, WorkSums};
use crate::quarantine::CrashReport;
use crate::retries::{RetryReply, RetryRequest};
use crate::routes::{RouteUpdate, ServiceKey, TableDigest};
use crate::server_limits::{LimitObservation, LimitUpdate, PermitReply, PermitRequest};
use serde::{Deserialize, Serialize};

/// A datagram between daemons on the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// Membership.
    Probe(ProbeMessage),
    /// What the sender has under way.
    Load(LoadUpdate),
    /// What the others must know at once; small, since it goes to all of them.
    Notice(HostNotice),
    /// How old is your configuration?
    AgeRequest(AgeRequest),
    /// So old.
    AgeReply(AgeReply),
    /// The sender asks the owner of an organisation's part, or tells it what it used.
    LimitRequest(IncarnationId, LimitRequest),
    /// The owner's answer.
    LimitReply(LimitReply),
    /// An owner asks that of another failure domain.
    LoanRequest(LoanRequest),
    /// Units lent to it.
    LoanReply(LimitLoan),
    /// Servers that crashed, and under which requests.
    Crashes(CrashReport),
    /// Limits that backend servers named.
    ServerLimits(Vec<LimitUpdate>),
    /// The sender asks the owner of a server that has a limit.
    PermitRequest(IncarnationId, PermitRequest),
    /// The owner's reply.
    PermitReply(PermitReply),
    /// How such a server answered a request of the sender.
    LimitObservation(LimitObservation),
    /// The sender asks the owner of its failure domain's pool of repeats.
    RetryRequest(RetryRequest),
    /// The owner's reply.
    RetryReply(RetryReply),
}

impl GatewayDatagram {
    /// Metrics that count such datagrams and their bytes.
    pub(super) const fn counters(&self) -> (&'static str, &'static str) {
        match self {
            Self::Probe(_) => ("probes_sent", "probes_sent_bytes"),
            Self::Load(_) => ("loads_sent", "loads_sent_bytes"),
            Self::Notice(_) => ("notices_sent", "notices_sent_bytes"),
            Self::AgeRequest(_) | Self::AgeReply(_) => ("ages_sent", "ages_sent_bytes"),
            Self::LimitRequest(..)
            | Self::LimitReply(_)
            | Self::LoanRequest(_)
            | Self::LoanReply(_) => ("limits_sent", "limits_sent_bytes"),
            Self::Crashes(_) => ("crashes_sent", "crashes_sent_bytes"),
            Self::ServerLimits(_)
            | Self::PermitRequest(..)
            | Self::PermitReply(_)
            | Self::LimitObservation(_) => ("server_limits_sent", "server_limits_sent_bytes"),
            Self::RetryRequest(_) | Self::RetryReply(_) => ("retries_sent", "retries_sent_bytes"),
        }
    }
}

/// What a host knows that others must not wait for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostNotice {
    /// Which life of the host.
    pub incarnation: IncarnationId,
    /// The store refuses the sender, or does not answer it.
    pub store_refused: bool,
    /// Servers that it ordered to change their stage and that have not done so, and to which.
    pub changing: Vec<(ServerKey, ServerStage)>,
}

/// For how long each kind of a view may have lacked changes, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ViewAges {
    /// The configuration.
    pub routes_ms: u32,
    /// The servers.
    pub servers_ms: u32,
}

/// One host's own work and how fresh its view is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Who sends it, and what else it would tell at once.
    pub notice: HostNotice,
    /// Rises with each that the host sends.
    pub version: u64,
    /// Milliseconds since the store last answered the sender, or a host that it heard of.
    pub store_age_ms: u32,
    /// How new its view is.
    pub view: ViewMark,
    /// Since when it may lack something.
    pub ages: ViewAges,
    /// What requests of each service took of it lately.
    pub work: Vec<(ServiceKey, WorkSums)>,
    /// Its work at each server where it has any.
    pub loads: Vec<(ServerKey, ServerLoad)>,
}

/// A request between daemons on the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GatewayRequest {
    /// Compare membership, and what is known of crashes and of limits.
    Sync {
        /// All news about members.
        members: Vec<MemberUpdate>,
        /// Crashes.
        crashes: CrashReport,
        /// Limits of servers.
        limits: Vec<LimitUpdate>,
    },
    /// What is newer than this.
    View {
        /// Version of the configuration that the sender has.
        routes_version: u64,
        /// Which routes that has, if the sender knows of a newer one.
        known: Option<TableDigest>,
        /// Revision of the servers that the sender has.
        fleet_revision: u64,
        /// How old is the configuration that is handed over?
        age: AgeRequest,
    },
}

/// A reply between daemons on the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GatewayReply {
    /// The same of the answering host.
    Members {
        /// All news about members.
        members: Vec<MemberUpdate>,
        /// Crashes.
        crashes: CrashReport,
        /// Limits of servers.
        limits: Vec<LimitUpdate>,
    },
    /// What is newer.
    View {
        /// The configuration, if newer.
        routes: Option<RouteUpdate>,
        /// The servers, if newer.
        fleet: Option<FleetUpdate>,
        /// The age of the sender's configuration, if it knows it.
        age: Option<AgeReply>,
    },
}
