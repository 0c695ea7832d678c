use super::stated_age::StatedAge;
use crate::admission::PressureUpdate;
use crate::fleet::{FleetUpdate, ServerStage};
use crate::keys::{IncarnationId, ServerKey};
use crate::limits::{LimitLoan, LimitReply, LimitRequest, LoanRequest};
use crate::membership::{MemberUpdate, ProbeMessage, ViewMark};
use crate::memory_forecast::PaceUpdate;
use crate::organisations::{AgeReply, AgeRequest};
use crate::placement::{ServerLoad, WorkSums};
use crate::quarantine::{CrashReport, PartReport};
use crate::retries::{RetryReply, RetryRequest};
use crate::return_times::ReturnUpdate;
use crate::routes::{RouteUpdate, ServiceKey, TableDigest};
use crate::server_limits::{LimitObservation, LimitUpdate, PermitReply, PermitRequest};
use crate::server_slots::SlotMessage;
use crate::shared_health::HealthReport;
use crate::stream_origins::{OriginReply, OriginRequest, OriginUpdate};
use serde::{Deserialize, Serialize};

/// A datagram between daemons on the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// A membership probe or its reply.
    Probe(ProbeMessage),
    /// The sender's load.
    Load(LoadUpdate),
    /// What other hosts must learn immediately; small, because it is sent to all of them.
    Notice(HostNotice),
    /// Requests the age of the receiver's configuration.
    AgeRequest(AgeRequest),
    /// The age of the sender's configuration.
    AgeReply(AgeReply),
    /// Requests units from the owner of an organisation's share, or reports units that the sender used.
    LimitRequest(IncarnationId, LimitRequest),
    /// The owner's reply to a limit request.
    LimitReply(LimitReply),
    /// A share owner requests units from the owner in another failure domain.
    LoanRequest(LoanRequest),
    /// The units lent.
    LoanReply(LimitLoan),
    /// Servers that crashed, and the requests in flight at the time.
    Crashes(CrashReport),
    /// Limits that backend servers announced.
    ServerLimits(Vec<LimitUpdate>),
    /// Requests permits from the owner of a server that has a limit.
    PermitRequest(IncarnationId, PermitRequest),
    /// The owner's reply to a permit request.
    PermitReply(PermitReply),
    /// How a server with a limit answered a request of the sender.
    LimitObservation(LimitObservation),
    /// Requests retries from the owner of the retry pool of the failure domain.
    RetryRequest(RetryRequest),
    /// The owner's reply to a retry request.
    RetryReply(RetryReply),
    /// What the sender observed of the health of backend servers.
    Health(HealthReport),
    /// Figures of a layout that older builds send; not read.
    RetiredPressure,
    /// Promised returns in a layout that older builds send; not read.
    RetiredReturns,
    /// The pace of decode servers as the sender measured it.
    Paces(PaceUpdate),
    /// Requests, grants or releases a place at a contended server.
    Slots(SlotMessage),
    /// The software versions that began streams.
    Origins(Vec<OriginUpdate>),
    /// Requests the software version that began a stream.
    OriginRequest(OriginRequest),
    /// What the sender knows of the stream.
    OriginReply(OriginReply),
    /// Servers that crashed before they had written, and the parts of the prompts that they ran.
    PartCrashes(PartReport),
    /// The demand for decode memory that the sender sees.
    Pressure(PressureUpdate),
    /// The returns that the sender promised to its callers.
    Returns(ReturnUpdate),
}

impl GatewayDatagram {
    /// Names of the metrics that count datagrams of this kind and their bytes.
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
            Self::Crashes(_) | Self::PartCrashes(_) => ("crashes_sent", "crashes_sent_bytes"),
            Self::ServerLimits(_)
            | Self::PermitRequest(..)
            | Self::PermitReply(_)
            | Self::LimitObservation(_) => ("server_limits_sent", "server_limits_sent_bytes"),
            Self::RetryRequest(_) | Self::RetryReply(_) => ("retries_sent", "retries_sent_bytes"),
            Self::Health(_) => ("health_sent", "health_sent_bytes"),
            Self::RetiredPressure | Self::Pressure(_) => ("pressure_sent", "pressure_sent_bytes"),
            Self::RetiredReturns | Self::Returns(_) => ("returns_sent", "returns_sent_bytes"),
            Self::Paces(_) => ("paces_sent", "paces_sent_bytes"),
            Self::Slots(_) => ("slots_sent", "slots_sent_bytes"),
            Self::Origins(_) | Self::OriginRequest(_) | Self::OriginReply(_) => {
                ("origins_sent", "origins_sent_bytes")
            }
        }
    }
}

/// What a host announces to others without delay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostNotice {
    /// Incarnation of the sender.
    pub incarnation: IncarnationId,
    /// Whether the store refuses the sender or does not answer it.
    pub store_refused: bool,
    /// Servers that the sender ordered to change their stage and that have not done so yet, with the new stage.
    pub changing: Vec<(ServerKey, ServerStage)>,
}

/// For how long each part of a view may have missed changes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ViewAges {
    /// Age of the configuration.
    pub routes: StatedAge,
    /// Age of the servers.
    pub servers: StatedAge,
}

/// The load of one host, and how fresh its view is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// The sender, and its current notice.
    pub notice: HostNotice,
    /// Increases with each update that the host sends.
    pub version: u64,
    /// Time since the store last answered the sender, or another host as far as the sender knows.
    pub store_age: StatedAge,
    /// How new the sender's view is.
    pub view: ViewMark,
    /// For how long the view may have missed changes.
    pub ages: ViewAges,
    /// Recent work of the sender's requests, by service.
    pub work: Vec<(ServiceKey, WorkSums)>,
    /// The sender's load at each server where it has any.
    pub loads: Vec<(ServerKey, ServerLoad)>,
}

/// A request between daemons on the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GatewayRequest {
    /// Exchanges the known members, crashes and limits of servers.
    Sync {
        /// All member updates.
        members: Vec<MemberUpdate>,
        /// Crashes.
        crashes: CrashReport,
        /// Limits of servers.
        limits: Vec<LimitUpdate>,
    },
    /// Requests the parts of the view that are newer than the sender's.
    View {
        /// Version of the sender's configuration.
        routes_version: u64,
        /// Digest of the sender's routes, if it knows that a newer version exists.
        known: Option<TableDigest>,
        /// Revision of the sender's view of the servers.
        fleet_revision: u64,
        /// Requests the age of the configuration in the reply.
        age: AgeRequest,
    },
    /// Exchanges the known crashes with the parts of the prompts that ran.
    PartCrashes(PartReport),
}

/// A reply between daemons on the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GatewayReply {
    /// Reply to a sync request: the same data of the answering host.
    Members {
        /// All member updates.
        members: Vec<MemberUpdate>,
        /// Crashes.
        crashes: CrashReport,
        /// Limits of servers.
        limits: Vec<LimitUpdate>,
    },
    /// Reply to a view request: the parts that are newer.
    View {
        /// The configuration, if newer.
        routes: Option<RouteUpdate>,
        /// The servers, if newer.
        fleet: Option<FleetUpdate>,
        /// The age of the answering host's configuration, if known.
        age: Option<AgeReply>,
    },
    /// Reply to such a request: the same data of the answering host.
    PartCrashes(PartReport),
}
