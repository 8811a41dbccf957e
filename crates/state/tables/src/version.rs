//! Versions of table objects, and their form in 64 bits.
//!
//! Where the operators number their configurations, a version is that number, followed by nine digits
//! that tell apart what was written under the same number before and after a restore of the store.
//! Builds that know only 64 bits give such versions out up to [`FIRST_WIDE`]. Invariant: the form in
//! 64 bits, which they read, keeps the order of different numbers.

/// Versions that share one number of the operators.
pub const VERSIONS_PER_NUMBER: u128 = 1_000_000_000;
/// Number of the least wide version.
const FIRST_WIDE_NUMBER: u128 = i64::MAX as u128 / VERSIONS_PER_NUMBER;
/// Least version that is wide: its form in 64 bits stands for all versions of its number.
pub const FIRST_WIDE: u128 = FIRST_WIDE_NUMBER * VERSIONS_PER_NUMBER;
/// Largest number whose versions all fit.
pub const MAX_NUMBER: u128 = u128::MAX / VERSIONS_PER_NUMBER - 1;

/// Returns the form of a version in 64 bits; the greatest one stands for all that have no other.
#[must_use]
pub fn narrow(version: u128) -> u64 {
    let narrow = match version.checked_sub(FIRST_WIDE) {
        None => version,
        Some(above) => FIRST_WIDE + above / VERSIONS_PER_NUMBER,
    };
    u64::try_from(narrow).unwrap_or(u64::MAX)
}

/// Returns the least version that has this form in 64 bits.
#[must_use]
pub fn widen(narrow: u64) -> u128 {
    match u128::from(narrow).checked_sub(FIRST_WIDE) {
        None => narrow.into(),
        Some(above) => FIRST_WIDE + above * VERSIONS_PER_NUMBER,
    }
}

/// Serializes a version as a number if it has at most 64 bits, which any reader of JSON knows, else as
/// its decimal digits.
///
/// # Errors
///
/// Returns an error if the serializer does.
pub fn serialize<S: serde::Serializer>(version: &u128, serializer: S) -> Result<S::Ok, S::Error> {
    match u64::try_from(*version) {
        Ok(version) => serializer.serialize_u64(version),
        Err(_) => serializer.collect_str(version),
    }
}
