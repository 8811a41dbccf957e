//! Shares of a region's clients that other regions serve.
//!
//! A client's position is a hash of its network, and a shift covers a range of
//! positions. A growing shift therefore moves additional networks and keeps
//! those that it covers already, so that the caches for them stay warm. The
//! ranges of a plan's shifts are adjacent, so a shift that changes in size
//! moves the ranges of those after it.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::primary;
use marjoramwing_tables::region;

use marjoramwing_entity::rendezvous;

/// Low bits of an IPv4 address that are not part of the client's network, a /24.
const IPV4_HOST_BITS: u32 = 8;
/// Low bits of an IPv6 address that are not part of the client's network, a /48.
const IPV6_HOST_BITS: u32 = 80;

/// A share of a region's clients, in units of 2^-32.
#[derives::value]
#[derive(Default)]
pub struct ClientShare(u64);

impl ClientShare {
    /// No clients.
    pub const NONE: Self = Self(0);
    /// All clients.
    pub const ALL: Self = Self(1 << 32);

    /// Creates a share from a fraction, clamped to the range from 0 to 1.
    #[must_use]
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * Self::ALL.0 as f64) as u64)
    }

    /// Returns the share as a fraction.
    #[must_use]
    pub fn as_fraction(self) -> f64 {
        self.0 as f64 / Self::ALL.0 as f64
    }
}

/// Position of a client's network in the hash range that shares divide.
#[derives::value]
pub struct ClientPosition(u32);

impl ClientPosition {
    /// Returns the position of a client.
    #[must_use]
    pub fn of(client: net::IpAddr) -> Self {
        let network = match client.to_canonical() {
            net::IpAddr::V4(address) => u64::from(address.to_bits() >> IPV4_HOST_BITS),
            net::IpAddr::V6(address) => (address.to_bits() >> IPV6_HOST_BITS) as u64,
        };
        Self((rendezvous::mix(network) >> u32::BITS) as u32)
    }

    /// Maps the client to one of `count` slots.
    #[must_use]
    pub const fn slot(self, count: usize) -> usize {
        // The range of a share is determined by the high bits; the low bits keep the slot
        // independent of it.
        (self.0 as usize & 0xffff) % count
    }
}

/// A share of one region's clients that another region serves.
#[derives::value]
pub struct ShiftShare {
    /// Region that serves the clients.
    pub to: region::RegionKey,
    /// Share of the home region's clients that it serves.
    pub share: ClientShare,
}

/// Plan for the clients of one region.
#[derives::record]
#[derive(Default)]
pub struct RegionPlan {
    /// Shares that other regions serve; their ranges of positions follow one another from 0.
    pub shifts: Vec<ShiftShare>,
    /// Whether the home region serves the remaining clients; otherwise they are refused.
    pub home_serves: bool,
}

/// Region that serves one client, if any.
#[derives::value]
pub enum Placement {
    /// The home region serves the client.
    Home,
    /// Another region serves the client.
    Shifted(region::RegionKey),
    /// No region serves the client: its home region does not serve, and the shifts, which caps
    /// limit, do not cover it.
    Capped,
}

/// Plans for the clients of all regions.
#[derives::record]
#[derive(Default)]
pub struct ShiftPlan {
    /// Plans by home region.
    pub regions: primary::PrimaryMap<region::RegionKey, RegionPlan>,
}

impl RegionPlan {
    /// Returns the total share that other regions serve.
    #[must_use]
    pub fn shifted(&self) -> ClientShare {
        ClientShare(self.shifts.iter().map(|shift| shift.share.0).sum())
    }

    /// Returns the share that one other region serves.
    #[must_use]
    pub fn shifted_to(&self, to: region::RegionKey) -> ClientShare {
        let found = self.shifts.iter().find(|shift| shift.to == to);
        found.map_or(ClientShare::NONE, |shift| shift.share)
    }

    /// Sets the share that one other region serves.
    pub fn set_share(&mut self, to: region::RegionKey, share: ClientShare) {
        match self.shifts.iter_mut().find(|shift| shift.to == to) {
            Some(shift) => shift.share = share,
            None => self.shifts.push(ShiftShare { to, share }),
        }
    }

    /// Returns the placement of a client at a position.
    #[must_use]
    pub fn place(&self, position: ClientPosition) -> Placement {
        let mut end = 0;
        for shift in &self.shifts {
            end += shift.share.0;
            if u64::from(position.0) < end {
                return Placement::Shifted(shift.to);
            }
        }
        if self.home_serves { Placement::Home } else { Placement::Capped }
    }
}

impl ShiftPlan {
    /// Returns the placement of a client of a region.
    ///
    /// A region without a plan serves its own clients.
    #[must_use]
    pub fn place(&self, home: region::RegionKey, client: net::IpAddr) -> Placement {
        let plan = self.regions.get(home);
        plan.map_or(Placement::Home, |plan| plan.place(ClientPosition::of(client)))
    }
}
