/// A problem in a settings file or an intent, and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The problem and what is expected instead.
    pub message: String,
    /// Byte offset of the affected text.
    pub offset: usize,
    /// Length of the affected text in bytes.
    pub length: usize,
}
