//! Claims of idempotency keys: runs the store operations of the claim keeper.
//!
//! Invariant: a request that is dropped before the verdict, or refused without
//! having run, releases its key; one that may have run keeps it.

use std::collections;
use std::mem;
use std::sync;

use marjoramwing_dispatch::claim;
use marjoramwing_dispatch::mechanism;
use marjoramwing_entity::incarnation;
use marjoramwing_store_client::client;
use tokio::sync::oneshot;

use crate::callers::refusal;

/// Header with a key that stays the same when a request is repeated.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Claims idempotency keys for the requests of one instance.
#[derive(Debug)]
pub struct ClaimControl {
    client: client::StoreClient,
    state: sync::Mutex<ClaimState>,
}

#[derive(Debug)]
struct ClaimState {
    keeper: claim::ClaimKeeper,
    waiters: collections::HashMap<claim::ClaimNumber, oneshot::Sender<claim::ClaimVerdict>>,
}

/// An idempotency key that a request has claimed.
#[derive(Debug)]
pub struct HeldClaim {
    control: sync::Arc<ClaimControl>,
    id: claim::ClaimId,
    number: claim::ClaimNumber,
}

impl HeldClaim {
    /// Releases the key; call this only if the request is known not to have run.
    pub fn release(self) {
        let actions = self.control.lock().keeper.release(self.id, self.number);
        self.control.run_operations(actions);
    }
}

/// Returns the idempotency key of a request, if it has one.
///
/// # Errors
///
/// Returns a refusal when there are several keys or one that is too long.
pub fn find_key(headers: &http::HeaderMap) -> Result<Option<&str>, refusal::Refusal> {
    let mut keys = headers.get_all(IDEMPOTENCY_KEY).into_iter();
    let (Some(key), more) = (keys.next(), keys.next()) else { return Ok(None) };
    let text = key.to_str().ok().filter(|text| (1..=MAX_KEY_BYTES).contains(&text.len()));
    match (text, more) {
        (Some(text), None) => Ok(Some(text)),
        _ => {
            let remedy = "send one Idempotency-Key of 1 to 255 visible characters";
            Err(refusal::Refusal::not_run(refusal::RefusalKind::BadRequest(remedy)))
        }
    }
}

impl ClaimControl {
    /// Creates a control without claims.
    #[must_use]
    pub fn new(incarnation: incarnation::Incarnation, client: client::StoreClient) -> Self {
        let disabled = mechanism::DisabledMechanism::Nothing;
        let keeper = claim::ClaimKeeper::new(incarnation, disabled);
        let waiters = collections::HashMap::new();
        Self { client, state: sync::Mutex::new(ClaimState { keeper, waiters }) }
    }

    /// Forgets what is known of the store's objects, since it was restored from an older copy.
    pub fn forget_objects(&self) {
        self.lock().keeper.forget_objects();
    }

    /// Claims a key for a request and waits for the verdict.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the key was already claimed or the store does not respond.
    pub async fn claim(
        self: &sync::Arc<Self>,
        id: claim::ClaimId,
    ) -> Result<HeldClaim, refusal::Refusal> {
        let (sender, receiver) = oneshot::channel();
        let (number, actions) = {
            let mut state = self.lock();
            let (number, actions) = state.keeper.claim(id);
            state.waiters.insert(number, sender);
            (number, actions)
        };
        let pending = PendingClaim(Some(HeldClaim { control: sync::Arc::clone(self), id, number }));
        self.run_operations(actions);
        match receiver.await {
            Ok(claim::ClaimVerdict::Claimed) => Ok(pending.disarm()),
            Ok(claim::ClaimVerdict::Duplicate) => {
                let _ = pending.disarm();
                let kind = refusal::RefusalKind::IdempotencyKeyReused;
                let outcome = marjoramwing_dispatch::exchange::RequestOutcome::Unknown;
                Err(refusal::Refusal { kind, outcome })
            }
            Ok(claim::ClaimVerdict::StoreUnavailable) | Err(_) => {
                let _ = pending.disarm();
                Err(refusal::Refusal::not_run(refusal::RefusalKind::ClaimsUnavailable))
            }
        }
    }

    /// Delivers the verdicts of `actions` and runs its store operation in a task, along with
    /// those that follow from the results.
    fn run_operations(self: &sync::Arc<Self>, actions: claim::ClaimActions) {
        self.deliver_verdicts(&actions);
        let Some(mut next) = actions.operation else { return };
        let control = sync::Arc::clone(self);
        tokio::spawn(async move {
            loop {
                let answer = control.client.run(&next.operation).await;
                let actions = control.lock().keeper.record_answer(next.shard, &answer);
                control.deliver_verdicts(&actions);
                match actions.operation {
                    Some(operation) => next = operation,
                    None => return,
                }
            }
        });
    }

    fn deliver_verdicts(&self, actions: &claim::ClaimActions) {
        for settled in &actions.settled {
            let sender = self.lock().waiters.remove(&settled.number);
            if let Some(sender) = sender {
                let _ = sender.send(settled.verdict);
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ClaimState> {
        self.state.lock().expect("no task panics while it holds the claims")
    }
}

/// Releases a key if its request is dropped before the verdict.
struct PendingClaim(Option<HeldClaim>);

impl PendingClaim {
    fn disarm(mut self) -> HeldClaim {
        mem::take(&mut self.0).expect("a pending claim holds its key until it is taken")
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        if let Some(claim) = self.0.take() {
            claim.control.lock().waiters.remove(&claim.number);
            claim.release();
        }
    }
}
