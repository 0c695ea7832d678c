use super::{ClientScript, ReadingPace};
use bytes::Bytes;
use std::fmt::Write;
use std::time::Duration;

/// The largest body that the configuration of such a test allows.
const LARGEST_BODY: usize = 4 << 20;
/// A body that says it is much larger.
const OVERLONG_BODY: usize = 1 << 30;
const SMALL_BODY: usize = 60_000;
const SMALL_PIECE: usize = 1 << 10;
/// Requests in one piece of those that are sent ahead.
const REQUESTS_AHEAD: usize = 50;
const ENDLESS: usize = usize::MAX;
/// Fields of a head with many: those that the HTTP library admits, and far more.
const MANY_FIELDS: usize = 88;
const TOO_MANY_FIELDS: usize = 3000;
/// Parts of a prompt in a head of 16 KiB.
const PROMPT_PARTS: usize = 1300;

/// How the ids of requests begin that arrive whole, and so may run.
pub const WHOLE_REQUEST_PREFIX: &str = "rogue-whole-";
/// How the ids of requests begin that never arrive whole.
const PART_REQUEST_PREFIX: &str = "rogue-part-";

/// A way in which clients do not behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RogueKind {
    /// Connections that send nothing.
    Silent,
    /// 3 KB of a head, and nothing more.
    HalfHead,
    /// A head without an end.
    EndlessHead,
    /// A head of which a byte is sent a second.
    SlowHead,
    /// 2 KB of a body, and nothing more.
    HalfBody,
    /// Nearly all of a body of the largest size, and nothing more.
    HalfLargeBody,
    /// A body of which a byte is sent a second.
    SlowBody,
    /// Bodies of the largest size, in one piece.
    LargeBody,
    /// The same in pieces of 1 KiB.
    LargeBodyInPieces,
    /// Bodies in chunks of a byte.
    TinyChunks,
    /// Bodies far over the limit that say their length.
    OverlongBody,
    /// Bodies far over the limit in chunks.
    EndlessChunks,
    /// Chunks whose extensions do not end.
    EndlessExtension,
    /// Trailers without an end.
    EndlessTrailers,
    /// Heads within the limit with very many short fields.
    ManyFields,
    /// Heads with far too many short fields.
    TooManyFields,
    /// Prompts with very many short parts.
    PromptParts,
    /// Requests sent ahead whose answers are not read.
    RequestsAhead,
    /// The same, with bodies of 4 KB.
    BodiesAhead,
    /// Requests whose answers are read a byte at a time.
    SlowReader,
}

impl RogueKind {
    /// All kinds.
    pub const ALL: [Self; 20] = [
        Self::Silent,
        Self::HalfHead,
        Self::EndlessHead,
        Self::SlowHead,
        Self::HalfBody,
        Self::HalfLargeBody,
        Self::SlowBody,
        Self::LargeBody,
        Self::LargeBodyInPieces,
        Self::TinyChunks,
        Self::OverlongBody,
        Self::EndlessChunks,
        Self::EndlessExtension,
        Self::EndlessTrailers,
        Self::ManyFields,
        Self::TooManyFields,
        Self::PromptParts,
        Self::RequestsAhead,
        Self::BodiesAhead,
        Self::SlowReader,
    ];

    /// How the ids of its requests begin.
    pub const fn id_prefix(self) -> &'static str {
        match self {
            Self::LargeBody
            | Self::LargeBodyInPieces
            | Self::ManyFields
            | Self::PromptParts
            | Self::RequestsAhead
            | Self::BodiesAhead
            | Self::SlowReader => WHOLE_REQUEST_PREFIX,
            Self::Silent
            | Self::HalfHead
            | Self::EndlessHead
            | Self::SlowHead
            | Self::HalfBody
            | Self::HalfLargeBody
            | Self::SlowBody
            | Self::TinyChunks
            | Self::OverlongBody
            | Self::EndlessChunks
            | Self::EndlessExtension
            | Self::EndlessTrailers
            | Self::TooManyFields => PART_REQUEST_PREFIX,
        }
    }

    /// What one client of this kind does on a connection, for requests to `path` with ids that begin with `id`.
    pub fn script(self, path: &str, id: &str) -> ClientScript {
        let head = |fields: &str| head("POST", path, id, fields);
        let sized = |bytes: usize| head(&format!("content-length: {bytes}\r\n"));
        let chunked = || head("transfer-encoding: chunked\r\n");
        let second = Duration::from_secs(1);
        match self {
            Self::Silent => script("", "", 0, Duration::ZERO, ReadingPace::Promptly),
            Self::HalfHead => {
                let part = format!("POST {path} HTTP/1.1\r\nx-pad: {}", "a".repeat(3000));
                script(part, "", 0, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::EndlessHead => {
                let field = format!("x-pad: {}\r\n", "a".repeat(SMALL_PIECE));
                let line = format!("GET {path} HTTP/1.1\r\n");
                script(line, field, ENDLESS, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::SlowHead => {
                let line = format!("GET {path} HTTP/1.1\r\nx-pad: ");
                script(line, "a", ENDLESS, second, ReadingPace::Promptly)
            }
            Self::HalfBody => {
                let part = sized(SMALL_BODY) + &"a".repeat(2000);
                script(part, "", 0, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::HalfLargeBody => {
                let part = sized(LARGEST_BODY) + &"a".repeat(LARGEST_BODY - 1);
                script(part, "", 0, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::SlowBody => {
                script(sized(SMALL_BODY), "a", SMALL_BODY, second, ReadingPace::Promptly)
            }
            Self::LargeBody => {
                let all = sized(LARGEST_BODY) + &"a".repeat(LARGEST_BODY);
                script(all, "", 0, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::LargeBodyInPieces => {
                let (piece, count) = ("a".repeat(SMALL_PIECE), LARGEST_BODY / SMALL_PIECE);
                script(sized(LARGEST_BODY), piece, count, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::TinyChunks => {
                let piece = "1\r\na\r\n".repeat(SMALL_PIECE);
                script(chunked(), piece, ENDLESS, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::OverlongBody => {
                let (piece, count) = ("a".repeat(SMALL_BODY), OVERLONG_BODY / SMALL_BODY);
                script(sized(OVERLONG_BODY), piece, count, Duration::ZERO, ReadingPace::Never)
            }
            Self::EndlessChunks => {
                let piece = format!("{SMALL_BODY:x}\r\n{}\r\n", "a".repeat(SMALL_BODY));
                script(chunked(), piece, ENDLESS, Duration::ZERO, ReadingPace::Never)
            }
            Self::EndlessExtension => {
                let piece = "a".repeat(SMALL_PIECE);
                script(chunked() + "1;x=", piece, ENDLESS, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::EndlessTrailers => {
                let opening = chunked() + "1\r\na\r\n0\r\n";
                let piece = format!("x-pad: {}\r\n", "a".repeat(SMALL_PIECE));
                script(opening, piece, ENDLESS, Duration::ZERO, ReadingPace::Promptly)
            }
            Self::ManyFields => short_fields(path, id, MANY_FIELDS),
            Self::TooManyFields => short_fields(path, id, TOO_MANY_FIELDS),
            Self::PromptParts => {
                let parts = vec!["1:1"; PROMPT_PARTS].join(",");
                let piece = head_of_get(path, id, &format!("x-prompt-prefix: {parts}\r\n"));
                script("", piece, ENDLESS, Duration::from_millis(100), ReadingPace::Promptly)
            }
            Self::RequestsAhead => {
                let piece = head_of_get(path, id, "").repeat(REQUESTS_AHEAD);
                script("", piece, ENDLESS, Duration::ZERO, ReadingPace::Never)
            }
            Self::BodiesAhead => {
                let body = "a".repeat(4000);
                let piece = (sized(body.len()) + &body).repeat(REQUESTS_AHEAD / 10);
                script("", piece, ENDLESS, Duration::ZERO, ReadingPace::Never)
            }
            Self::SlowReader => {
                let piece = head_of_get(path, id, "");
                script("", piece, 1, Duration::ZERO, ReadingPace::Slowly)
            }
        }
    }
}

fn script(
    opening: impl Into<Bytes>,
    piece: impl Into<Bytes>,
    piece_count: usize,
    pause: Duration,
    reading: ReadingPace,
) -> ClientScript {
    ClientScript { opening: opening.into(), piece: piece.into(), piece_count, pause, reading }
}

fn short_fields(path: &str, id: &str, count: usize) -> ClientScript {
    let mut fields = String::new();
    for index in 0..count {
        // Writing to a string does not fail.
        let _ = write!(fields, "f{index:x}: 1\r\n");
    }
    let piece = head_of_get(path, id, &fields);
    script("", piece, ENDLESS, Duration::from_millis(100), ReadingPace::Promptly)
}

fn head_of_get(path: &str, id: &str, fields: &str) -> String {
    head("GET", path, id, fields)
}

fn head(method: &str, path: &str, id: &str, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: books.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 10000\r\nx-token-count: 100,96\r\nx-model: m\r\n{fields}\r\n"
    )
}
