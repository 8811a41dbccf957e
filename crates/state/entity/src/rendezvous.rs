//! Stable scores that spread keys over instances (rendezvous hashing).
//!
//! Every instance computes the same scores; the loss of an instance moves
//! only the keys that it had.

use std::hash;

/// Hashes a text to a well-mixed seed for scores.
#[must_use]
pub fn seed_of(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hash::Hasher::write(&mut hasher, text.as_bytes());
    mix(hash::Hasher::finish(&hasher))
}

/// Scores an instance for a key, both given by their seeds; the greatest wins.
#[must_use]
pub const fn score(key: u64, instance: u64) -> u64 {
    mix(key ^ instance)
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
#[must_use]
pub const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
