//! Validation of a request before it is routed, and the connection headers of its response.
//!
//! Invariants: a request that fails validation did not run; each request gets a response, also if
//! its handling panics.

use std::convert;
use std::net;
use std::panic;
use std::sync;

use axum::response::IntoResponse;
use futures_util::FutureExt;
use marjoramwing_dispatch::exchange;
use tower::ServiceExt;

use crate::callers::body;
use crate::callers::refusal;
use crate::callers::target;
use crate::shared;

/// Validates the requests of one connection and passes them to the router.
#[derive(Debug, Clone)]
pub struct RequestHandler {
    /// Shared state of the instance.
    pub shared: sync::Arc<shared::InstanceState>,
    /// Service that handles valid requests.
    pub router: axum::Router,
    /// Address of the caller.
    pub peer: net::SocketAddr,
}

impl RequestHandler {
    /// Handles a request read by hyper.
    ///
    /// # Errors
    ///
    /// Never fails; a refusal is returned as a response.
    pub async fn handle_incoming(
        self,
        request: http::Request<hyper::body::Incoming>,
    ) -> Result<axum::response::Response, convert::Infallible> {
        let version = request.version();
        let shared = sync::Arc::clone(&self.shared);
        let mut response = self.handle(request.map(axum::body::Body::new)).await;
        if shared.is_leaving() && version < http::Version::HTTP_2 {
            set_connection_close(&mut response);
        }
        Ok(response)
    }

    /// Validates a request and routes it, or refuses it.
    pub async fn handle(
        self,
        request: http::Request<axum::body::Body>,
    ) -> axum::response::Response {
        let version = request.version();
        let checked = check_request(&request);
        // The framing of an invalid request may be ambiguous, so the position of the next
        // request on the connection is not reliable.
        let is_last = checked.is_err();
        let mut response = match checked {
            Ok(uri) => self.route_unwinding(request, uri).await,
            Err(refusal) => self.refuse(&refusal),
        };
        if self.shared.names.fractional_retry_after {
            set_fractional_retry_after(&mut response);
        }
        if is_last && version < http::Version::HTTP_2 {
            set_connection_close(&mut response);
        }
        response
    }

    fn refuse(&self, refusal: &refusal::Refusal) -> axum::response::Response {
        self.shared.metrics.requests.with_label_values(&["", refusal.label()]).inc();
        refusal.clone().into_response()
    }

    /// Routes a request; a panic refuses it and leaves the others on its connection alone.
    async fn route_unwinding(
        &self,
        request: http::Request<axum::body::Body>,
        uri: http::Uri,
    ) -> axum::response::Response {
        let routed = panic::AssertUnwindSafe(self.route(request, uri)).catch_unwind().await;
        routed.unwrap_or_else(|_| {
            let outcome = exchange::RequestOutcome::Unknown;
            self.refuse(&refusal::Refusal { kind: refusal::RefusalKind::HandlerFailed, outcome })
        })
    }

    async fn route(
        &self,
        request: http::Request<axum::body::Body>,
        uri: http::Uri,
    ) -> axum::response::Response {
        let status = body::BodyStatus::default();
        let idle_timeout = self.shared.settings.callers.body_idle_timeout;
        let mut request = request.map(|inner| {
            axum::body::Body::new(body::TimeoutBody::new(inner, idle_timeout, status.clone()))
        });
        let sent = std::mem::replace(request.uri_mut(), uri);
        if sent.path() != request.uri().path() {
            request.extensions_mut().insert(target::SentPath(sent.path().into()));
        }
        request.extensions_mut().insert(axum::extract::ConnectInfo(self.peer));
        let Ok(response) = self.router.clone().oneshot(request).await;
        match status.fault() {
            Some(fault) if refusal::is_refusal(&response) => refuse_body(fault, &response),
            _ => response,
        }
    }
}

fn set_connection_close(response: &mut axum::response::Response) {
    let close = http::HeaderValue::from_static("close");
    response.headers_mut().insert(http::header::CONNECTION, close);
}

/// Validates a request and returns its target in canonical form.
fn check_request<B>(request: &http::Request<B>) -> Result<http::Uri, refusal::Refusal> {
    check_method(request)?;
    check_encoding(request.headers())?;
    target::check_host(request).map_err(refuse_target)?;
    let path = target::canonical_path(request.uri().path()).map_err(refuse_target)?;
    if path == request.uri().path() {
        return Ok(request.uri().clone());
    }
    let path_and_query = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.into_owned(),
    };
    let mut parts = request.uri().clone().into_parts();
    parts.path_and_query = path_and_query.parse().ok();
    http::Uri::from_parts(parts).map_err(|_| refuse_target(target::TargetFault::NoPath))
}

fn check_method<B>(request: &http::Request<B>) -> Result<(), refusal::Refusal> {
    let remedy = match *request.method() {
        http::Method::CONNECT => "CONNECT is not served; send the request itself",
        http::Method::TRACE => "TRACE is not served; send GET",
        _ if request.headers().contains_key(http::header::UPGRADE) => {
            "upgrades are not served; send no Upgrade header (HTTP/2 works by prior knowledge)"
        }
        _ => return Ok(()),
    };
    Err(refusal::Refusal::not_run(refusal::RefusalKind::Unsupported(remedy)))
}

/// Refuses all transfer codings but `chunked`: the header is not forwarded, so the next
/// hop could not decode them.
fn check_encoding(headers: &http::HeaderMap) -> Result<(), refusal::Refusal> {
    let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).into_iter();
    let is_supported = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    if is_supported {
        return Ok(());
    }
    let remedy = "only the transfer coding `chunked` is served; send the body with it alone";
    Err(refusal::Refusal::not_run(refusal::RefusalKind::Unsupported(remedy)))
}

/// Sets `Retry-After` in fractions of a second instead of whole seconds.
fn set_fractional_retry_after(response: &mut axum::response::Response) {
    let Some(refusal::RetryDelay(delay)) = response.extensions().get().copied() else { return };
    let text = format!("{:.3}", delay.as_secs_f64());
    let value = http::HeaderValue::from_str(&text).expect("a number is a valid header value");
    response.headers_mut().insert(http::header::RETRY_AFTER, value);
}

fn refuse_target(fault: target::TargetFault) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::RefusalKind::BadTarget(fault))
}

/// Replaces a refusal that was caused by a faulty request body by one that says so, with
/// the same outcome.
fn refuse_body(
    fault: body::BodyFault,
    response: &axum::response::Response,
) -> axum::response::Response {
    let outcome = match refusal::states_not_run(response) {
        true => exchange::RequestOutcome::NotRun,
        false => exchange::RequestOutcome::Unknown,
    };
    let kind = match fault {
        body::BodyFault::TimedOut => refusal::RefusalKind::BodyTimedOut,
        body::BodyFault::Broken => refusal::RefusalKind::BodyBroken,
    };
    refusal::Refusal { kind, outcome }.into_response()
}
