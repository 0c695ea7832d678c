//! The platform's spellings of headers and paths.

/// Names a request; every answer to one carries it back. Answers to the router's own calls have none,
/// also where the call had.
pub const REQUEST_ID: &str = "x-request-id";
/// Milliseconds that the sender will still wait.
pub const DEADLINE: &str = "x-deadline-ms";
/// Tokens of the prompt and the most that the answer may have, separated by a comma.
pub const TOKEN_COUNT: &str = "x-token-count";
/// The caller's estimate of the answer's tokens.
pub const LENGTH_HINT: &str = "length-hint";
/// Number of the last event that the caller or a previous run had.
pub const LAST_EVENT: &str = "last-event-id";
/// Id of the only server life that may run the request.
pub const EXPECT_INSTANCE: &str = "x-expect-instance";
/// Signature of a backend server on its whole answer.
pub const STAMP: &str = "x-server-stamp";
/// On a backend server's refusal: the request did not run there.
pub const NOT_RUN: &str = "x-not-run";
/// In a backend server's answer: the requests a second that it takes from all hosts together.
pub const SERVER_LIMIT: &str = "server-limit";
/// Asks for one stage of a request only; always set by the router.
pub const STAGE: &str = "x-stage";
/// Where the memory of a prefilled or backed-up request is fetched from.
pub const KV_FROM: &str = "kv-from";
/// Id of a held slot that the request uses.
pub const HOLD: &str = "hold";
/// Server that receives copies of the request's memory as it grows.
pub const KV_BACKUP: &str = "kv-backup";

/// Carries a caller's key, after [`KEY_SCHEME`].
pub const AUTHORIZATION: &str = "authorization";
/// What stands before a caller's key.
pub const KEY_SCHEME: &str = "Token ";
/// Name of the organisation that a request runs for; always set by the router.
pub const TENANT: &str = "x-tenant";

/// Headers that only the router may set towards a backend server, or that are meant for it alone.
pub const ROUTER_ONLY: [&str; 14] = [
    AUTHORIZATION,
    TENANT,
    EXPECT_INSTANCE,
    STAGE,
    KV_FROM,
    HOLD,
    KV_BACKUP,
    "kv-fetch",
    "pin-ms",
    "priority",
    "expect-version",
    "wait-ms",
    NOT_RUN,
    STAMP,
];

/// Headers that concern one connection only.
pub const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
];

/// Path of the readiness question.
pub const READY_PATH: &str = "/tealcleat/ready";
/// Path of the store's objects; a kind follows.
pub const OBJECTS_PATH: &str = "/tealcleat/objects/";
/// Path at which a server grants holds.
pub const HOLD_PATH: &str = "/tealcleat/hold-take";
/// Path at which a server gives up a hold; its id follows.
pub const HOLD_DROP_PATH: &str = "/tealcleat/hold-drop/";
/// Path at which a server frees a prefill result; its id follows.
pub const HANDLE_PATH: &str = "/tealcleat/kv-handle/";
/// Path at which a server takes orders.
pub const ORDER_PATH: &str = "/tealcleat/order";
/// Path of a server's load report.
pub const REPORT_PATH: &str = "/tealcleat/report";
