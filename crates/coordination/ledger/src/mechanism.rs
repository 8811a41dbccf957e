//! Mechanisms that only tests switch off, to show that the bound on admissions depends on
//! them or to measure their effect.

use marjoramwing_derives as derives;

/// A mechanism of the ledger that tests can switch off; it is always on in production.
#[derives::value]
pub enum LedgerMechanism {
    /// Granted tokens count against the burst until they can no longer be spent.
    CountGranted,
    /// A lender reduces its own share before it sends a loan.
    DebitLender,
    /// A loan expires at its borrower before the lender reclaims it.
    ExpireLoans,
    /// A holder spends only while its lease is valid.
    CheckLease,
    /// A successor does not take over while its promise is valid.
    HonorPromise,
    /// A successor makes no promise for a term that it has ended.
    RefuseEndedTerm,
    /// A new holder of a limit that had a holder before starts without tokens.
    StartEmpty,
    /// An edit of a limit adds no tokens.
    KeepTokensOnEdit,
    /// No tokens are requested until the retry time that the holder gave.
    BackOff,
    /// An instance requests tokens from a holder before it refuses.
    RequestTokens,
    /// A holder keeps a request pending while the next token is due soon.
    AwaitDueToken,
    /// Holders lend shares in proportion to demand.
    LendShares,
}

/// Set of the mechanisms that are on; the default, which production uses, is all of them.
#[derives::value]
#[derive(Default)]
pub struct MechanismSet {
    off: Option<LedgerMechanism>,
    also_off: Option<LedgerMechanism>,
}

impl MechanismSet {
    /// Returns the set with one more mechanism switched off; at most two can be off.
    #[must_use]
    pub const fn without(self, mechanism: LedgerMechanism) -> Self {
        Self { off: Some(mechanism), also_off: self.off }
    }

    /// Returns true unless a test has switched the mechanism off.
    #[must_use]
    pub fn is_on(self, mechanism: LedgerMechanism) -> bool {
        self.off != Some(mechanism) && self.also_off != Some(mechanism)
    }
}
