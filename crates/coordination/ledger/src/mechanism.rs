//! Mechanisms that a test switches off to show what they are needed for.

use marjoramwing_derives as derives;

/// One mechanism of the ledger.
#[derives::value]
pub enum LedgerMechanism {
    /// Granted tokens count against the burst until they cannot be spent.
    HoldGranted,
    /// A lender lowers its own share before it sends a loan.
    LowerFirst,
    /// A loan ends at its borrower before its lender takes it back.
    ExpireLoans,
    /// A holder spends only within its lease.
    CheckLease,
    /// An heir keeps its promise not to take over.
    KeepPromise,
    /// An heir promises nothing for a term that it has ended.
    RefuseEnded,
    /// A new holder of an old limit starts without tokens.
    StartEmpty,
    /// An edit of a limit gives no tokens.
    KeepTokens,
    /// Asking stops until the time that the holder gave.
    StopAsking,
    /// An instance asks a holder before it refuses.
    AskHolder,
    /// Shares are lent towards demand.
    LendShares,
}

/// The mechanisms that are on.
#[derives::value]
#[derive(Default)]
pub struct MechanismSet {
    off: Option<LedgerMechanism>,
    also_off: Option<LedgerMechanism>,
}

impl MechanismSet {
    /// Returns the set without one mechanism; at most two can be off.
    #[must_use]
    pub const fn without(self, mechanism: LedgerMechanism) -> Self {
        Self { off: Some(mechanism), also_off: self.off }
    }

    /// Tells whether a mechanism is on.
    #[must_use]
    pub fn is_on(self, mechanism: LedgerMechanism) -> bool {
        self.off != Some(mechanism) && self.also_off != Some(mechanism)
    }
}
