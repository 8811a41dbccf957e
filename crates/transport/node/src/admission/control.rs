//! Rate limit admission: the ledger and the requests pending on it.
//!
//! In the common case admitting a request takes one lock and sends no message.
//! The lock is never held across an await.

use std::collections;
use std::sync;
use std::time as duration;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_ledger::action;
use marjoramwing_ledger::dump;
use marjoramwing_ledger::ledger;
use marjoramwing_ledger::limit;
use marjoramwing_ledger::mechanism;
use marjoramwing_ledger::split;
use marjoramwing_settings::settings;
use marjoramwing_tables::snapshot;
use marjoramwing_tables::team;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Longest time a request waits for the ledger to resolve its ticket.
const MAX_WAIT: duration::Duration = duration::Duration::from_secs(2);
/// `retry_after` of requests refused because the ledger task has ended.
const ENDED_RETRY_AFTER: duration::Duration = duration::Duration::from_secs(1);

/// Admits requests under the rate limits, which the ledger or the demand split enforces.
#[derive(Debug)]
pub struct AdmissionControl {
    state: sync::Mutex<AdmissionState>,
    /// Limits split by demand; replaces the ledger under the platform dialect.
    split: Option<sync::Mutex<split::DemandSplit>>,
    action_sender: mpsc::UnboundedSender<action::LedgerAction>,
    /// `None` once the task that executes the actions has taken it.
    actions: sync::Mutex<Option<ActionReceiver>>,
}

/// Receives the ledger's actions for the task that executes them.
///
/// The channel needs no bound of its own: the ledger has at most one open token
/// request per limit and one open operation per object.
pub type ActionReceiver = mpsc::UnboundedReceiver<action::LedgerAction>;

#[derive(Debug)]
struct AdmissionState {
    ledger: ledger::ShareLedger,
    /// Requests that wait for the ledger to resolve their tickets.
    pending: collections::HashMap<action::RequestTicket, oneshot::Sender<action::TicketOutcome>>,
}

impl AdmissionControl {
    /// Creates the admission control of one incarnation of an instance.
    #[must_use]
    pub fn new(
        settings: &settings::InstanceSettings,
        incarnation: incarnation::Incarnation,
    ) -> Self {
        let member = action::LedgerMember {
            incarnation,
            region: settings.identity.region.as_str().into(),
            failure_domain: settings.identity.failure_domain.as_str().into(),
        };
        let ledger = ledger::ShareLedger::new(member, mechanism::MechanismSet::default());
        let state = AdmissionState { ledger, pending: collections::HashMap::new() };
        let (action_sender, actions) = mpsc::unbounded_channel();
        let uses_split = settings.dialect == settings::InterfaceDialect::Platform;
        Self {
            state: sync::Mutex::new(state),
            split: uses_split.then(|| {
                let tolerance = make_tolerance(settings.bounds);
                sync::Mutex::new(split::DemandSplit::new(tolerance, time::Timestamp::ZERO))
            }),
            action_sender,
            actions: sync::Mutex::new(Some(actions)),
        }
    }

    /// Replaces the limits with those of a snapshot.
    pub fn set_limits(&self, tables: &snapshot::TableSnapshot, now: time::Timestamp) {
        let limits = collect_limits(tables);
        if let Some(mut split) = self.lock_split() {
            split.set_limits(&limits, now);
            return;
        }
        let ledger = &mut self.lock().ledger;
        let current: Vec<_> = ledger.limit_ids().collect();
        for id in current.into_iter().filter(|id| !limits.contains_key(id)) {
            ledger.remove_limit(id);
        }
        for (id, limit) in limits {
            ledger.set_limit(id, limit, now);
        }
    }

    /// Admits or refuses a request under the limit `id`.
    pub async fn admit(&self, id: limit::LimitId, now: time::Timestamp) -> action::TicketOutcome {
        if let Some(mut split) = self.lock_split() {
            return split.admit(id, now);
        }
        let resolved = match self.submit(id, now) {
            Ok(outcome) => return outcome,
            Err(resolved) => resolved,
        };
        // The ledger resolves each ticket within this time unless its task has ended.
        let resolved = tokio::time::timeout(MAX_WAIT, resolved).await;
        let ended = action::TicketOutcome::Refused { retry_after: ENDED_RETRY_AFTER };
        resolved.ok().and_then(Result::ok).unwrap_or(ended)
    }

    /// Records the demand that another instance reports; does nothing without a demand split.
    pub fn receive_demand(
        &self,
        from: incarnation::Incarnation,
        demands: Vec<split::LimitDemand>,
        now: time::Timestamp,
    ) {
        if let Some(mut split) = self.lock_split() {
            split.receive(from, demands, now);
        }
    }

    /// Sets the number of instances that the platform lists; does nothing without a demand split.
    pub fn set_listed_count(&self, count: usize) {
        if let Some(mut split) = self.lock_split() {
            split.set_listed_count(count);
        }
    }

    /// Recomputes this instance's fractions of the split limits and returns its own
    /// demand; returns none without a demand split.
    pub fn step_split(
        &self,
        others: &[split::SplitMember],
        now: time::Timestamp,
    ) -> Vec<split::LimitDemand> {
        let Some(mut split) = self.lock_split() else { return Vec::new() };
        split.set_members(others);
        split.step(now)
    }

    /// Handles a ledger event and sends the resulting actions to the driver.
    pub fn handle(&self, event: action::LedgerEvent, now: time::Timestamp) {
        let mut actions = Vec::new();
        let mut state = self.lock();
        state.ledger.handle(event, now, &mut actions);
        self.deliver(&mut state, actions);
    }

    /// Returns the receiver of the ledger's actions on the first call, then `None`.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the receiver.
    pub fn take_actions(&self) -> Option<ActionReceiver> {
        self.actions.lock().expect("no task panics while it holds the receiver").take()
    }

    /// Returns true if a planned stop has handed over all limits.
    pub fn has_left(&self) -> bool {
        self.lock().ledger.has_left()
    }

    /// Returns the ledger's state for the state dump.
    pub fn dump(&self, now: time::Timestamp) -> dump::LedgerDump {
        self.lock().ledger.dump(now)
    }

    /// Returns the outcome if the ledger decides at once, otherwise its receiver as `Err`.
    fn submit(
        &self,
        id: limit::LimitId,
        now: time::Timestamp,
    ) -> Result<action::TicketOutcome, oneshot::Receiver<action::TicketOutcome>> {
        let mut actions = Vec::new();
        let mut state = self.lock();
        let decided = match state.ledger.admit(id, now, &mut actions) {
            action::AdmitOutcome::Admitted { valid_until } => {
                Ok(action::TicketOutcome::Admitted { valid_until })
            }
            action::AdmitOutcome::Refused { retry_after } => {
                Ok(action::TicketOutcome::Refused { retry_after })
            }
            action::AdmitOutcome::Pending { ticket } => {
                let (sender, resolved) = oneshot::channel();
                state.pending.insert(ticket, sender);
                Err(resolved)
            }
        };
        // Whatever the outcome, the actions may resolve requests that were pending before.
        self.deliver(&mut state, actions);
        decided
    }

    fn deliver(&self, state: &mut AdmissionState, actions: Vec<action::LedgerAction>) {
        for action in actions {
            if let action::LedgerAction::Resolve { ticket, outcome } = action {
                // The request no longer waits if its caller has disconnected.
                let pending = state.pending.remove(&ticket);
                let _ = pending.map(|sender| sender.send(outcome));
            } else {
                // The receiver is dropped only when the process ends.
                let _ = self.action_sender.send(action);
            }
        }
    }

    fn lock_split(&self) -> Option<sync::MutexGuard<'_, split::DemandSplit>> {
        let split = self.split.as_ref()?;
        Some(split.lock().expect("no task panics while it holds the limits"))
    }

    fn lock(&self) -> sync::MutexGuard<'_, AdmissionState> {
        self.state.lock().expect("no task panics while it holds the ledger")
    }
}

const fn make_tolerance(bounds: settings::FleetBounds) -> split::LimitTolerance {
    split::LimitTolerance {
        window: bounds.quota_window,
        overage: bounds.quota_overage,
        slack: bounds.quota_slack,
    }
}

type LimitTable = collections::BTreeMap<limit::LimitId, team::RateLimit>;

fn collect_limits(tables: &snapshot::TableSnapshot) -> LimitTable {
    let teams = tables.teams.values();
    let teams = teams.map(|team| (limit::LimitId::of_team(&team.name), team.limit));
    let routes = tables.routes.values().filter_map(|route| {
        let id = limit::LimitId::of_route(&route.name);
        route.limit.map(|limit| (id, limit))
    });
    let shifts = tables.shifts.iter().map(|cap| {
        let (from, to) = (&tables.regions[cap.from].name, &tables.regions[cap.to].name);
        (limit::LimitId::of_shift(from, to), cap.limit)
    });
    let headrooms = tables.regions.values().filter_map(|region| {
        let id = limit::LimitId::of_headroom(&region.name);
        region.headroom.map(|limit| (id, limit))
    });
    teams.chain(routes).chain(shifts).chain(headrooms).collect()
}
