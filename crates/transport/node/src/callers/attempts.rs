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
use marjoramwing_entity::key;
use marjoramwing_entity::primary;
use marjoramwing_entity::time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_tables::route;
use marjoramwing_tables::snapshot;
use tokio_util::sync as cancellation;

use crate::backends::answer as backend_answer;
use crate::backends::connection;
use crate::callers::answer;
use crate::callers::request;
use crate::shared;

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Part of a route's deadline after which a silent backend server is left.
const SILENCE_DIVISOR: u32 = 4;

/// Everything that the attempts at one request need.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'a> {
    /// Tables of the instance.
    pub shared: &'a sync::Arc<shared::SharedTables>,
    /// Tables in force when the request arrived.
    pub tables: &'a snapshot::TableSnapshot,
    /// Route of the request.
    pub route: &'a route::Route,
    /// The request.
    pub request: &'a request::PreparedRequest,
    /// Time at which the request must be answered.
    pub deadline: time::Timestamp,
    /// Time up to which the instance may start work under its limits.
    pub send_before: time::Timestamp,
}

/// The answer of a backend server, whose head has arrived.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Head and unread body.
    pub response: http::Response<hyper::body::Incoming>,
    /// Connection and place at the backend server.
    pub exchange: backend_answer::OpenExchange,
}

/// How an attempt ended.
struct AttemptEnd {
    key: exchange::AttemptKey,
    address: net::SocketAddr,
    result: AttemptResult,
}

enum AttemptResult {
    Answered(Box<OpenAnswer>),
    Shed,
    Crossed,
    Failed(exchange::AttemptState),
    Unreachable,
    Abandoned(exchange::AttemptState),
}

/// One attempt on its way to one backend server.
struct ServerAttempt<'a> {
    context: AttemptContext<'a>,
    key: exchange::AttemptKey,
    address: net::SocketAddr,
    cancel: cancellation::CancellationToken,
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
    let silence = if context.request.source.is_whole() { silent } else { duration::Duration::MAX };
    let rules = exchange::ExchangeRules {
        idempotent,
        deadline: context.deadline,
        max_attempts: MAX_ATTEMPTS,
        silence,
        hedge_after: None,
        disabled: Default::default(),
    };
    let exchange = exchange::RequestExchange::new(rules);
    let (open, cancels) = (stream::FuturesUnordered::new(), primary::PrimaryMap::new());
    AttemptDriver { context, exchange, open, cancels, tried: Vec::new() }.run().await
}

type AttemptFuture<'a> = futures_util::future::BoxFuture<'a, AttemptEnd>;

struct AttemptDriver<'a> {
    context: AttemptContext<'a>,
    exchange: exchange::RequestExchange,
    open: stream::FuturesUnordered<AttemptFuture<'a>>,
    cancels: primary::PrimaryMap<exchange::AttemptKey, cancellation::CancellationToken>,
    tried: Vec<net::SocketAddr>,
}

impl AttemptDriver<'_> {
    async fn run(mut self) -> Result<OpenAnswer, answer::Refusal> {
        loop {
            let can_replay = self.context.request.source.can_replay();
            let answered = match self.exchange.next_step(self.now(), can_replay) {
                exchange::ExchangeStep::Start if self.start() => None,
                exchange::ExchangeStep::Start if !self.open.is_empty() => {
                    self.wait(self.context.deadline).await
                }
                exchange::ExchangeStep::Start => return Err(self.refuse()),
                exchange::ExchangeStep::Wait(until) => self.wait(until).await,
                exchange::ExchangeStep::Abandon(key) => {
                    self.cancels[key].cancel();
                    self.context.shared.connections.forget(self.tried[key::EntityKey::index(key)]);
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

    fn start(&mut self) -> bool {
        let Some(address) = self.pick() else { return false };
        self.tried.push(address);
        let cancel = cancellation::CancellationToken::new();
        let key = self.exchange.begin(self.now());
        self.cancels.push(cancel.clone());
        let guard = backend_answer::ServerGuard::begin(self.context.shared, address);
        let attempt = ServerAttempt { context: self.context, key, address, cancel };
        self.open.push(Box::pin(attempt.run(guard)));
        true
    }

    fn pick(&self) -> Option<net::SocketAddr> {
        let seed = self.context.shared.next_seed();
        let picker = self.context.shared.picker();
        let pools = self.context.route.pools.iter().map(|key| &self.context.tables.pools[*key]);
        let mut choices = pools.map(|pool| picker.pick(pool, &self.tried, seed));
        choices.find_map(|choice| choice)
    }

    async fn wait(&mut self, until: time::Timestamp) -> Option<OpenAnswer> {
        let left = until.since(self.now());
        let end = tokio::time::timeout(left, self.open.next()).await.ok()??;
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

    fn record(&mut self, end: AttemptEnd) -> Option<OpenAnswer> {
        let AttemptEnd { key, address, result } = end;
        self.count(&result, address);
        match result {
            AttemptResult::Answered(open) => {
                self.exchange.end(key, exchange::AttemptState::Answered);
                return Some(*open);
            }
            AttemptResult::Shed => self.exchange.end(key, exchange::AttemptState::Shed),
            AttemptResult::Unreachable => self.exchange.end(key, exchange::AttemptState::NotSent),
            AttemptResult::Crossed => self.exchange.end(key, exchange::AttemptState::PossiblySent),
            AttemptResult::Failed(state) => self.exchange.end(key, state),
            AttemptResult::Abandoned(state) => self.exchange.abandon(key, state),
        }
        None
    }

    fn count(&self, result: &AttemptResult, address: net::SocketAddr) {
        let label = match result {
            AttemptResult::Answered(_) => "answered",
            AttemptResult::Shed => "shed",
            AttemptResult::Crossed => {
                emit!(catalogue::BACKEND_ANSWER_CROSSED, server = %address);
                "crossed"
            }
            AttemptResult::Failed(_) => {
                emit!(catalogue::BACKEND_EXCHANGE_FAILED, server = %address);
                "broken_off"
            }
            AttemptResult::Unreachable => {
                emit!(catalogue::BACKEND_CONNECT_FAILED, server = %address);
                "connect_failed"
            }
            AttemptResult::Abandoned(_) => "abandoned",
        };
        self.context.shared.metrics.attempts.with_label_values(&[label]).inc();
    }

    /// Refuses an answer whose end could not be told from a break.
    fn check_framing(&self, open: OpenAnswer) -> Result<OpenAnswer, answer::Refusal> {
        if is_bounded(&open.response) {
            return Ok(open);
        }
        let outcome = exchange::RequestOutcome::Unknown;
        Err(answer::Refusal { kind: answer::RefusalKind::AnswerUnbounded, outcome })
    }

    fn refuse(&self) -> answer::Refusal {
        let outcome = self.exchange.outcome();
        let late = self.now() >= self.context.deadline;
        let kind = match (outcome, late) {
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

impl ServerAttempt<'_> {
    async fn run(self, guard: backend_answer::ServerGuard) -> AttemptEnd {
        let result = self.exchange(guard).await;
        AttemptEnd { key: self.key, address: self.address, result }
    }

    async fn exchange(&self, guard: backend_answer::ServerGuard) -> AttemptResult {
        let connection = tokio::select! {
            biased;
            () = self.cancel.cancelled() => None,
            connection = self.connect() => Some(connection),
        };
        let mut connection = match connection {
            None => return AttemptResult::Abandoned(exchange::AttemptState::NotSent),
            Some(None) => return AttemptResult::Unreachable,
            Some(Some(connection)) => connection,
        };
        let now = self.context.shared.now();
        let send_before = self.context.deadline.min(self.context.send_before);
        let request = self.context.request.build(send_before.since(now));
        let marks = request::AnswerMarks::of(request.headers());
        let gate = sync::Arc::clone(connection.gate());
        let sent = tokio::select! {
            biased;
            sent = connection.send(request, send_before) => sent,
            () = self.cancel.cancelled() => return AttemptResult::Abandoned(gate.close()),
        };
        let response = match sent {
            Err(state) => return AttemptResult::Failed(state),
            Ok(response) if marks.contradict(response.headers()) => return AttemptResult::Crossed,
            Ok(response) => response,
        };
        match gate.reached().after(head_event(&response)) {
            exchange::AttemptState::Answered => {
                let exchange = backend_answer::OpenExchange { connection, guard };
                AttemptResult::Answered(Box::new(OpenAnswer { response, exchange }))
            }
            exchange::AttemptState::Shed => AttemptResult::Shed,
            state => AttemptResult::Failed(state),
        }
    }

    async fn connect(&self) -> Option<connection::Connection> {
        let shared = self.context.shared;
        let idempotent = self.context.route.is_idempotent(self.context.request.method().as_str());
        let kept = shared.connections.take(self.address, idempotent, shared.now());
        match kept {
            Some(connection) => Some(connection),
            None => connection::Connection::open(self.address, shared.clock()).await,
        }
    }
}

/// Header with which a backend server says that it did not run a request.
const SHED_HEADER: &str = "marjoramwing-shed";

fn head_event<B>(response: &http::Response<B>) -> exchange::AttemptEvent {
    let unavailable = response.status() == http::StatusCode::SERVICE_UNAVAILABLE;
    if unavailable && response.headers().contains_key(SHED_HEADER) {
        exchange::AttemptEvent::ShedHead
    } else {
        exchange::AttemptEvent::Head
    }
}

fn is_bounded<B: http_body::Body>(response: &http::Response<B>) -> bool {
    response.body().is_end_stream()
        || response.body().size_hint().exact().is_some()
        || response.headers().contains_key(http::header::TRANSFER_ENCODING)
}
