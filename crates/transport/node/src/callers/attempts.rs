//! The attempts at one request, as the exchange decides on them.
//!
//! When the caller goes away this future is dropped, which closes the
//! connection of every open attempt.

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

use crate::backends::answer as backend_answer;
use crate::backends::service;
use crate::backends::whole;
use crate::callers::answer;
use crate::callers::attempt;
use crate::callers::request;
use crate::callers::trace;
use crate::shared;

/// Part of a route's deadline after which a silent backend server is left.
const SILENCE_DIVISOR: u32 = 4;

/// Everything that the attempts at one request need.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'a> {
    /// Tables of the instance.
    pub shared: &'a sync::Arc<shared::SharedTables>,
    /// Services of the route's pools, in order of preference.
    pub services: &'a [sync::Arc<service::ServiceControl>],
    /// Team of the request; empty on a route open to all.
    pub team: &'a str,
    /// The only regions in which the request may be served.
    pub regions: Option<&'a sync::Arc<[sync::Arc<str>]>>,
    /// Session whose requests are best sent to the same server.
    pub session: Option<session::SessionKey>,
    /// Route of the request.
    pub route: &'a route::Route,
    /// The request.
    pub request: &'a request::PreparedRequest,
    /// Time at which the request arrived.
    pub arrived: time::Timestamp,
    /// Time at which the request must be answered.
    pub deadline: time::Timestamp,
    /// Time up to which the instance may start work under its limits.
    pub send_before: time::Timestamp,
    /// What is told of the request in the log.
    pub trace: &'a trace::RequestTrace,
}

/// The answer of a backend server, whose head has arrived.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Head, and the body as far as it was read.
    pub response: http::Response<whole::ReadBody>,
    /// Connection and place at the backend server.
    pub exchange: backend_answer::OpenExchange,
}

/// Runs attempts until one is answered or none may follow.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run.
pub async fn run_attempts(context: AttemptContext<'_>) -> Result<OpenAnswer, answer::Refusal> {
    let idempotent = context.route.is_idempotent(context.request.method().as_str());
    let silent = context.route.deadline / SILENCE_DIVISOR;
    // A body that the caller still sends says nothing about the backend server.
    let abandons_unresponsive = context.shared.dispatch.policy().abandons_unresponsive;
    let head_timeout = match context.request.source.is_whole() && abandons_unresponsive {
        true => silent,
        false => duration::Duration::MAX,
    };
    let rules = exchange::ExchangeRules {
        idempotent,
        deadline: context.deadline,
        max_attempts: context.route.max_attempts,
        sheds_cost_retries: context.shared.dispatch.policy().sheds_cost_retries,
        head_timeout,
        hedge_after: context.shared.dispatch.policy().hedge_after,
        disabled: mechanism::DisabledMechanism::Nothing,
    };
    let exchange = exchange::RequestExchange::new(rules);
    let (open, cancels) = (stream::FuturesUnordered::new(), primary::PrimaryMap::new());
    let (failed, fault) = (Vec::new(), None);
    AttemptDriver { context, exchange, open, cancels, failed, fault }.run().await
}

type AttemptFuture<'a> = futures_util::future::BoxFuture<'a, attempt::AttemptEnd>;

struct AttemptDriver<'a> {
    context: AttemptContext<'a>,
    exchange: exchange::RequestExchange,
    open: stream::FuturesUnordered<AttemptFuture<'a>>,
    cancels: primary::PrimaryMap<exchange::AttemptKey, cancellation::CancellationToken>,
    failed: Vec<net::SocketAddr>,
    fault: Option<service::SlotFault>,
}

impl AttemptContext<'_> {
    fn wish<'a>(&'a self, failed: &'a [net::SocketAddr]) -> picker::ServerCriteria<'a> {
        let regions = self.regions.map(|regions| &**regions);
        picker::ServerCriteria {
            excluded: failed,
            regions,
            session: self.session,
            deadline: Some(self.deadline),
        }
    }

    /// Waits for a slot of the route's first service, or takes one of another
    /// that is free now.
    async fn find_slot(
        &self,
        failed: &[net::SocketAddr],
    ) -> Result<service::ServerGuard, service::SlotFault> {
        let free = self.services.iter().find_map(|service| {
            if service.queued() == 0 { service.try_slot(&self.wish(failed)) } else { None }
        });
        if let Some(guard) = free {
            return Ok(guard);
        }
        let mut fault = service::SlotFault::NoServer;
        for service in self.services {
            let request = queue::SlotRequest {
                team: self.team.into(),
                deadline: self.deadline,
                bytes: self.request.source.kept_bytes(),
                excluded: failed.to_vec(),
                regions: self.regions.map(sync::Arc::clone),
                session: self.session,
                target: self.route.target.map(|target| self.arrived + target),
            };
            match service.wait_slot(request).await {
                Err(service::SlotFault::NoServer) => {}
                Err(other) => fault = other,
                granted => return granted,
            }
        }
        Err(fault)
    }
}

impl AttemptDriver<'_> {
    async fn run(mut self) -> Result<OpenAnswer, answer::Refusal> {
        self.context.services[0].record_request();
        loop {
            let can_replay = self.context.request.source.can_replay();
            let answered = match self.exchange.next_step(self.now(), can_replay) {
                exchange::ExchangeStep::Start if self.open.is_empty() => {
                    if !self.start().await {
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
                    self.wait(self.context.deadline).await
                }
                exchange::ExchangeStep::Refuse => match self.abandon_all().await {
                    None => return Err(self.refuse()),
                    answered => answered,
                },
            };
            if let Some(open) = answered {
                return self.check_framing(open);
            }
        }
    }

    async fn start(&mut self) -> bool {
        if self.exchange.costs_retry() && !self.context.services[0].take_retry() {
            return false;
        }
        match self.context.find_slot(&self.failed).await {
            Ok(guard) => {
                self.begin(guard);
                true
            }
            Err(fault) => {
                self.fault = Some(fault);
                false
            }
        }
    }

    /// Starts a second attempt if a slot is free for it now.
    fn start_hedge(&mut self) {
        let service = &self.context.services[0];
        let slot =
            service.try_slot(&self.context.wish(&self.failed)).filter(|_| service.take_retry());
        match slot {
            Some(guard) => self.begin(guard),
            None => self.exchange.skip_hedge(),
        }
    }

    fn begin(&mut self, guard: service::ServerGuard) {
        let address = guard.address();
        self.context.trace.note_granted(address, guard.identity(), self.now());
        // An attempt that is not shed sends the next one elsewhere.
        self.failed.push(address);
        let cancel = cancellation::CancellationToken::new();
        let key = self.exchange.begin(self.now());
        self.cancels.push(cancel.clone());
        let attempt = attempt::ServerAttempt { context: self.context, key, address, cancel };
        self.open.push(Box::pin(attempt.run(guard)));
    }

    async fn wait(&mut self, until: time::Timestamp) -> Option<OpenAnswer> {
        let clock = self.context.shared.clock();
        let end = clock.wait(until, self.open.next()).await??;
        self.record(end)
    }

    async fn abandon_all(&mut self) -> Option<OpenAnswer> {
        self.cancels.values().for_each(cancellation::CancellationToken::cancel);
        while let Some(end) = self.open.next().await {
            if let Some(open) = self.record(end) {
                return Some(open);
            }
        }
        None
    }

    fn record(&mut self, end: attempt::AttemptEnd) -> Option<OpenAnswer> {
        let attempt::AttemptEnd { key, address, result } = end;
        self.count(&result, address);
        match result {
            attempt::AttemptResult::Answered(open) => {
                self.exchange.end(key, exchange::AttemptState::Answered);
                return Some(*open);
            }
            attempt::AttemptResult::Shed => {
                self.exchange.end(key, exchange::AttemptState::Shed);
                self.failed.retain(|failed| *failed != address);
            }
            attempt::AttemptResult::Misdirected => {
                self.exchange.end(key, exchange::AttemptState::Shed);
            }
            attempt::AttemptResult::Unreachable => {
                self.exchange.end(key, exchange::AttemptState::NotSent);
            }
            attempt::AttemptResult::Crossed => {
                self.exchange.end(key, exchange::AttemptState::PossiblySent);
            }
            attempt::AttemptResult::Failed(state) => self.exchange.end(key, state),
            attempt::AttemptResult::Abandoned(state) => self.exchange.abandon(key, state),
        }
        None
    }

    fn count(&self, result: &attempt::AttemptResult, address: net::SocketAddr) {
        let label = match result {
            attempt::AttemptResult::Answered(_) => "answered",
            attempt::AttemptResult::Shed => "shed",
            attempt::AttemptResult::Misdirected => "misdirected",
            attempt::AttemptResult::Crossed => {
                emit!(catalogue::BACKEND_ANSWER_CROSSED, server = %address);
                "crossed"
            }
            attempt::AttemptResult::Failed(_) => {
                emit!(catalogue::BACKEND_EXCHANGE_FAILED, server = %address);
                "broken_off"
            }
            attempt::AttemptResult::Unreachable => {
                emit!(catalogue::BACKEND_CONNECT_FAILED, server = %address);
                "connect_failed"
            }
            attempt::AttemptResult::Abandoned(_) => "abandoned",
        };
        self.context.shared.metrics.attempts.with_label_values(&[label]).inc();
        self.context.trace.note_ended(address, label);
    }

    /// Refuses an answer whose end could not be told from a break.
    fn check_framing(&self, open: OpenAnswer) -> Result<OpenAnswer, answer::Refusal> {
        let accepts_unbounded = self.context.shared.names.accepts_unbounded;
        if accepts_unbounded || is_bounded(&open.response) {
            return Ok(open);
        }
        let outcome = exchange::RequestOutcome::Unknown;
        Err(answer::Refusal { kind: answer::RefusalKind::AnswerUnbounded, outcome })
    }

    fn refuse(&self) -> answer::Refusal {
        let outcome = self.exchange.outcome();
        let late =
            self.now() >= self.context.deadline || self.fault == Some(service::SlotFault::TooLate);
        let full = self.fault == Some(service::SlotFault::QueueFull);
        let kind = match (outcome, late) {
            (exchange::RequestOutcome::NotRun, false) if full => answer::RefusalKind::QueueFull,
            (exchange::RequestOutcome::NotRun, true) => answer::RefusalKind::DeadlineUnsent,
            (exchange::RequestOutcome::NotRun, false) => answer::RefusalKind::NoServer,
            (exchange::RequestOutcome::Unknown, true) => answer::RefusalKind::DeadlinePassed,
            (exchange::RequestOutcome::Unknown, false) => answer::RefusalKind::BrokenOff,
        };
        answer::Refusal { kind, outcome }
    }

    fn now(&self) -> time::Timestamp {
        self.context.shared.now()
    }
}

fn is_bounded<B: http_body::Body>(response: &http::Response<B>) -> bool {
    response.body().is_end_stream()
        || response.body().size_hint().exact().is_some()
        || response.headers().contains_key(http::header::TRANSFER_ENCODING)
}
