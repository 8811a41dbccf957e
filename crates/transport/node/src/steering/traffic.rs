//! Request counts by home region of the client.

use std::sync::atomic;
use std::time;

use marjoramwing_entity::key::EntityKey;
use marjoramwing_steering::report;
use marjoramwing_tables::region;
use marjoramwing_tables::snapshot;

/// Counts the requests of each region's clients in the current period.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    regions: arc_swap::ArcSwap<Vec<atomic::AtomicU64>>,
}

impl TrafficCounter {
    /// Sets the number of regions; if it changes, the counts are reset.
    pub fn resize(&self, count: usize) {
        if self.regions.load().len() != count {
            let zeros = (0..count).map(|_| atomic::AtomicU64::new(0)).collect::<Vec<_>>();
            self.regions.store(zeros.into());
        }
    }

    /// Counts one request of a client with this home region.
    pub fn add(&self, home: region::RegionKey) {
        if let Some(count) = self.regions.load().get(home.index()) {
            count.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Returns the request rates over `period` and resets the counts.
    pub fn take(
        &self,
        tables: &snapshot::TableSnapshot,
        period: time::Duration,
    ) -> Vec<report::RegionLoad> {
        let regions = self.regions.load();
        let counted = tables.regions.values().zip(regions.iter());
        let loads = counted.map(|(region, count)| report::RegionLoad {
            home: region.name.text(),
            rate: count.swap(0, atomic::Ordering::Relaxed) as f64 / period.as_secs_f64(),
        });
        loads.collect()
    }
}
