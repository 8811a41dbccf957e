//! Admission of requests under limits, around the ledger's decisions.

use std::sync;

use marjoramwing_entity::time;
use marjoramwing_ledger::ledger;
use marjoramwing_ledger::limit;
use marjoramwing_tables::snapshot;

/// Admits requests and keeps the ledger of limits.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    ledger: sync::Mutex<ledger::ShareLedger>,
}

impl AdmissionControl {
    /// Sets the limits of a snapshot.
    pub fn set_limits(
        &self,
        tables: &snapshot::TableSnapshot,
        live_count: usize,
        now: time::Timestamp,
    ) {
        let live_count = u32::try_from(live_count.max(1)).unwrap_or(u32::MAX);
        let fraction = 1.0 / f64::from(live_count);
        let mut ledger = self.lock();
        for team in tables.teams.values() {
            ledger.set_limit(limit::LimitId::of_team(&team.name), team.limit, fraction, now);
        }
        for route in tables.routes.values() {
            if let Some(rate_limit) = route.limit {
                let id = limit::LimitId::of_route(&route.name);
                ledger.set_limit(id, rate_limit, fraction, now);
            }
        }
    }

    /// Admits or refuses one request.
    pub async fn admit(&self, id: limit::LimitId, now: time::Timestamp) -> ledger::AdmitOutcome {
        self.lock().admit(id, now)
    }

    fn lock(&self) -> sync::MutexGuard<'_, ledger::ShareLedger> {
        self.ledger.lock().expect("no task panics while it holds the ledger")
    }
}
