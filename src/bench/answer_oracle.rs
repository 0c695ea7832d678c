use crate::keys::{mix_hash, stable_hash};

const WORDS: [&str; 16] = [
    "the", "truck", "waits", "while", "crew", "reads", "long", "lists", "and", "then", "episode",
    "ends", "with", "rain", "over", "harbour",
];
const MIN_ANSWER_TOKENS: u64 = 32;
const ANSWER_TOKEN_RANGE: u64 = 97;

/// Hash of a prompt; the answer to the prompt depends only on it.
pub fn prompt_hash(prompt: &str) -> u64 {
    stable_hash(prompt.as_bytes())
}

/// Token `index` of the answer to a prompt, given the prompt's hash; every engine generates the same.
pub fn token_at(prompt: u64, index: u32) -> String {
    let word = WORDS[(mix_hash(prompt, u64::from(index)) % WORDS.len() as u64) as usize];
    format!(" {word}{}", mix_hash(prompt, u64::from(index) + 7) % 97)
}

/// Number of tokens of the answer to a prompt.
pub fn answer_length(prompt: u64, max_tokens: u32) -> u32 {
    let natural = MIN_ANSWER_TOKENS + mix_hash(prompt, 0xa5a5) % ANSWER_TOKEN_RANGE;
    max_tokens.min(natural as u32)
}

/// All tokens of the answer to a prompt.
pub fn answer_tokens(prompt: u64, max_tokens: u32) -> Vec<String> {
    (0..answer_length(prompt, max_tokens)).map(|index| token_at(prompt, index)).collect()
}
