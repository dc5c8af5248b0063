//! Answers of the stand-in engines, a pure function of prompt and position.

/// Minimum length of an answer that no limit cuts short, in tokens.
const MIN_ANSWER_TOKENS: u64 = 16;

/// Number of different lengths of such answers, in tokens.
const ANSWER_LENGTHS: u64 = 48;

/// Returns the seed of the answer to a prompt.
pub fn prompt_seed(prompt: &str) -> u64 {
    let bytes = *blake3::hash(prompt.as_bytes()).as_bytes();
    u64::from_le_bytes(bytes[..8].try_into().unwrap_or_default())
}

/// Returns the token at a position; its only space is its first character.
pub fn answer_token(seed: u64, position: u32) -> String {
    let mixed = seed.wrapping_add(u64::from(position).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    format!(" t{position}-{:04x}", (mixed ^ (mixed >> 29)) & 0xffff)
}

/// Returns the length in tokens of an answer that no limit cuts short.
pub fn answer_length(seed: u64) -> u32 {
    (MIN_ANSWER_TOKENS + seed % ANSWER_LENGTHS) as u32
}

/// Returns the complete answer to a prompt under an output limit in tokens.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let seed = prompt_seed(prompt);
    let length = answer_length(seed).min(max_tokens);
    (0..length)
        .map(|position| answer_token(seed, position))
        .collect()
}
