//! The ledger's state in serializable form, for operators.

use std::time as duration;

use marjoramwing_entity::time;

use crate::ledger;
use crate::lending;
use crate::share;

/// Maximum number of limits that a dump lists.
const MAX_LISTED: usize = 1_000;

/// Snapshot of the ledger's state.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct LedgerDump {
    /// Remaining validity of the lease under which this instance holds limits.
    pub lease_left: duration::Duration,
    /// Term of that lease.
    pub term: u32,
    /// Incarnation that may take over when the lease expires.
    #[serde(rename = "heir")]
    pub successor: Option<String>,
    /// Number of limits, removed ones included.
    pub limits: usize,
    /// Limits that this instance holds or has borrowed a share of.
    pub shares: Vec<ShareDump>,
}

/// One limit's share at this instance.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct ShareDump {
    /// Identifier of the limit, in hexadecimal.
    pub limit: String,
    /// Incarnation of the holder, as known to this instance.
    pub holder: Option<String>,
    /// Fraction of the limit that this instance holds and has not lent.
    pub held: f64,
    /// Number of outstanding loans.
    pub loans: usize,
    /// Fraction of the limit that this instance has borrowed.
    pub borrowed: f64,
    /// Requests per second that arrive here.
    pub demand: f64,
}

impl ledger::ShareLedger {
    /// Returns a snapshot of the ledger's state.
    #[must_use]
    pub fn dump(&self, now: time::Timestamp) -> LedgerDump {
        let mut shares = Vec::new();
        for (id, state) in &self.limits {
            let loan = state.borrowed.loan.as_ref();
            if (state.held.is_none() && loan.is_none()) || shares.len() >= MAX_LISTED {
                continue;
            }
            let held = state.held.as_ref();
            shares.push(ShareDump {
                limit: id.to_string(),
                holder: self.directory.current_entry(*id).map(|known| known.holder.to_string()),
                held: held.map_or(0.0, |held| fraction(held.bucket.units())),
                loans: held.map_or(0, lending::HeldLimit::loan_count),
                borrowed: loan.map_or(0.0, |loan| fraction(loan.bucket.units())),
                demand: state.demand.per_second(now),
            });
        }
        LedgerDump {
            lease_left: self.lease.valid_until().since(now),
            term: self.lease.term(),
            successor: self.lease.successor().map(|successor| successor.to_string()),
            limits: self.limits.len(),
            shares,
        }
    }
}

fn fraction(units: share::ShareUnits) -> f64 {
    f64::from(units.as_u32()) / f64::from(share::ShareUnits::WHOLE.as_u32())
}
