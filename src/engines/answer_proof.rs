use crate::{Error, Result};
use bytes::Bytes;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::{Request, Response};

/// How the answer to a call proves that it belongs to the call, and not to an earlier one on the same connection.
///
/// A server may send an answer twice, the second time late. On a reused connection the copy takes the place of the next
/// call's answer, and all later answers are off by one: the prefill result of one prompt was used for the next request
/// in this way. Without proof, therefore, an answer is rejected and its connection is not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProof {
    /// The answer repeats the id that the call carries in this header.
    Id(&'static str),
    /// The server sends no id in such answers, so an answer with an id in this header belongs to another call. The
    /// reader must recognise the answer by its contents.
    Contents(&'static str),
    /// The answer cannot be recognised, so the call uses a connection of its own.
    OwnConnection,
}

/// The call to which an answer belongs, according to its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The call that received the answer.
    Asked,
    /// Another call.
    Another,
    /// Unknown, because the answer has no id.
    Unnamed,
}

impl AnswerProof {
    /// Returns the id that the answer to `request` must carry.
    pub(super) fn expected_id(self, request: &Request<Full<Bytes>>) -> Option<HeaderValue> {
        match self {
            Self::Id(header) => request.headers().get(header).cloned(),
            Self::Contents(_) | Self::OwnConnection => None,
        }
    }

    /// Checks that an answer belongs to the call with `id`, which is call number `calls` on its connection.
    ///
    /// # Errors
    /// [`Error::Foreign`] if the answer may belong to another call.
    pub(super) fn check<T>(
        self,
        id: Option<&HeaderValue>,
        calls: u32,
        response: &Response<T>,
    ) -> Result<()> {
        let owner = match self {
            Self::Id(header) => owner(header, id, response),
            Self::Contents(header) if response.headers().contains_key(header) => {
                AnswerOwner::Another
            }
            Self::Contents(_) | Self::OwnConnection => AnswerOwner::Asked,
        };
        let status = response.status();
        // The first answer on a connection cannot be a late copy, so a failure without an id is accepted there. A
        // success always carries the id of its call.
        let is_own = match owner {
            AnswerOwner::Asked => true,
            AnswerOwner::Unnamed => calls == 1 && !status.is_success(),
            AnswerOwner::Another => false,
        };
        if is_own { Ok(()) } else { Err(Error::Foreign { owner, status, calls }) }
    }

    /// Whether the connection of this answer may carry another call whose answer can be checked. A server that does
    /// not repeat ids gets a new connection for each call.
    pub(super) fn allows_reuse<T>(self, response: &Response<T>) -> bool {
        match self {
            Self::Id(header) => response.headers().contains_key(header),
            Self::Contents(_) => true,
            Self::OwnConnection => false,
        }
    }
}

fn owner<T>(header: &str, id: Option<&HeaderValue>, response: &Response<T>) -> AnswerOwner {
    let mut ids = response.headers().get_all(header).iter().peekable();
    if ids.peek().is_none() {
        return AnswerOwner::Unnamed;
    }
    if ids.all(|value| Some(value) == id) { AnswerOwner::Asked } else { AnswerOwner::Another }
}
