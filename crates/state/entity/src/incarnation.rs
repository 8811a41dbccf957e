//! Identifies one lifetime of an instance's process.

use marjoramwing_derives as derives;

/// Identifies one lifetime of a process; a restarted process gets a new incarnation.
///
/// The number is a random 64-bit value drawn at start, so collisions are negligible.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number.
    #[must_use]
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the incarnation.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
