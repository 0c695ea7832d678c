use super::CallerError;
use serde::Deserialize;

/// Maximum number of output tokens if the caller states none.
const DEFAULT_TOKENS: u32 = 128;
/// Largest maximum that a caller may state.
const MAX_TOKENS: u32 = 4096;

/// The body of a completion request, in the widely used completions format.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CompletionBody {
    /// Name of the model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of output tokens.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Adapter of the model, if any.
    #[serde(default)]
    pub adapter: Option<String>,
}

const fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

impl TryFrom<&[u8]> for CompletionBody {
    type Error = CallerError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        let body: Self = serde_json::from_slice(bytes).map_err(|error| {
            let reason = if error.is_data() { "invalid_field" } else { "invalid_json" };
            CallerError::invalid(reason, format!("the body is not a completion request: {error}"))
        })?;
        if body.prompt.trim().is_empty() {
            return Err(CallerError::invalid("empty_prompt", "the prompt is empty"));
        }
        if !(1..=MAX_TOKENS).contains(&body.max_tokens) {
            let message =
                format!("max_tokens must be from 1 to {MAX_TOKENS}, not {}", body.max_tokens);
            return Err(CallerError::invalid("invalid_max_tokens", message));
        }
        Ok(body)
    }
}
