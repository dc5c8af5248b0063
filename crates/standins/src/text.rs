//! The answers that the stand-in engines give: a pure function of prompt and position.

/// Fewest tokens of an answer that ends by itself.
const SHORTEST: u64 = 16;

/// Spread of the lengths of answers that end by themselves.
const SPREAD: u64 = 48;

/// Returns the seed of the answer to a prompt.
pub fn prompt_seed(prompt: &str) -> u64 {
    let bytes = *blake3::hash(prompt.as_bytes()).as_bytes();
    u64::from_le_bytes(bytes[..8].try_into().unwrap_or_default())
}

/// Returns the token at a position; it begins with a space and holds no other.
pub fn answer_token(seed: u64, position: u32) -> String {
    let mixed = seed.wrapping_add(u64::from(position).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    format!(" t{position}-{:04x}", (mixed ^ (mixed >> 29)) & 0xffff)
}

/// Returns the tokens after which an answer ends by itself.
pub fn answer_length(seed: u64) -> u32 {
    (SHORTEST + seed % SPREAD) as u32
}

/// Returns the whole answer to a prompt under an output limit.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let seed = prompt_seed(prompt);
    let length = answer_length(seed).min(max_tokens);
    (0..length)
        .map(|position| answer_token(seed, position))
        .collect()
}
