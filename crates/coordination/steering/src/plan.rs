//! Which share of a region's clients other regions serve.
//!
//! A client's position among those of its region is a hash of its network, so
//! that a share that grows moves further networks and leaves the moved ones
//! where they are, and their caches stay warm.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::primary;
use marjoramwing_tables::region;

use marjoramwing_entity::rendezvous;

const NARROW_HOST_BITS: u32 = 8;
const WIDE_HOST_BITS: u32 = 80;

/// A share of a region's clients, in units of 2^-32.
#[derives::value]
#[derive(Default)]
pub struct ClientShare(u64);

impl ClientShare {
    /// No client.
    pub const NONE: Self = Self(0);
    /// All clients.
    pub const ALL: Self = Self(1 << 32);

    /// Makes a share from a fraction, cut to 0 and 1.
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

/// The position of a client's network among those of its region.
#[derives::value]
pub struct ClientPosition(u32);

impl ClientPosition {
    /// Returns the position of a client.
    #[must_use]
    pub fn of(client: net::IpAddr) -> Self {
        let network = match client.to_canonical() {
            net::IpAddr::V4(address) => u64::from(address.to_bits() >> NARROW_HOST_BITS),
            net::IpAddr::V6(address) => (address.to_bits() >> WIDE_HOST_BITS) as u64,
        };
        Self((rendezvous::mix(network) >> u32::BITS) as u32)
    }

    /// Returns one of `count` slots, the same for the same client.
    #[must_use]
    pub const fn slot(self, count: usize) -> usize {
        // The lower bits, so that the slot does not follow the share that moves first.
        (self.0 as usize & 0xffff) % count
    }
}

/// A share of one region's clients that another region serves.
#[derives::value]
pub struct ShiftShare {
    /// Region that serves the clients.
    pub to: region::RegionKey,
    /// Share of the home region's clients.
    pub share: ClientShare,
}

/// What becomes of the clients of one region.
#[derives::record]
#[derive(Default)]
pub struct RegionPlan {
    /// Shares that other regions serve.
    pub shifts: Vec<ShiftShare>,
    /// Whether the home region serves the rest; else they are turned away.
    pub home_serves: bool,
}

/// Where one client is to be served.
#[derives::value]
pub enum Placement {
    /// By its home region.
    Home,
    /// By another region.
    Shifted(region::RegionKey),
    /// By none, since every cap is reached.
    Capped,
}

/// The plan of all regions.
#[derives::record]
#[derive(Default)]
pub struct ShiftPlan {
    /// Plans by home region.
    pub regions: primary::PrimaryMap<region::RegionKey, RegionPlan>,
}

impl RegionPlan {
    /// Returns the share that other regions serve.
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

    /// Returns where a client at a position is to be served.
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
    /// Returns where a client of a region is to be served.
    #[must_use]
    pub fn place(&self, home: region::RegionKey, client: net::IpAddr) -> Placement {
        let plan = self.regions.get(home);
        plan.map_or(Placement::Home, |plan| plan.place(ClientPosition::of(client)))
    }
}
