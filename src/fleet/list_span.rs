/// Revisions of the store between which a listing of several pages was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListSpan {
    /// Revision of the oldest page. The listing contains all changes up to it.
    pub first: u64,
    /// Revision of the newest page. The listing contains some of the changes after `first`, and none after this one.
    pub last: u64,
}

impl From<u64> for ListSpan {
    /// The span of a listing that was read at one revision.
    fn from(revision: u64) -> Self {
        Self { first: revision, last: revision }
    }
}
