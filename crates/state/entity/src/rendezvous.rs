//! Rendezvous hashing: assigns each key to the instance with the highest score.
//!
//! Every instance computes the same scores. When an instance is lost, only the
//! keys assigned to it move.

use std::hash;

/// Hashes a text (64-bit FNV-1a, then [`mix`]) to the seed that identifies it in [`score`].
#[must_use]
pub fn seed_of(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hash::Hasher::write(&mut hasher, text.as_bytes());
    mix(hash::Hasher::finish(&hasher))
}

/// Returns the score of an instance for a key, both given by their seeds; the highest wins.
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
