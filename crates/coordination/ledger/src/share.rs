//! Shares of a limit, in integer units.
//!
//! Invariant: the units of a limit that all instances hold, plus those in transit between
//! two instances, sum to at most [`ShareUnits::WHOLE`].

use std::ops;

use marjoramwing_derives as derives;

/// A share of a limit, in units of 2^-20 of the whole.
#[derives::value]
#[derive(Default)]
pub struct ShareUnits(u32);

impl ShareUnits {
    /// Number of binary digits of the fraction.
    pub const BITS: u32 = 20;
    /// The whole limit.
    pub const WHOLE: Self = Self(1 << Self::BITS);
    /// The empty share.
    pub const NONE: Self = Self(0);

    /// Creates a share, saturating at the whole.
    #[must_use]
    pub const fn new(units: u32) -> Self {
        if units > Self::WHOLE.0 { Self::WHOLE } else { Self(units) }
    }

    /// Returns the share of one of several instances in an even split, rounded down.
    #[must_use]
    pub const fn even_split(instances: u32) -> Self {
        let instances = if instances == 0 { 1 } else { instances };
        Self(Self::WHOLE.0 / instances)
    }

    /// Returns the share for a fraction between 0 and 1, rounded down.
    #[must_use]
    pub fn of_fraction(fraction: f64) -> Self {
        let units = fraction.clamp(0.0, 1.0) * f64::from(Self::WHOLE.0);
        Self::new(units as u32)
    }

    /// Returns the number of units.
    #[must_use]
    pub const fn as_u32(self) -> u32 {
        self.0
    }

    /// Returns this share of an amount, rounded down.
    #[must_use]
    pub const fn scale(self, amount: u64) -> u64 {
        ((amount as u128 * self.0 as u128) >> Self::BITS) as u64
    }

    /// Returns the difference to a smaller share, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl ops::Add for ShareUnits {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        debug_assert!(self.0 + other.0 <= Self::WHOLE.0, "shares exceed the whole");
        Self::new(self.0 + other.0)
    }
}
