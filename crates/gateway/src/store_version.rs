//! Versions of the store that stay ordered when the store comes back from a copy.
//!
//! The store's own versions count its transactions. When it comes back from a copy, they go back and
//! are given out again, and its era rises. All versions in this crate combine both, the era first, so
//! that a later one is always greater; this includes fencing tokens.

/// Number of bits for the store's own version.
const NUMBER_BITS: u32 = 40;

/// Combines an era with the store's own version.
pub fn version(era: u64, number: u64) -> u64 {
    era << NUMBER_BITS | number
}

/// Returns the era of a version.
pub fn era(version: u64) -> u64 {
    version >> NUMBER_BITS
}

/// Returns a version as the store knows it.
pub fn number(version: u64) -> u64 {
    version & ((1 << NUMBER_BITS) - 1)
}
