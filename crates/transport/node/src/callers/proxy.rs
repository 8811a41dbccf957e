//! The path of a request to a backend server.

use std::net;
use std::sync;
use std::time;

use axum::extract;
use axum::response::IntoResponse;
use http_body::Body as _;
use marjoramwing_dispatch::exchange;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_ledger::action;
use marjoramwing_ledger::limit;
use marjoramwing_tables::credential as tables_credential;
use marjoramwing_tables::pool as tables_pool;
use marjoramwing_tables::route;
use marjoramwing_tables::snapshot;
use marjoramwing_tables::team;

use crate::backends::answer as backend_answer;
use crate::backends::pool;
use crate::callers::answer;
use crate::callers::credential;
use crate::callers::headers;
use crate::shared;

/// Answers one request of a caller.
pub async fn answer_request(
    extract::State(shared): extract::State<sync::Arc<shared::SharedTables>>,
    request: http::Request<axum::body::Body>,
) -> axum::response::Response {
    let _open = OpenRequest::begin(&shared);
    let tables = sync::Arc::clone(&shared.tables.load().snapshot);
    let route = find_route(&tables, &request);
    let result = match &route {
        Ok(key) => {
            RequestPath { shared: &shared, tables: &tables, route: &tables.routes[*key] }
                .run(request)
                .await
        }
        Err(refusal) => Err(refusal.clone()),
    };
    let route_name = route.as_ref().map_or("", |key| tables.routes[*key].name.as_str());
    let outcome = result.as_ref().map_or_else(answer::Refusal::label, |_| "answered");
    shared.metrics.requests.with_label_values(&[route_name, outcome]).inc();
    result.unwrap_or_else(IntoResponse::into_response)
}

/// Counts a request while it is open.
struct OpenRequest<'a>(&'a shared::SharedTables);

impl<'a> OpenRequest<'a> {
    fn begin(shared: &'a shared::SharedTables) -> Self {
        shared.metrics.open_requests.inc();
        Self(shared)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

fn find_route(
    tables: &snapshot::TableSnapshot,
    request: &http::Request<axum::body::Body>,
) -> Result<route::RouteKey, answer::Refusal> {
    if tables.routes.is_empty() {
        return Err(answer::Refusal::not_run(answer::RefusalKind::NotReady));
    }
    let host = request_host(request)?;
    let query = route::RouteQuery {
        host: &host,
        path: request.uri().path(),
        method: request.method().as_str(),
    };
    let found = tables.find_route(&query);
    found.ok_or(answer::Refusal::not_run(answer::RefusalKind::NoRoute))
}

fn request_host(request: &http::Request<axum::body::Body>) -> Result<String, answer::Refusal> {
    let named = request.headers().get(http::header::HOST);
    let named = named.and_then(|value| value.to_str().ok()?.parse::<http::uri::Authority>().ok());
    let in_uri = request.uri().authority();
    let host = match (in_uri, &named) {
        (Some(in_uri), Some(named)) if in_uri.host() != named.host() => {
            let kind = answer::RefusalKind::BadRequest(
                "the URL and the Host header name different hosts; send one",
            );
            return Err(answer::Refusal::not_run(kind));
        }
        (Some(in_uri), _) => in_uri.host(),
        (None, Some(named)) => named.host(),
        (None, None) => "",
    };
    Ok(host.to_ascii_lowercase())
}

/// One request on its way along a route.
struct RequestPath<'a> {
    shared: &'a sync::Arc<shared::SharedTables>,
    tables: &'a snapshot::TableSnapshot,
    route: &'a route::Route,
}

impl RequestPath<'_> {
    async fn run(
        &self,
        request: http::Request<axum::body::Body>,
    ) -> Result<axum::response::Response, answer::Refusal> {
        let team = self.authenticate(request.headers())?;
        self.check_body(request.headers())?;
        self.admit(team).await?;
        let request = self.prepare(request, team);
        let mut exchange =
            exchange::RequestExchange::new(self.route.is_idempotent(request.method().as_str()));
        let attempts = self.attempt(request, &mut exchange);
        match tokio::time::timeout(self.route.deadline, attempts).await {
            Ok(result) => result,
            Err(_) => Err(answer::Refusal {
                kind: answer::RefusalKind::DeadlinePassed,
                outcome: exchange::RequestOutcome::Unknown,
            }),
        }
    }

    fn authenticate(
        &self,
        headers: &http::HeaderMap,
    ) -> Result<Option<team::TeamKey>, answer::Refusal> {
        if self.route.access == route::RouteAccess::Open {
            return Ok(None);
        }
        let missing = answer::Refusal::not_run(answer::RefusalKind::KeyMissing);
        let text = credential::find_key(headers)?.ok_or(missing)?;
        let key = tables_credential::PresentedKey::parse(text);
        let team = key.and_then(|key| self.tables.authenticate(&key));
        team.map(Some).ok_or(answer::Refusal::not_run(answer::RefusalKind::KeyRefused))
    }

    fn check_body(&self, headers: &http::HeaderMap) -> Result<(), answer::Refusal> {
        let length = headers.get(http::header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if length.is_some_and(|length| length > self.route.max_body_bytes) {
            let kind = answer::RefusalKind::BodyTooLarge(self.route.max_body_bytes);
            return Err(answer::Refusal::not_run(kind));
        }
        Ok(())
    }

    async fn admit(&self, team: Option<team::TeamKey>) -> Result<(), answer::Refusal> {
        let admission = &self.shared.admission;
        if self.route.limit.is_some() {
            let id = limit::LimitId::of_route(&self.route.name);
            refuse_over_limit("route's", admission.admit(id, self.shared.now()).await)?;
        }
        if let Some(team) = team {
            let id = limit::LimitId::of_team(&self.tables.teams[team].name);
            refuse_over_limit("team's", admission.admit(id, self.shared.now()).await)?;
        }
        Ok(())
    }

    fn prepare(
        &self,
        request: http::Request<axum::body::Body>,
        team: Option<team::TeamKey>,
    ) -> http::Request<pool::RequestBody> {
        let (mut parts, body) = request.into_parts();
        headers::remove_hop_by_hop(&mut parts.headers);
        headers::remove_internal(&mut parts.headers);
        if let Some(team) = team {
            let name = self.tables.teams[team].name.as_str();
            let value = http::HeaderValue::from_str(name).expect("a checked name is a header");
            parts.headers.insert(headers::TEAM_HEADER, value);
        }
        let deadline_ms = u64::try_from(self.route.deadline.as_millis()).unwrap_or(u64::MAX);
        parts.headers.insert(headers::DEADLINE_HEADER, http::HeaderValue::from(deadline_ms));
        parts.version = http::Version::HTTP_11;
        if let Some(authority) = parts.uri.authority() {
            let host = http::HeaderValue::from_str(authority.as_str());
            parts.headers.insert(http::header::HOST, host.expect("an authority is a header"));
        }
        parts.uri = origin_form(&parts.uri);
        let max_bytes = usize::try_from(self.route.max_body_bytes).unwrap_or(usize::MAX);
        let body = if body.is_end_stream() {
            body
        } else {
            axum::body::Body::new(http_body_util::Limited::new(body, max_bytes))
        };
        http::Request::from_parts(parts, body)
    }

    async fn attempt(
        &self,
        request: http::Request<pool::RequestBody>,
        exchange: &mut exchange::RequestExchange,
    ) -> Result<axum::response::Response, answer::Refusal> {
        let template = request.body().is_end_stream().then(|| RequestTemplate::new(&request));
        let mut next = Some(request);
        let mut tried = Vec::new();
        while let Some(request) = next.take() {
            let Some(address) = self.pick(&tried) else {
                break;
            };
            tried.push(address);
            let guard = backend_answer::ServerGuard::begin(self.shared, address);
            match self.shared.connections.send(address, request).await {
                Ok(open) if is_shed(&open.response) => {
                    self.count_attempt("shed");
                    if exchange.record_failure(exchange::AttemptState::Shed) {
                        next = template.as_ref().map(RequestTemplate::build);
                    }
                }
                Ok(open) => {
                    self.count_attempt("answered");
                    return Ok(pass_on(open, guard));
                }
                Err(failed) => {
                    self.note_failure(address, failed.kind);
                    if exchange.record_failure(failed.state) {
                        let unsent = failed.request.map(|request| *request);
                        next = unsent.or_else(|| template.as_ref().map(RequestTemplate::build));
                    }
                }
            }
        }
        Err(refuse_after(exchange))
    }

    fn pick(&self, tried: &[net::SocketAddr]) -> Option<net::SocketAddr> {
        let seed = self.shared.next_seed();
        let picker = self.shared.picker();
        let pools = self.route.pools.iter().map(|key| &self.tables.pools[*key]);
        let mut choices = pools.map(|pool: &tables_pool::Pool| picker.pick(pool, tried, seed));
        choices.find_map(|choice| choice)
    }

    fn note_failure(&self, address: net::SocketAddr, kind: pool::FailureKind) {
        match kind {
            pool::FailureKind::Connect => {
                self.count_attempt("connect_failed");
                emit!(catalogue::BACKEND_CONNECT_FAILED, server = %address);
            }
            pool::FailureKind::Exchange => {
                self.count_attempt("broken_off");
                emit!(catalogue::BACKEND_EXCHANGE_FAILED, server = %address);
            }
        }
    }

    fn count_attempt(&self, result: &str) {
        self.shared.metrics.attempts.with_label_values(&[result]).inc();
    }
}

/// A request without a body, which can be sent again.
struct RequestTemplate {
    method: http::Method,
    uri: http::Uri,
    headers: http::HeaderMap,
}

impl RequestTemplate {
    fn new(request: &http::Request<pool::RequestBody>) -> Self {
        Self {
            method: request.method().clone(),
            uri: request.uri().clone(),
            headers: request.headers().clone(),
        }
    }

    fn build(&self) -> http::Request<pool::RequestBody> {
        let mut request = http::Request::new(axum::body::Body::empty());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

fn refuse_over_limit(
    limit: &'static str,
    outcome: action::TicketOutcome,
) -> Result<(), answer::Refusal> {
    match outcome {
        action::TicketOutcome::Admitted { .. } => Ok(()),
        action::TicketOutcome::Refused { retry_after } => {
            let retry_after = retry_after.max(time::Duration::from_millis(1));
            let kind = answer::RefusalKind::OverLimit { limit, retry_after };
            Err(answer::Refusal::not_run(kind))
        }
    }
}

fn refuse_after(exchange: &exchange::RequestExchange) -> answer::Refusal {
    let outcome = exchange.outcome();
    let kind = match outcome {
        exchange::RequestOutcome::NotRun => answer::RefusalKind::NoServer,
        exchange::RequestOutcome::Unknown => answer::RefusalKind::BrokenOff,
    };
    answer::Refusal { kind, outcome }
}

/// Header with which a backend server says that it did not run a request.
const SHED_HEADER: &str = "marjoramwing-shed";

fn is_shed<B>(response: &http::Response<B>) -> bool {
    response.status() == http::StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(SHED_HEADER)
}

fn pass_on(open: pool::OpenAnswer, guard: backend_answer::ServerGuard) -> axum::response::Response {
    let (mut parts, body) = open.response.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    headers::remove_internal(&mut parts.headers);
    let body = backend_answer::AnswerBody::new(body, open.connection, guard);
    http::Response::from_parts(parts, axum::body::Body::new(body))
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    path.parse().unwrap_or_else(|_| http::Uri::from_static("/"))
}
