//! Answers that the instance gives itself.
//!
//! Each names the outcome in a header and the remedy in its body.

use std::time;

use axum::response::IntoResponse;
use marjoramwing_derives as derives;
use marjoramwing_dispatch::exchange;

use crate::callers::target;

/// Header that says whether a refused request ran.
pub const OUTCOME_HEADER: http::HeaderName = http::HeaderName::from_static("marjoramwing-outcome");

/// Why a request was refused.
#[derives::record]
#[derive(derive_more::Display)]
pub enum RefusalKind {
    /// The request is not one that can be passed on safely.
    #[display("{_0}")]
    BadRequest(&'static str),
    /// The head is larger than it may be.
    #[display("the request's head is too large; send fewer or shorter headers")]
    HeadTooLarge,
    /// The target is one that servers read in different ways.
    #[display("{_0}")]
    BadTarget(target::TargetFault),
    /// The request asks for what is not served.
    #[display("{_0}")]
    Unsupported(&'static str),
    /// The caller paused its body for too long.
    #[display("the body paused for too long; send its parts without long pauses")]
    BodyPaused,
    /// The caller's body broke off.
    #[display("the body broke off or is not well-formed; send the request again")]
    BodyBroken,
    /// No route serves the request.
    #[display("no route serves this host, path and method; check the URL")]
    NoRoute,
    /// The route needs a key.
    #[display("this route needs a team key; send it as `Authorization: Bearer KEY`")]
    KeyMissing,
    /// The key is not in force.
    #[display("this key is not in force; ask your operators for a new one")]
    KeyRefused,
    /// The instance may be cut off and cannot tell whether the key was withdrawn.
    #[display(
        "this instance cannot tell which keys are in force; use another one from the look-up"
    )]
    KeysUnconfirmed,
    /// A limit is used up.
    #[display("the {limit} limit is used up; send again after the time in Retry-After")]
    OverLimit {
        /// Limit that is used up.
        limit: &'static str,
        /// Time until a token is expected.
        retry_after: time::Duration,
    },
    /// The body is larger than the route allows.
    #[display("the body is larger than the {_0} bytes that this route takes; send less")]
    BodyTooLarge(u64),
    /// The body's length is not known and it is too large to be read first.
    #[display("a body of more than {_0} bytes needs a Content-Length; send one")]
    LengthRequired(usize),
    /// The instance holds as many bodies as it may.
    #[display("this instance holds as many request bodies as it may; send again later")]
    BodiesFull,
    /// Another request has used the idempotency key.
    #[display(
        "a request with this Idempotency-Key was taken before; check whether it took effect, and send another one with a new key"
    )]
    KeyRepeated,
    /// The store that keeps idempotency keys does not answer.
    #[display(
        "idempotency keys cannot be checked now; send again later, or with a new key if this one is refused"
    )]
    ClaimsDown,
    /// The instance is not ready.
    #[display("this instance has no tables yet; use another one from the look-up")]
    NotReady,
    /// Every region that could serve the caller has reached its cap.
    #[display(
        "this region takes no more clients of yours now; ask a look-up again after the time in Retry-After"
    )]
    ShiftCapped,
    /// No backend server took the request.
    #[display("no backend server of this route takes requests now; send again later")]
    NoServer,
    /// Too many requests wait for the service.
    #[display("too many requests wait for this service; send again later")]
    QueueFull,
    /// The backend server broke off.
    #[display(
        "the backend server broke off; check whether the request took effect before you send it again"
    )]
    BrokenOff,
    /// The answer's end cannot be told from a break.
    #[display(
        "the backend server marks no end of its answer; make it send Content-Length or chunks"
    )]
    AnswerUnbounded,
    /// The deadline passed after the request may have run.
    #[display(
        "the route's deadline passed; check whether the request took effect before you send it again"
    )]
    DeadlinePassed,
    /// The deadline passed before any backend server ran the request.
    #[display("no backend server took the request before the route's deadline; send again later")]
    DeadlineUnsent,
}

/// A refusal with what is known of the request's outcome.
#[derives::record]
pub struct Refusal {
    /// Why the request was refused.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub outcome: exchange::RequestOutcome,
}

/// Tells whether an answer is a refusal of this instance.
#[must_use]
pub fn is_refusal<B>(response: &http::Response<B>) -> bool {
    response.headers().contains_key(OUTCOME_HEADER)
}

/// Tells whether an answer says that the request did not run.
#[must_use]
pub fn tells_not_run<B>(response: &http::Response<B>) -> bool {
    let not_run = exchange::RequestOutcome::NotRun.to_string();
    let outcome = response.headers().get(OUTCOME_HEADER);
    outcome.is_some_and(|outcome| outcome.as_bytes() == not_run.as_bytes())
}

/// Time after which a refused request may come again, before it is rounded.
#[derive(Debug, Clone, Copy)]
pub struct RetryDelay(pub time::Duration);

#[derive(serde::Serialize)]
struct RefusalBody {
    error: String,
    outcome: String,
}

impl Refusal {
    /// Makes a refusal of a request that did not run.
    #[must_use]
    pub const fn not_run(kind: RefusalKind) -> Self {
        Self { kind, outcome: exchange::RequestOutcome::NotRun }
    }

    /// Tells whether the request is known not to have run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.outcome == exchange::RequestOutcome::NotRun
    }

    /// Returns the status of the answer.
    #[must_use]
    pub const fn status(&self) -> http::StatusCode {
        match self.kind {
            RefusalKind::BadRequest(_) | RefusalKind::BadTarget(_) | RefusalKind::BodyBroken => {
                http::StatusCode::BAD_REQUEST
            }
            RefusalKind::HeadTooLarge => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RefusalKind::Unsupported(_) => http::StatusCode::NOT_IMPLEMENTED,
            RefusalKind::BodyPaused => http::StatusCode::REQUEST_TIMEOUT,
            RefusalKind::NoRoute => http::StatusCode::NOT_FOUND,
            RefusalKind::KeyMissing | RefusalKind::KeyRefused => http::StatusCode::UNAUTHORIZED,
            RefusalKind::OverLimit { .. } => http::StatusCode::TOO_MANY_REQUESTS,
            RefusalKind::BodyTooLarge(_) => http::StatusCode::PAYLOAD_TOO_LARGE,
            RefusalKind::KeyRepeated => http::StatusCode::CONFLICT,
            RefusalKind::LengthRequired(_) => http::StatusCode::LENGTH_REQUIRED,
            RefusalKind::NotReady
            | RefusalKind::KeysUnconfirmed
            | RefusalKind::ShiftCapped
            | RefusalKind::NoServer
            | RefusalKind::QueueFull
            | RefusalKind::ClaimsDown
            | RefusalKind::BodiesFull
            | RefusalKind::DeadlineUnsent => http::StatusCode::SERVICE_UNAVAILABLE,
            RefusalKind::BrokenOff | RefusalKind::AnswerUnbounded => http::StatusCode::BAD_GATEWAY,
            RefusalKind::DeadlinePassed => http::StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns a short label for metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self.kind {
            RefusalKind::BadRequest(_) => "bad_request",
            RefusalKind::HeadTooLarge => "head_too_large",
            RefusalKind::BadTarget(_) => "bad_target",
            RefusalKind::Unsupported(_) => "unsupported",
            RefusalKind::BodyPaused => "body_paused",
            RefusalKind::BodyBroken => "body_broken",
            RefusalKind::KeyRepeated => "key_repeated",
            RefusalKind::ClaimsDown => "claims_down",
            RefusalKind::NoRoute => "no_route",
            RefusalKind::KeyMissing => "key_missing",
            RefusalKind::KeyRefused => "key_refused",
            RefusalKind::KeysUnconfirmed => "keys_unconfirmed",
            RefusalKind::OverLimit { .. } => "over_limit",
            RefusalKind::BodyTooLarge(_) => "body_too_large",
            RefusalKind::LengthRequired(_) => "length_required",
            RefusalKind::BodiesFull => "bodies_full",
            RefusalKind::NotReady => "not_ready",
            RefusalKind::ShiftCapped => "shift_capped",
            RefusalKind::NoServer => "no_server",
            RefusalKind::QueueFull => "queue_full",
            RefusalKind::BrokenOff => "broken_off",
            RefusalKind::AnswerUnbounded => "answer_unbounded",
            RefusalKind::DeadlinePassed => "deadline_passed",
            RefusalKind::DeadlineUnsent => "deadline_unsent",
        }
    }

    fn retry_after(&self) -> Option<time::Duration> {
        match self.kind {
            RefusalKind::OverLimit { retry_after, .. } => Some(retry_after),
            RefusalKind::NotReady
            | RefusalKind::KeysUnconfirmed
            | RefusalKind::ShiftCapped
            | RefusalKind::NoServer
            | RefusalKind::QueueFull
            | RefusalKind::ClaimsDown
            | RefusalKind::BodiesFull
            | RefusalKind::DeadlineUnsent => Some(time::Duration::from_secs(1)),
            _ => None,
        }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> axum::response::Response {
        let body = RefusalBody { error: self.kind.to_string(), outcome: self.outcome.to_string() };
        let mut response = (self.status(), axum::Json(body)).into_response();
        let headers = response.headers_mut();
        let outcome = http::HeaderValue::from_str(&self.outcome.to_string());
        headers.insert(OUTCOME_HEADER, outcome.expect("an outcome is a valid header"));
        if let Some(delay) = self.retry_after() {
            let seconds = delay.as_secs_f64().ceil();
            headers.insert(http::header::RETRY_AFTER, http::HeaderValue::from(seconds as u64));
            response.extensions_mut().insert(RetryDelay(delay));
        }
        let headers = response.headers_mut();
        if self.kind == RefusalKind::KeyMissing {
            let scheme = http::HeaderValue::from_static("Bearer");
            headers.insert(http::header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}
