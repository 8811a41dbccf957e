//! Network distance between this instance and a backend server.

use std::sync::Arc;
use std::time as duration;

use marjoramwing_derives as derives;

/// Assumed round trip within a failure domain, in microseconds.
const DOMAIN_US: u64 = 500;
/// Assumed round trip within a region, in microseconds.
const REGION_US: u64 = 3_000;
/// Assumed round trip between regions, in microseconds.
const OTHER_REGION_US: u64 = 80_000;
/// Cost of a response that crosses failure domains, as microseconds of delay.
const DOMAIN_CROSSING_US: u64 = 4_000;
/// Cost of a response that crosses regions, as microseconds of delay.
const REGION_CROSSING_US: u64 = 12_000;

/// Location of a server relative to this instance.
#[derives::value]
#[derive(Default)]
pub enum ServerLocality {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the same region.
    SameRegion,
    /// In another region, or unknown.
    #[default]
    OtherRegion,
}

/// Location of a failure domain.
#[derives::record]
pub struct DomainLocality {
    /// Location relative to this instance.
    pub locality: ServerLocality,
    /// Region that contains the failure domain, if it is configured.
    pub region: Option<Arc<str>>,
}

/// Distance to one server, measured when connections are opened.
#[derives::value]
#[derive(Default)]
pub struct ServerDistance {
    /// Location of the server.
    pub locality: ServerLocality,
    round_trip_us: Option<u64>,
}

impl ServerDistance {
    /// Records the time that a connection took to open; the minimum is kept.
    pub fn record_round_trip(&mut self, round_trip: duration::Duration) {
        let measured_us = u64::try_from(round_trip.as_micros()).unwrap_or(u64::MAX);
        self.round_trip_us =
            Some(self.round_trip_us.map_or(measured_us, |known| known.min(measured_us)));
    }

    /// Returns the round trip in microseconds, assumed until one is measured.
    #[must_use]
    pub fn round_trip_us(&self) -> u64 {
        let assumed = match self.locality {
            ServerLocality::SameDomain => DOMAIN_US,
            ServerLocality::SameRegion => REGION_US,
            ServerLocality::OtherRegion => OTHER_REGION_US,
        };
        self.round_trip_us.unwrap_or(assumed)
    }

    /// Returns the round trip plus the cost of crossing failure domains or regions, in
    /// microseconds of delay.
    #[must_use]
    pub fn cost_us(&self) -> u64 {
        let crossing = match self.locality {
            ServerLocality::SameDomain => 0,
            ServerLocality::SameRegion => DOMAIN_CROSSING_US,
            ServerLocality::OtherRegion => REGION_CROSSING_US,
        };
        self.round_trip_us() + crossing
    }
}
