//! The ledger and the requests that wait for it.
//!
//! In the common case a request's admission takes one lock and no message. The
//! lock is never held across an await.

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

/// Longest wait for the ledger.
const MAX_WAIT: duration::Duration = duration::Duration::from_secs(2);
/// Time after which a request may come again when the ledger has ended.
const ENDED_RETRY: duration::Duration = duration::Duration::from_secs(1);

/// Admits requests and keeps the ledger of limits.
#[derive(Debug)]
pub struct AdmissionControl {
    state: sync::Mutex<AdmissionState>,
    /// Limits split by demand, where the deployment keeps them so.
    split: Option<sync::Mutex<split::DemandSplit>>,
    outbox: mpsc::UnboundedSender<action::LedgerAction>,
    carried: sync::Mutex<Option<ActionReceiver>>,
}

/// Actions that wait to be carried out.
///
/// Their number is bounded by the ledger: one open ask for each limit and one
/// open operation for each object.
pub type ActionReceiver = mpsc::UnboundedReceiver<action::LedgerAction>;

#[derive(Debug)]
struct AdmissionState {
    ledger: ledger::ShareLedger,
    waiting: collections::HashMap<action::RequestTicket, oneshot::Sender<action::TicketOutcome>>,
}

impl AdmissionControl {
    /// Makes the admission of one run of an instance.
    #[must_use]
    pub fn new(
        settings: &settings::InstanceSettings,
        incarnation: incarnation::Incarnation,
    ) -> Self {
        let own = action::LedgerMember {
            incarnation,
            region: settings.identity.region.as_str().into(),
            failure_domain: settings.identity.failure_domain.as_str().into(),
        };
        let ledger = ledger::ShareLedger::new(own, mechanism::MechanismSet::default());
        let state = AdmissionState { ledger, waiting: collections::HashMap::new() };
        let (outbox, carried) = mpsc::unbounded_channel();
        let splits = settings.dialect == settings::InterfaceDialect::Platform;
        Self {
            state: sync::Mutex::new(state),
            split: splits.then(|| {
                let tolerance = make_tolerance(settings.bounds);
                sync::Mutex::new(split::DemandSplit::new(tolerance, time::Timestamp::ZERO))
            }),
            outbox,
            carried: sync::Mutex::new(Some(carried)),
        }
    }

    /// Sets the limits of a snapshot.
    pub fn set_limits(&self, tables: &snapshot::TableSnapshot, now: time::Timestamp) {
        let limits = collect_limits(tables);
        if let Some(mut split) = self.lock_split() {
            split.set_limits(&limits, now);
            return;
        }
        let ledger = &mut self.lock().ledger;
        let known: Vec<_> = ledger.limit_ids().collect();
        for id in known.into_iter().filter(|id| !limits.contains_key(id)) {
            ledger.remove_limit(id);
        }
        for (id, limit) in limits {
            ledger.set_limit(id, limit, now);
        }
    }

    /// Admits or refuses one request.
    pub async fn admit(&self, id: limit::LimitId, now: time::Timestamp) -> action::TicketOutcome {
        if let Some(mut split) = self.lock_split() {
            return split.admit(id, now);
        }
        let settled = match self.begin(id, now) {
            Ok(outcome) => return outcome,
            Err(settled) => settled,
        };
        // The ledger settles each ticket sooner unless its task has ended.
        let settled = tokio::time::timeout(MAX_WAIT, settled).await;
        let ended = action::TicketOutcome::Refused { retry_after: ENDED_RETRY };
        settled.ok().and_then(Result::ok).unwrap_or(ended)
    }

    /// Takes in the demand that another instance sees.
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

    /// Notes how many instances the platform lists.
    pub fn set_listed(&self, listed: usize) {
        if let Some(mut split) = self.lock_split() {
            split.set_listed_count(listed);
        }
    }

    /// Computes the parts of split limits anew and returns the own demand.
    pub fn step_split(
        &self,
        others: &[split::SplitMember],
        now: time::Timestamp,
    ) -> Vec<split::LimitDemand> {
        let Some(mut split) = self.lock_split() else { return Vec::new() };
        split.set_members(others);
        split.step(now)
    }

    /// Handles an event and sends on what the ledger asks for.
    pub fn handle(&self, event: action::LedgerEvent, now: time::Timestamp) {
        let mut actions = Vec::new();
        let mut state = self.lock();
        state.ledger.handle(event, now, &mut actions);
        self.carry(&mut state, actions);
    }

    /// Returns the actions to carry out, once.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the receiver.
    pub fn take_actions(&self) -> Option<ActionReceiver> {
        self.carried.lock().expect("no task panics while it holds the receiver").take()
    }

    /// Tells whether a planned stop has handed over everything.
    pub fn has_left(&self) -> bool {
        self.lock().ledger.has_left()
    }

    /// Writes the ledger's state.
    pub fn dump(&self, now: time::Timestamp) -> dump::LedgerDump {
        self.lock().ledger.dump(now)
    }

    fn begin(
        &self,
        id: limit::LimitId,
        now: time::Timestamp,
    ) -> Result<action::TicketOutcome, oneshot::Receiver<action::TicketOutcome>> {
        let mut actions = Vec::new();
        let mut state = self.lock();
        let ticket = match state.ledger.admit(id, now, &mut actions) {
            action::AdmitOutcome::Admitted { valid_until } => {
                return Ok(action::TicketOutcome::Admitted { valid_until });
            }
            action::AdmitOutcome::Refused { retry_after } => {
                return Ok(action::TicketOutcome::Refused { retry_after });
            }
            action::AdmitOutcome::Pending { ticket } => ticket,
        };
        let (sender, settled) = oneshot::channel();
        state.waiting.insert(ticket, sender);
        self.carry(&mut state, actions);
        Err(settled)
    }

    fn carry(&self, state: &mut AdmissionState, actions: Vec<action::LedgerAction>) {
        for action in actions {
            if let action::LedgerAction::Resolve { ticket, outcome } = action {
                // A request whose caller has gone is no longer waited for.
                let waiting = state.waiting.remove(&ticket);
                let _ = waiting.map(|sender| sender.send(outcome));
            } else {
                // The receiver is gone only when the process ends.
                let _ = self.outbox.send(action);
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
