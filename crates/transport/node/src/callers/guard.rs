//! Checks of a request before it is routed, and of its answer's connection.
//!
//! Invariant: a request that is refused here did not run.

use std::convert;
use std::net;
use std::sync;

use axum::response::IntoResponse;
use marjoramwing_dispatch::exchange;
use tower::ServiceExt;

use crate::callers::answer;
use crate::callers::body;
use crate::callers::target;
use crate::shared;

/// Answers the requests of one connection.
#[derive(Debug, Clone)]
pub struct CallerGuard {
    /// Tables of the instance.
    pub shared: sync::Arc<shared::SharedTables>,
    /// Service behind the checks.
    pub router: axum::Router,
    /// Address of the caller.
    pub peer: net::SocketAddr,
}

impl CallerGuard {
    /// Checks and answers one request of the HTTP library.
    ///
    /// # Errors
    ///
    /// Never fails; every refusal is an answer.
    pub async fn answer_incoming(
        self,
        request: http::Request<hyper::body::Incoming>,
    ) -> Result<axum::response::Response, convert::Infallible> {
        let version = request.version();
        let shared = sync::Arc::clone(&self.shared);
        let mut response = self.answer(request.map(axum::body::Body::new)).await;
        if shared.is_leaving() && version < http::Version::HTTP_2 {
            tell_close(&mut response);
        }
        Ok(response)
    }

    /// Checks and answers one request.
    pub async fn answer(
        self,
        request: http::Request<axum::body::Body>,
    ) -> axum::response::Response {
        let version = request.version();
        let checked = check_request(&request);
        // After a refusal here the next request's start on the connection is in doubt.
        let is_last = checked.is_err();
        let mut response = match checked {
            Ok(uri) => self.pass_on(request, uri).await,
            Err(refusal) => self.refuse(&refusal),
        };
        if self.shared.names.fractional_retry {
            tell_fractions(&mut response);
        }
        if is_last && version < http::Version::HTTP_2 {
            tell_close(&mut response);
        }
        response
    }

    fn refuse(&self, refusal: &answer::Refusal) -> axum::response::Response {
        self.shared.metrics.requests.with_label_values(&["", refusal.label()]).inc();
        refusal.clone().into_response()
    }

    async fn pass_on(
        &self,
        request: http::Request<axum::body::Body>,
        uri: http::Uri,
    ) -> axum::response::Response {
        let watch = body::BodyWatch::default();
        let pause = self.shared.settings.callers.body_pause;
        let mut request = request
            .map(|inner| axum::body::Body::new(body::PacedBody::new(inner, pause, watch.clone())));
        *request.uri_mut() = uri;
        request.extensions_mut().insert(axum::extract::ConnectInfo(self.peer));
        let Ok(response) = self.router.clone().oneshot(request).await;
        match watch.fault() {
            Some(fault) if answer::is_refusal(&response) => blame_caller(fault, &response),
            _ => response,
        }
    }
}

fn tell_close(response: &mut axum::response::Response) {
    let close = http::HeaderValue::from_static("close");
    response.headers_mut().insert(http::header::CONNECTION, close);
}

/// Checks a request and returns its target in the form that is routed.
fn check_request<B>(request: &http::Request<B>) -> Result<http::Uri, answer::Refusal> {
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

fn check_method<B>(request: &http::Request<B>) -> Result<(), answer::Refusal> {
    let remedy = match *request.method() {
        http::Method::CONNECT => "CONNECT is not served; send the request itself",
        http::Method::TRACE => "TRACE is not served; send GET",
        _ if request.headers().contains_key(http::header::UPGRADE) => {
            "upgrades are not served; send no Upgrade header (HTTP/2 works by prior knowledge)"
        }
        _ => return Ok(()),
    };
    Err(answer::Refusal::not_run(answer::RefusalKind::Unsupported(remedy)))
}

/// Refuses transfer codings that the next hop would not be told of.
fn check_encoding(headers: &http::HeaderMap) -> Result<(), answer::Refusal> {
    let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).into_iter();
    let is_plain = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    if is_plain {
        return Ok(());
    }
    let remedy = "only the transfer coding `chunked` is served; send the body with it alone";
    Err(answer::Refusal::not_run(answer::RefusalKind::Unsupported(remedy)))
}

/// Tells the time to retry after without rounding it up to whole seconds.
fn tell_fractions(response: &mut axum::response::Response) {
    let Some(answer::RetryDelay(delay)) = response.extensions().get().copied() else { return };
    let text = format!("{:.3}", delay.as_secs_f64());
    let value = http::HeaderValue::from_str(&text).expect("a number is a valid header");
    response.headers_mut().insert(http::header::RETRY_AFTER, value);
}

fn refuse_target(fault: target::TargetFault) -> answer::Refusal {
    answer::Refusal::not_run(answer::RefusalKind::BadTarget(fault))
}

/// Tells the caller that its own body is at fault, with the outcome that is known.
fn blame_caller(
    fault: body::BodyFault,
    response: &axum::response::Response,
) -> axum::response::Response {
    let outcome = match answer::tells_not_run(response) {
        true => exchange::RequestOutcome::NotRun,
        false => exchange::RequestOutcome::Unknown,
    };
    let kind = match fault {
        body::BodyFault::Paused => answer::RefusalKind::BodyPaused,
        body::BodyFault::Broken => answer::RefusalKind::BodyBroken,
    };
    answer::Refusal { kind, outcome }.into_response()
}
