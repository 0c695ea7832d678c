use crate::{Error, Result};
use bytes::Bytes;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::{Request, Response};

/// How the answer to a call shows that it belongs to the call, and not to an earlier one on the same
/// connection.
///
/// A server may give an answer twice, the second time late. On a kept connection the copy then stands where
/// the next call's answer should, and all answers after it are one behind: a prompt's result went to the
/// request after it in this way. So no answer is believed, and no connection kept, without proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProof {
    /// It carries the id that the call has in this header.
    Id(&'static str),
    /// Its server puts no id on such answers: one that has an id in this header belongs to another call,
    /// and whoever reads it must know it by what it says.
    Contents(&'static str),
    /// Nothing tells: the call has a connection for itself.
    OwnConnection,
}

/// Whose answer an answer says it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The call's that it came for.
    Asked,
    /// Another call's.
    Another,
    /// It names no call.
    Unnamed,
}

impl AnswerProof {
    /// The id that the answer to `request` must carry.
    pub(super) fn expected_id(self, request: &Request<Full<Bytes>>) -> Option<HeaderValue> {
        match self {
            Self::Id(header) => request.headers().get(header).cloned(),
            Self::Contents(_) | Self::OwnConnection => None,
        }
    }

    /// Checks whose answer came for a call with `id`, the call number `calls` of its connection.
    ///
    /// # Errors
    /// [`Error::Foreign`] if it may be another call's.
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
        // Before the first answer of a connection there was none that could come late; a success names its
        // call all the same.
        let is_own = match owner {
            AnswerOwner::Asked => true,
            AnswerOwner::Unnamed => calls == 1 && !status.is_success(),
            AnswerOwner::Another => false,
        };
        if is_own { Ok(()) } else { Err(Error::Foreign { owner, status, calls }) }
    }

    /// Whether the answer to a further call on the connection of this one could prove itself: a server that
    /// sends no id back gets a connection for each call.
    pub(super) fn allows_more<T>(self, response: &Response<T>) -> bool {
        match self {
            Self::Id(header) => response.headers().contains_key(header),
            Self::Contents(_) => true,
            Self::OwnConnection => false,
        }
    }
}

fn owner<T>(header: &str, id: Option<&HeaderValue>, response: &Response<T>) -> AnswerOwner {
    let mut named = response.headers().get_all(header).iter().peekable();
    if named.peek().is_none() {
        return AnswerOwner::Unnamed;
    }
    if named.all(|value| Some(value) == id) { AnswerOwner::Asked } else { AnswerOwner::Another }
}
