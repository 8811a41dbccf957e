//! How far a backend server is from this instance.

use std::sync::Arc;
use std::time as duration;

use marjoramwing_derives as derives;

/// Round trip that is assumed within a failure domain, in microseconds.
const DOMAIN_US: u64 = 500;
/// Round trip that is assumed within a region, in microseconds.
const REGION_US: u64 = 3_000;
/// Round trip that is assumed between regions, in microseconds.
const ELSEWHERE_US: u64 = 80_000;
/// What carrying an answer between failure domains counts, as microseconds of delay.
const DOMAIN_CROSSING_US: u64 = 4_000;
/// What carrying an answer between regions counts, as microseconds of delay.
const REGION_CROSSING_US: u64 = 12_000;

/// Where a server is, as seen from this instance.
#[derives::value]
#[derive(Default)]
pub enum ServerPlace {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the region.
    SameRegion,
    /// In another region, or not known.
    #[default]
    Elsewhere,
}

/// What is known of a failure domain.
#[derives::record]
pub struct DomainPlace {
    /// Where it is, as seen from this instance.
    pub place: ServerPlace,
    /// Region in which it lies, if the settings tell.
    pub region: Option<Arc<str>>,
}

/// Distance to one server, learnt from connections.
#[derives::value]
#[derive(Default)]
pub struct ServerDistance {
    /// Where the server is.
    pub place: ServerPlace,
    round_trip_us: Option<u64>,
}

impl ServerDistance {
    /// Notes the time that a connection took to open; the least counts.
    pub fn note(&mut self, round_trip: duration::Duration) {
        let told_us = u64::try_from(round_trip.as_micros()).unwrap_or(u64::MAX);
        self.round_trip_us = Some(self.round_trip_us.map_or(told_us, |least| least.min(told_us)));
    }

    /// Returns the round trip, in microseconds.
    #[must_use]
    pub fn round_trip_us(&self) -> u64 {
        let assumed = match self.place {
            ServerPlace::SameDomain => DOMAIN_US,
            ServerPlace::SameRegion => REGION_US,
            ServerPlace::Elsewhere => ELSEWHERE_US,
        };
        self.round_trip_us.unwrap_or(assumed)
    }

    /// Returns what the way to the server and back counts, in microseconds.
    #[must_use]
    pub fn cost_us(&self) -> u64 {
        let crossing = match self.place {
            ServerPlace::SameDomain => 0,
            ServerPlace::SameRegion => DOMAIN_CROSSING_US,
            ServerPlace::Elsewhere => REGION_CROSSING_US,
        };
        self.round_trip_us() + crossing
    }
}
