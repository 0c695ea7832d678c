/// What a caller states about the length of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSize {
    /// The caller's estimate in tokens.
    pub estimate: Option<u32>,
    /// The maximum in tokens.
    pub max: u32,
}
