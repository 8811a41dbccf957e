//! Retries and hedging of one request.
//!
//! [`RequestExchange`] holds the state of all attempts and decides the next step; this
//! module executes the steps.
//!
//! If the caller disconnects, the future of [`run_attempts`] is dropped, which
//! closes the connections of all open attempts.
//!
//! [`RequestExchange`]: exchange::RequestExchange

use std::net;
use std::sync;
use std::time as duration;

use futures_util::StreamExt;
use futures_util::stream;
use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::mechanism;
use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::queue;
use marjoramwing_dispatch::session;
use marjoramwing_entity::primary;
use marjoramwing_entity::time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_tables::route;
use tokio_util::sync as cancellation;

use crate::backends::buffered;
use crate::backends::response as backend_response;
use crate::backends::service;
use crate::callers::attempt;
use crate::callers::investigation;
use crate::callers::refusal;
use crate::callers::request;
use crate::callers::suspicion;
use crate::callers::trace;
use crate::shared;

/// The route's deadline divided by this is the wait for a response head, after which
/// another backend server is tried.
const HEAD_TIMEOUT_DIVISOR: u32 = 4;

/// Fraction of the time left, as a divisor, that a caller waits before it sends again.
pub(crate) const CALLER_WAIT_DIVISOR: u32 = 3;

/// Inputs of all attempts at one request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'a> {
    /// Shared state of the instance.
    pub shared: &'a sync::Arc<shared::InstanceState>,
    /// Services of the route's pools, in order of preference; never empty.
    ///
    /// The retry budget of the first counts the request and its retries, whichever
    /// service the attempts are sent to.
    pub services: &'a [sync::Arc<service::ServiceControl>],
    /// Team of the request; empty on a route that needs no key.
    pub team: &'a str,
    /// Regions in which the request may be served; `None` allows all.
    pub regions: Option<&'a sync::Arc<[sync::Arc<str>]>>,
    /// Session whose requests prefer the same backend server.
    pub session: Option<session::SessionKey>,
    /// Route of the request.
    pub route: &'a route::Route,
    /// The request.
    pub request: &'a request::PreparedRequest,
    /// Time at which the request arrived.
    pub arrived: time::Timestamp,
    /// Time by which the request must be answered.
    pub deadline: time::Timestamp,
    /// Time before which the first byte must be written, since the admission under the
    /// rate limits expires then.
    pub send_before: time::Timestamp,
    /// Collects the log line of the request.
    pub trace: &'a trace::RequestTrace,
}

/// A response whose head has arrived from a backend server.
#[derive(Debug)]
pub struct OpenResponse {
    /// Head, and the body as far as it was buffered.
    pub response: http::Response<buffered::BufferedBody>,
    /// Connection and slot of the attempt that was answered.
    pub resources: backend_response::AttemptResources,
}

/// Makes attempts until one is answered or no further attempt is allowed.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run.
pub async fn run_attempts(context: AttemptContext<'_>) -> Result<OpenResponse, refusal::Refusal> {
    let idempotent = context.route.is_idempotent(context.request.method().as_str());
    // `route.deadline` is a duration; `context.deadline` is the resulting point in time.
    let route_head_timeout = context.route.deadline / HEAD_TIMEOUT_DIVISOR;
    // While the caller still sends the body, a missing response does not show that the
    // backend server is slow.
    let abandons_unresponsive = context.shared.dispatch.policy().abandons_unresponsive;
    let head_timeout = match context.request.source.is_buffered() && abandons_unresponsive {
        true => route_head_timeout,
        false => duration::Duration::MAX,
    };
    let rules = exchange::ExchangeRules {
        idempotent,
        deadline: context.deadline,
        max_attempts: context.route.max_attempts,
        sheds_cost_retries: context.shared.dispatch.policy().sheds_cost_retries,
        head_timeout,
        hedge_after: context.shared.dispatch.policy().hedge_after,
        // Only the tests of the exchange disable a mechanism.
        disabled: mechanism::DisabledMechanism::Nothing,
    };
    let exchange = exchange::RequestExchange::new(rules);
    let (open, cancels) = (stream::FuturesUnordered::new(), primary::PrimaryMap::new());
    let driver = AttemptDriver {
        context,
        exchange,
        open,
        cancels,
        excluded: Vec::new(),
        fault: None,
        servers: primary::PrimaryMap::new(),
        copy: suspicion::SuspectCopy::new(context),
    };
    driver.run().await
}

type AttemptFuture<'a> = futures_util::future::BoxFuture<'a, attempt::AttemptEnd>;

struct AttemptDriver<'a> {
    context: AttemptContext<'a>,
    exchange: exchange::RequestExchange,
    open: stream::FuturesUnordered<AttemptFuture<'a>>,
    cancels: primary::PrimaryMap<exchange::AttemptKey, cancellation::CancellationToken>,
    /// Servers to which no further attempt is sent.
    excluded: Vec<net::SocketAddr>,
    /// Why the last attempt got no slot.
    fault: Option<service::SlotFault>,
    /// Server of each attempt.
    servers: primary::PrimaryMap<exchange::AttemptKey, investigation::BrokenServer>,
    /// This request as one copy of its content.
    copy: suspicion::SuspectCopy<'a>,
}

impl AttemptContext<'_> {
    fn server_criteria<'a>(
        &'a self,
        excluded: &'a [net::SocketAddr],
    ) -> picker::ServerCriteria<'a> {
        let regions = self.regions.map(|regions| &**regions);
        picker::ServerCriteria {
            excluded,
            regions,
            session: self.session,
            deadline: Some(self.deadline),
        }
    }

    /// Acquires a slot of the first service that has one free and no queue; otherwise
    /// queues the request at each service in turn, until a slot is granted.
    ///
    /// The wait at a service may last until the deadline, so the next service is asked
    /// only once this one has failed the request. If all fail, the last fault other than
    /// `NoServer` is returned.
    async fn acquire_slot(
        &self,
        excluded: &[net::SocketAddr],
    ) -> Result<service::SlotGuard, service::SlotFault> {
        let free = self.services.iter().find_map(|service| {
            if service.queued() == 0 {
                service.try_acquire_slot(&self.server_criteria(excluded))
            } else {
                None
            }
        });
        if let Some(guard) = free {
            return Ok(guard);
        }
        let mut fault = service::SlotFault::NoServer;
        for service in self.services {
            let request = queue::SlotRequest {
                team: self.team.into(),
                deadline: self.deadline,
                bytes: self.request.source.buffered_bytes(),
                excluded: excluded.to_vec(),
                regions: self.regions.map(sync::Arc::clone),
                session: self.session,
                target_time: self.route.target.map(|latency| self.arrived + latency),
            };
            match service.acquire_slot(request).await {
                Err(service::SlotFault::NoServer) => {}
                Err(other) => fault = other,
                granted => return granted,
            }
        }
        Err(fault)
    }
}

impl AttemptDriver<'_> {
    /// Executes the steps until a response arrives or the request is refused.
    async fn run(mut self) -> Result<OpenResponse, refusal::Refusal> {
        self.context.services[0].record_request();
        loop {
            if !self.open.is_empty() && self.copy.is_held() {
                return match self.cancel_open().await {
                    None => Err(self.refuse()),
                    Some(open) => self.check_framing(open),
                };
            }
            let answered = match self.next_step() {
                exchange::ExchangeStep::Start if self.open.is_empty() => {
                    if !self.start_next().await {
                        return Err(self.refuse());
                    }
                    None
                }
                exchange::ExchangeStep::Start => {
                    self.start_hedge();
                    None
                }
                exchange::ExchangeStep::Wait(until) => self.wait(until).await,
                exchange::ExchangeStep::Abandon(key) => {
                    self.cancels[key].cancel();
                    // Another open attempt may end first; the next step takes it into
                    // account.
                    self.wait(self.context.deadline).await
                }
                exchange::ExchangeStep::Refuse => match self.cancel_open().await {
                    None => return Err(self.refuse()),
                    answered => answered,
                },
            };
            if let Some(mut open) = answered {
                self.copy.clear(&mut open);
                return self.check_framing(open);
            }
        }
    }

    fn next_step(&self) -> exchange::ExchangeStep {
        if self.context.shared.has_finish_ended() {
            return exchange::ExchangeStep::Refuse;
        }
        // An open attempt is not abandoned for another one that would get no slot.
        let can_replay = self.context.request.source.can_replay() && !self.is_stopping();
        self.exchange.next_step(self.now(), can_replay)
    }

    /// Returns true if the process stops before a further attempt can be answered.
    fn is_stopping(&self) -> bool {
        self.context.services.iter().all(|service| service.is_stopping())
    }

    /// Starts an attempt in the next slot that is granted; returns false if the retry
    /// budget or the services allow none.
    async fn start_next(&mut self) -> bool {
        if !self.copy.pass_quarantine().await {
            return false;
        }
        if self.exchange.costs_retry() && !self.context.services[0].take_retry() {
            return false;
        }
        loop {
            let slot = tokio::select! {
                biased;
                slot = self.context.acquire_slot(&self.excluded) => slot,
                () = self.context.shared.finish_ended() => Err(service::SlotFault::Stopping),
            };
            match slot {
                // The request may have become a suspect while it waited for the slot.
                Ok(guard) if self.copy.must_ask_again() => {
                    drop(guard);
                    if !self.copy.pass_quarantine().await {
                        return false;
                    }
                }
                Ok(guard) => {
                    self.start_in_slot(guard);
                    return true;
                }
                Err(fault) => {
                    self.fault = Some(fault);
                    self.copy.end_trial();
                    return false;
                }
            }
        }
    }

    /// Starts a second, concurrent attempt if the first service has a free slot and its
    /// retry budget allows it; otherwise disables hedging for this request.
    fn start_hedge(&mut self) {
        if self.copy.is_suspect() {
            self.exchange.skip_hedge();
            return;
        }
        let service = &self.context.services[0];
        let slot = service
            .try_acquire_slot(&self.context.server_criteria(&self.excluded))
            .filter(|_| service.take_retry());
        match slot {
            Some(guard) => self.start_in_slot(guard),
            None => self.exchange.skip_hedge(),
        }
    }

    fn start_in_slot(&mut self, guard: service::SlotGuard) {
        let address = guard.address();
        self.context.trace.record_slot_granted(address, guard.server_id(), self.now());
        // Later attempts exclude this server, unless this attempt is shed: a server that
        // shed a request may be tried again once its backoff is over.
        self.excluded.push(address);
        let cancel = cancellation::CancellationToken::new();
        let key = self.exchange.start_attempt(self.now());
        self.cancels.push(cancel.clone());
        self.servers.push(investigation::BrokenServer {
            address,
            run: guard.run().cloned(),
            service: sync::Arc::clone(guard.service()),
        });
        let attempt = attempt::ServerAttempt { context: self.context, key, address, cancel };
        self.open.push(Box::pin(attempt.run(guard)));
    }

    /// Waits until any open attempt ends, at most until `until` or the end of a planned stop;
    /// returns the response if that attempt was answered.
    async fn wait(&mut self, until: time::Timestamp) -> Option<OpenResponse> {
        let clock = self.context.shared.clock();
        let end = tokio::select! {
            biased;
            end = clock.wait(until, self.open.next()) => end,
            () = self.context.shared.finish_ended() => None,
            // Servers may have ended under other copies of the request.
            () = self.context.shared.quarantine.changed() => None,
        };
        self.record_end(end??)
    }

    /// Cancels all open attempts and waits for them to end; returns a response that
    /// arrives nevertheless.
    async fn cancel_open(&mut self) -> Option<OpenResponse> {
        self.cancels.values().for_each(cancellation::CancellationToken::cancel);
        while let Some(end) = self.open.next().await {
            if let Some(open) = self.record_end(end) {
                return Some(open);
            }
        }
        None
    }

    /// Records the end of an attempt and returns its response if it was answered.
    fn record_end(&mut self, end: attempt::AttemptEnd) -> Option<OpenResponse> {
        let attempt::AttemptEnd { key, address, result } = end;
        self.report_result(&result, address);
        match result {
            attempt::AttemptResult::Answered(open) => {
                self.exchange.end_attempt(key, exchange::AttemptState::Answered);
                return Some(*open);
            }
            // As after a shed, the request did not run.
            attempt::AttemptResult::Shed | attempt::AttemptResult::Withdrawn => {
                self.exchange.end_attempt(key, exchange::AttemptState::Shed);
                self.excluded.retain(|excluded| *excluded != address);
            }
            // As after a shed, the request did not run. The server stays excluded, since the
            // address now belongs to another one.
            attempt::AttemptResult::Misdirected => {
                self.exchange.end_attempt(key, exchange::AttemptState::Shed);
            }
            attempt::AttemptResult::ConnectFailed(_) => {
                self.exchange.end_attempt(key, exchange::AttemptState::NotSent);
            }
            // The request may have run, since its own response is missing.
            attempt::AttemptResult::Mismatched => {
                self.exchange.end_attempt(key, exchange::AttemptState::PossiblySent);
            }
            attempt::AttemptResult::TimedOut(state) => self.exchange.end_attempt(key, state),
            attempt::AttemptResult::Failed(state) => {
                self.exchange.end_attempt(key, state);
                if !state.is_not_run() {
                    self.copy.investigate(self.servers[key].clone());
                }
            }
            attempt::AttemptResult::Abandoned(state) => self.exchange.abandon_attempt(key, state),
        }
        None
    }

    /// Reports the result of one attempt in the log, the metrics and the request's trace.
    ///
    /// In the name of the event, an exchange is this one attempt.
    fn report_result(&self, result: &attempt::AttemptResult, address: net::SocketAddr) {
        let label = match result {
            attempt::AttemptResult::Answered(_) => "answered",
            attempt::AttemptResult::Shed => "shed",
            attempt::AttemptResult::Withdrawn => "withdrawn",
            attempt::AttemptResult::Misdirected => "misdirected",
            attempt::AttemptResult::Mismatched => {
                emit!(catalogue::BACKEND_ANSWER_CROSSED, server = %address);
                "crossed"
            }
            attempt::AttemptResult::Failed(_) => {
                emit!(catalogue::BACKEND_EXCHANGE_FAILED, server = %address,
                    request = %self.context.trace.id(), team = %self.context.team,
                    content = %self.copy.content());
                "broken_off"
            }
            attempt::AttemptResult::TimedOut(_) => {
                emit!(catalogue::BACKEND_EXCHANGE_SILENT, server = %address,
                    request = %self.context.trace.id());
                "timed_out"
            }
            attempt::AttemptResult::ConnectFailed(fault) => {
                emit!(catalogue::BACKEND_CONNECT_FAILED, server = %address, fault = %fault);
                "connect_failed"
            }
            attempt::AttemptResult::Abandoned(_) => "abandoned",
        };
        self.context.shared.metrics.attempts.with_label_values(&[label]).inc();
        self.context.trace.record_attempt_ended(address, label);
    }

    /// Refuses a response whose end is known only by the connection's close, since a
    /// truncated one could not be detected; some dialects accept it.
    fn check_framing(&self, open: OpenResponse) -> Result<OpenResponse, refusal::Refusal> {
        // `names` describes the dialect, including its rules for responses.
        let accepts_close_delimited = self.context.shared.names.accepts_close_delimited;
        if accepts_close_delimited || has_framing(&open.response) {
            return Ok(open);
        }
        let outcome = exchange::RequestOutcome::Unknown;
        Err(refusal::Refusal { kind: refusal::RefusalKind::ResponseUnframed, outcome })
    }

    fn refuse(&self) -> refusal::Refusal {
        let outcome = self.exchange.outcome();
        let late = self.now() >= self.context.deadline
            || self.fault == Some(service::SlotFault::DeadlineExceeded);
        let full = self.fault == Some(service::SlotFault::QueueFull);
        let stopping = self.fault == Some(service::SlotFault::Stopping) || self.is_stopping();
        let kind = match (outcome, late) {
            _ if stopping => refusal::RefusalKind::Stopping,
            _ if let Some(until) = self.copy.held_until() => {
                let retry_after = until.since(self.now());
                refusal::RefusalKind::Held { retry_after }
            }
            (exchange::RequestOutcome::NotRun, false)
                if let Some(retry_after) = self.limited_for() =>
            {
                refusal::RefusalKind::ServersLimited { retry_after }
            }
            (exchange::RequestOutcome::NotRun, false) if full => refusal::RefusalKind::QueueFull,
            (exchange::RequestOutcome::NotRun, true) => refusal::RefusalKind::DeadlineUnsent,
            (exchange::RequestOutcome::NotRun, false) => refusal::RefusalKind::NoServer,
            (exchange::RequestOutcome::Unknown, true) => refusal::RefusalKind::DeadlinePassed,
            (exchange::RequestOutcome::Unknown, false) => refusal::RefusalKind::ExchangeFailed,
        };
        refusal::Refusal { kind, outcome }
    }

    /// Returns the time after which a limited server takes requests, as far as the caller can wait
    /// for it, if the last attempt got no slot because all are limited.
    fn limited_for(&self) -> Option<duration::Duration> {
        let Some(service::SlotFault::Limited(retry_after)) = self.fault else { return None };
        let longest_wait = self.context.deadline.since(self.now()) / CALLER_WAIT_DIVISOR;
        Some(retry_after.min(longest_wait))
    }

    fn now(&self) -> time::Timestamp {
        self.context.shared.now()
    }
}

/// Returns true if the response is empty, has a known length or is chunked.
fn has_framing<B: http_body::Body>(response: &http::Response<B>) -> bool {
    response.body().is_end_stream()
        || response.body().size_hint().exact().is_some()
        || response.headers().contains_key(http::header::TRANSFER_ENCODING)
}
