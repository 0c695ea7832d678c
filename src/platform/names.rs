//! Names of the platform's headers and paths.

/// Id of a request; every answer to a caller's request repeats it. Answers to the router's own calls have no id, even
/// if the call had one.
pub const REQUEST_ID: &str = "x-request-id";
/// Remaining milliseconds that the sender waits for the answer.
pub const DEADLINE: &str = "x-deadline-ms";
/// Number of prompt tokens and maximum number of answer tokens, separated by a comma.
pub const TOKEN_COUNT: &str = "x-token-count";
/// The caller's estimate of the number of answer tokens.
pub const LENGTH_HINT: &str = "length-hint";
/// The parts of a prompt in order, each an id in hexadecimal, a colon and its number of tokens, separated by commas.
pub const PROMPT_PARTS: &str = "x-prompt-prefix";
/// Number of the last event that the caller or a previous run received.
pub const LAST_EVENT: &str = "last-event-id";
/// Id of the caller's attempt that received the first event of the stream that the request continues.
pub const RESUMES: &str = "resumes";
/// Id of the only server incarnation that may run the request.
pub const EXPECT_INSTANCE: &str = "x-expect-instance";
/// Signature of a backend server over its whole answer.
pub const STAMP: &str = "x-server-stamp";
/// Set by a backend server that rejects a request without running it.
pub const NOT_RUN: &str = "x-not-run";
/// Set in a backend server's answer: the requests per second that it accepts from all hosts together.
pub const SERVER_LIMIT: &str = "server-limit";
/// Asks for a single stage of a request; only the router sets it.
pub const STAGE: &str = "x-stage";
/// Where to fetch the KV cache of a prefilled or backed-up request from.
pub const KV_FROM: &str = "kv-from";
/// Id of a held slot that the request uses.
pub const HOLD: &str = "hold";
/// Priority of a run on a decode server, from 0 (most urgent) to 9; only the router sets it.
pub const PRIORITY: &str = "priority";
/// Server that receives copies of the request's KV cache as it grows.
pub const KV_BACKUP: &str = "kv-backup";

/// Carries a caller's key, after [`KEY_SCHEME`].
pub const AUTHORIZATION: &str = "authorization";
/// Prefix of a caller's key in [`AUTHORIZATION`].
pub const KEY_SCHEME: &str = "Token ";
/// Name of the organisation that a request runs for; only the router sets it.
pub const TENANT: &str = "x-tenant";

/// Headers that are not passed on to a backend server: only the router may set them, or they are meant for the router.
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
    PRIORITY,
    "expect-version",
    "wait-ms",
    NOT_RUN,
    STAMP,
];

/// Hop-by-hop headers, which concern a single connection.
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

/// Path of the readiness check.
pub const READY_PATH: &str = "/tealcleat/ready";
/// Path prefix of the store's objects, followed by a kind.
pub const OBJECTS_PATH: &str = "/tealcleat/objects/";
/// Path at which a server grants holds.
pub const HOLD_PATH: &str = "/tealcleat/hold-take";
/// Path prefix at which a server releases a hold, followed by the id of the hold.
pub const HOLD_DROP_PATH: &str = "/tealcleat/hold-drop/";
/// Path prefix at which a server frees a prefill result, followed by its handle.
pub const HANDLE_PATH: &str = "/tealcleat/kv-handle/";
/// Path at which a server accepts orders.
pub const ORDER_PATH: &str = "/tealcleat/order";
/// Path of a server's load report.
pub const REPORT_PATH: &str = "/tealcleat/report";
