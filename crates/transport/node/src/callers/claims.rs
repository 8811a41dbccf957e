//! Claims of idempotency keys, around the keeper's decisions.
//!
//! Invariant: a request that asked for a key and goes away without running
//! gives it back; one that may have run keeps it.

use std::collections;
use std::mem;
use std::sync;

use marjoramwing_dispatch::claim;
use marjoramwing_dispatch::mechanism;
use marjoramwing_entity::incarnation;
use marjoramwing_store_client::client;
use tokio::sync::oneshot;

use crate::callers::answer;

/// Header with a key that is the same for each repeat of a request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Claims of one instance.
#[derive(Debug)]
pub struct ClaimControl {
    client: client::StoreClient,
    state: sync::Mutex<ClaimState>,
}

#[derive(Debug)]
struct ClaimState {
    keeper: claim::ClaimKeeper,
    waiting: collections::HashMap<claim::ClaimNumber, oneshot::Sender<claim::ClaimVerdict>>,
}

/// A claimed key.
#[derive(Debug)]
pub struct HeldClaim {
    control: sync::Arc<ClaimControl>,
    id: claim::ClaimId,
    number: claim::ClaimNumber,
}

impl HeldClaim {
    /// Gives the key back, since its request is known not to have run.
    pub fn release(self) {
        let turn = self.control.lock().keeper.release(self.id, self.number);
        self.control.carry_out(turn);
    }
}

/// Finds the idempotency key of a request, if it has one.
///
/// # Errors
///
/// Returns a refusal when there are several keys or one that is too long.
pub fn find_key(headers: &http::HeaderMap) -> Result<Option<&str>, answer::Refusal> {
    let mut keys = headers.get_all(IDEMPOTENCY_KEY).into_iter();
    let (Some(key), more) = (keys.next(), keys.next()) else { return Ok(None) };
    let text = key.to_str().ok().filter(|text| (1..=MAX_KEY_BYTES).contains(&text.len()));
    match (text, more) {
        (Some(text), None) => Ok(Some(text)),
        _ => {
            let remedy = "send one Idempotency-Key of 1 to 255 visible characters";
            Err(answer::Refusal::not_run(answer::RefusalKind::BadRequest(remedy)))
        }
    }
}

impl ClaimControl {
    /// Makes a control that knows no claim.
    #[must_use]
    pub fn new(incarnation: incarnation::Incarnation, client: client::StoreClient) -> Self {
        let disabled = mechanism::DisabledMechanism::Nothing;
        let keeper = claim::ClaimKeeper::new(incarnation, disabled);
        let waiting = collections::HashMap::new();
        Self { client, state: sync::Mutex::new(ClaimState { keeper, waiting }) }
    }

    /// Claims a key.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the key was claimed before or cannot be checked.
    pub async fn claim(
        self: &sync::Arc<Self>,
        id: claim::ClaimId,
    ) -> Result<HeldClaim, answer::Refusal> {
        let (sender, receiver) = oneshot::channel();
        let (number, turn) = {
            let mut state = self.lock();
            let (number, turn) = state.keeper.claim(id);
            state.waiting.insert(number, sender);
            (number, turn)
        };
        let pending = PendingClaim(Some(HeldClaim { control: sync::Arc::clone(self), id, number }));
        self.carry_out(turn);
        match receiver.await {
            Ok(claim::ClaimVerdict::Claimed) => Ok(pending.hold()),
            Ok(claim::ClaimVerdict::Duplicate) => {
                let _ = pending.hold();
                let kind = answer::RefusalKind::KeyRepeated;
                let outcome = marjoramwing_dispatch::exchange::RequestOutcome::Unknown;
                Err(answer::Refusal { kind, outcome })
            }
            Ok(claim::ClaimVerdict::StoreUnavailable) | Err(_) => {
                let _ = pending.hold();
                Err(answer::Refusal::not_run(answer::RefusalKind::ClaimsDown))
            }
        }
    }

    /// Carries out a turn's operations in a task, until none is left.
    fn carry_out(self: &sync::Arc<Self>, turn: claim::ClaimActions) {
        self.settle(&turn);
        let Some(mut next) = turn.operation else { return };
        let control = sync::Arc::clone(self);
        tokio::spawn(async move {
            loop {
                let answer = control.client.run(&next.operation).await;
                let turn = control.lock().keeper.record_answer(next.shard, &answer);
                control.settle(&turn);
                match turn.operation {
                    Some(operation) => next = operation,
                    None => return,
                }
            }
        });
    }

    fn settle(&self, turn: &claim::ClaimActions) {
        for settled in &turn.settled {
            let sender = self.lock().waiting.remove(&settled.number);
            if let Some(sender) = sender {
                let _ = sender.send(settled.verdict);
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ClaimState> {
        self.state.lock().expect("no task panics while it holds the claims")
    }
}

/// Gives a key back when its request goes away before the verdict.
struct PendingClaim(Option<HeldClaim>);

impl PendingClaim {
    fn hold(mut self) -> HeldClaim {
        mem::take(&mut self.0).expect("a pending claim holds its key until now")
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        if let Some(claim) = self.0.take() {
            claim.control.lock().waiting.remove(&claim.number);
            claim.release();
        }
    }
}
