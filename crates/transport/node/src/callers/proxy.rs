//! Authentication, admission and forwarding of a request to a backend server.

use std::net;
use std::sync;
use std::time as duration;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_dispatch::claim;
use marjoramwing_dispatch::session;
use marjoramwing_entity::time;
use marjoramwing_exchange::names;
use marjoramwing_ledger::action;
use marjoramwing_ledger::limit;
use marjoramwing_tables::credential as tables_credential;
use marjoramwing_tables::name;
use marjoramwing_tables::route;
use marjoramwing_tables::snapshot;
use marjoramwing_tables::team;

use crate::backends::replay;
use crate::backends::response as backend_response;
use crate::backends::service;
use crate::callers::attempts;
use crate::callers::claims;
use crate::callers::credential;
use crate::callers::exposure;
use crate::callers::headers;
use crate::callers::refusal;
use crate::callers::request;
use crate::callers::target;
use crate::callers::trace;
use crate::shared;

/// Handles one request of a caller and records its metrics and log line.
pub async fn handle_request(
    extract::State(shared): extract::State<sync::Arc<shared::InstanceState>>,
    extract::ConnectInfo(peer): extract::ConnectInfo<net::SocketAddr>,
    request: http::Request<axum::body::Body>,
) -> axum::response::Response {
    let _open = OpenRequest::begin(&shared);
    let home_region = shared.steering.record_arrival(peer.ip());
    let arrived = shared.now();
    let applied = shared.tables.load_full();
    let tables = sync::Arc::clone(&applied.snapshot);
    let trace = trace::RequestTrace::begin(&shared, request.headers(), arrived);
    let route = find_route(&tables, &request, shared.names);
    let result = match &route {
        Ok(key) => {
            let route = &tables.routes[*key];
            let timeout = caller_timeout(request.headers(), shared.names);
            let deadline =
                arrived + timeout.map_or(route.deadline, |timeout| timeout.min(route.deadline));
            let routed = RoutedRequest {
                shared: &shared,
                tables: &tables,
                has_keys: applied.versions.keys > 0,
                route,
                arrived,
                deadline,
                home_region: &home_region,
                trace: &trace,
            };
            routed.run(request).await
        }
        Err(refusal) => Err(refusal.clone()),
    };
    let route_name = route.as_ref().map_or("", |key| tables.routes[*key].name.as_str());
    let outcome = result.as_ref().map_or_else(refusal::Refusal::label, |_| "answered");
    shared.metrics.requests.with_label_values(&[route_name, outcome]).inc();
    let response = result.unwrap_or_else(IntoResponse::into_response);
    shared.metrics.request_seconds.observe(shared.now().since(arrived).as_secs_f64());
    trace.log(route_name, outcome, response.status().as_u16());
    response
}

/// Counts a request in the gauge of open requests until it is dropped.
struct OpenRequest<'a>(&'a shared::InstanceState);

impl<'a> OpenRequest<'a> {
    fn begin(shared: &'a shared::InstanceState) -> Self {
        shared.metrics.open_requests.inc();
        Self(shared)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

/// Returns the route of a request.
///
/// A backend server takes the canonical path and the path as it was sent for the same one, so a request
/// whose two forms belong to different routes is refused where the form that was sent counts.
fn find_route(
    tables: &snapshot::TableSnapshot,
    request: &http::Request<axum::body::Body>,
    names: &names::HeaderNames,
) -> Result<route::RouteKey, refusal::Refusal> {
    if tables.routes.is_empty() {
        return Err(refusal::Refusal::not_run(refusal::RefusalKind::NotReady));
    }
    let host = request_host(request)?;
    let find = |path| {
        let method = request.method().as_str();
        tables.find_route(&route::RouteQuery { host: &host, path, method })
    };
    let found = find(request.uri().path());
    let sent = request.extensions().get::<target::SentPath>();
    if names.routes_by_sent_path && sent.is_some_and(|sent| find(&sent.0) != found) {
        let fault = target::TargetFault::HiddenRoute;
        return Err(refusal::Refusal::not_run(refusal::RefusalKind::BadTarget(fault)));
    }
    found.ok_or(refusal::Refusal::not_run(refusal::RefusalKind::NoRoute))
}

/// Returns the regions that both the route and the team allow; `None` allows all.
fn allowed_regions(
    route: &route::Route,
    team: Option<&team::Team>,
) -> Option<sync::Arc<[sync::Arc<str>]>> {
    let of_team = team.map_or(&[][..], |team| &team.regions);
    match (route.regions.is_empty(), of_team.is_empty()) {
        (true, true) => None,
        (false, true) => Some(route.regions.as_slice().into()),
        (true, false) => Some(of_team.into()),
        (false, false) => {
            let common = route.regions.iter().filter(|region| of_team.contains(region));
            Some(common.map(sync::Arc::clone).collect())
        }
    }
}

/// Returns the timeout from the caller's deadline header, if the dialect has one.
fn caller_timeout(
    headers: &http::HeaderMap,
    names: &names::HeaderNames,
) -> Option<duration::Duration> {
    let value = headers.get(&names.deadline).filter(|_| names.caller_sets_deadline)?;
    value.to_str().ok()?.trim().parse().ok().map(duration::Duration::from_millis)
}

fn request_host(request: &http::Request<axum::body::Body>) -> Result<String, refusal::Refusal> {
    let host_header = request.headers().get(http::header::HOST);
    let host_header =
        host_header.and_then(|value| value.to_str().ok()?.parse::<http::uri::Authority>().ok());
    let in_uri = request.uri().authority();
    let host = match (in_uri, &host_header) {
        (Some(in_uri), Some(host_header)) if in_uri.host() != host_header.host() => {
            let kind = refusal::RefusalKind::BadRequest(
                "the URL and the Host header name different hosts; send one",
            );
            return Err(refusal::Refusal::not_run(kind));
        }
        (Some(in_uri), _) => in_uri.host(),
        (None, Some(host_header)) => host_header.host(),
        (None, None) => "",
    };
    Ok(host.to_ascii_lowercase())
}

/// A request that matched a route, with the context for handling it.
struct RoutedRequest<'a> {
    shared: &'a sync::Arc<shared::InstanceState>,
    tables: &'a snapshot::TableSnapshot,
    /// Whether the table of keys has been loaded.
    has_keys: bool,
    route: &'a route::Route,
    arrived: time::Timestamp,
    deadline: time::Timestamp,
    /// Home region of the client, if its address maps to one.
    home_region: &'a Option<name::RegionName>,
    trace: &'a trace::RequestTrace,
}

/// The team and key with which a request was authenticated.
struct RequestIdentity {
    team: team::TeamKey,
    key: credential::AuthorizedKey,
}

impl RoutedRequest<'_> {
    async fn run(
        &self,
        request: http::Request<axum::body::Body>,
    ) -> Result<axum::response::Response, refusal::Refusal> {
        let identity = self.authenticate(request.headers())?;
        exposure::check_exposure(self.tables, &request)?;
        let team = identity.as_ref().map(|identity| identity.team);
        self.trace.record_team(team.map_or("", |team| self.tables.teams[team].name.as_str()));
        self.check_body(request.headers())?;
        let admitted = self.admit(team);
        let send_before = self.wait_unsent(admitted, refusal::RefusalKind::DeadlineUnsent).await?;
        self.trace.record_admitted(self.shared.now());
        let services = self.find_services()?;
        self.trace.record_wait(trace::RequestWait::Body);
        let request = self.prepare(request, team, &services[0].body_memory).await?;
        let regions = allowed_regions(self.route, team.map(|team| &self.tables.teams[team]));
        let context = attempts::AttemptContext {
            shared: self.shared,
            services: &services,
            regions: regions.as_ref(),
            session: self.session(request.headers()),
            team: team.map_or("", |team| self.tables.teams[team].name.as_str()),
            route: self.route,
            request: &request,
            arrived: self.arrived,
            deadline: self.deadline,
            send_before,
            trace: self.trace,
        };
        self.trace.record_wait(trace::RequestWait::Claim);
        let claim = self.claim(&request, context.team).await?;
        self.trace.record_wait(trace::RequestWait::Slot);
        let result = attempts::run_attempts(context).await;
        let not_run = |refusal: &refusal::Refusal| refusal.is_not_run();
        if let Some(claim) = claim
            && result.as_ref().is_err_and(not_run)
        {
            claim.release();
        }
        let open = result?;
        let key = identity.map(|identity| identity.key);
        Ok(forward_response(open, key, self.deadline, sync::Arc::clone(self.shared)))
    }

    /// Returns the session of a request on a route with session affinity.
    fn session(&self, headers: &http::HeaderMap) -> Option<session::SessionKey> {
        let name = self.shared.names.session_cookie.filter(|_| self.route.sticky)?;
        let cookies = headers.get_all(http::header::COOKIE).into_iter();
        let texts = cookies.filter_map(|value| value.to_str().ok());
        let mut pairs =
            texts.flat_map(|text| text.split(';')).filter_map(|text| text.trim().split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| session::SessionKey::of(value))
    }

    /// Claims the idempotency key of a request that is not idempotent by itself.
    async fn claim(
        &self,
        request: &request::PreparedRequest,
        team: &str,
    ) -> Result<Option<claims::HeldClaim>, refusal::Refusal> {
        if self.route.is_idempotent(request.method().as_str()) {
            return Ok(None);
        }
        let Some(key) = claims::find_key(request.headers())? else { return Ok(None) };
        let id = claim::ClaimId::new(team, self.route.name.as_str(), key);
        let claim = self.shared.dispatch.claims.claim(id);
        self.wait_unsent(claim, refusal::RefusalKind::ClaimsUnavailable).await.map(Some)
    }

    /// Returns the services of the route's pools, in order of preference; never an empty
    /// list.
    fn find_services(&self) -> Result<Vec<sync::Arc<service::ServiceControl>>, refusal::Refusal> {
        let pools = self.route.pools.choose(rand::random());
        let pools = pools.iter().map(|key| &self.tables.pools[*key].name);
        let services = pools.filter_map(|pool| self.shared.dispatch.service(pool));
        let services: Vec<_> = services.collect();
        if services.is_empty() {
            return Err(refusal::Refusal::not_run(refusal::RefusalKind::NoServer));
        }
        Ok(services)
    }

    fn authenticate(
        &self,
        headers: &http::HeaderMap,
    ) -> Result<Option<RequestIdentity>, refusal::Refusal> {
        if self.route.access == route::RouteAccess::Open {
            return Ok(None);
        }
        if !self.shared.keys_trusted() {
            return Err(refusal::Refusal::not_run(refusal::RefusalKind::KeysUnconfirmed));
        }
        if !self.has_keys {
            return Err(refusal::Refusal::not_run(refusal::RefusalKind::NotReady));
        }
        let missing = refusal::Refusal::not_run(refusal::RefusalKind::KeyMissing);
        let text = credential::find_key(headers)?.ok_or(missing)?;
        let refused = refusal::Refusal::not_run(refusal::RefusalKind::KeyRefused);
        let format = self.tables.key_format;
        let key = tables_credential::PresentedKey::parse(text, format).ok_or(refused.clone())?;
        let team = self.tables.authenticate(&key).ok_or(refused)?;
        Ok(Some(RequestIdentity { team, key: credential::AuthorizedKey::new(&key) }))
    }

    fn check_body(&self, headers: &http::HeaderMap) -> Result<(), refusal::Refusal> {
        let length = headers.get(http::header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if length.is_some_and(|length| length > self.route.max_body_bytes) {
            let kind = refusal::RefusalKind::BodyTooLarge(self.route.max_body_bytes);
            return Err(refusal::Refusal::not_run(kind));
        }
        Ok(())
    }

    /// Admits the request under its rate limits.
    ///
    /// Returns the time before which its first byte must be sent.
    async fn admit(
        &self,
        team: Option<team::TeamKey>,
    ) -> Result<time::Timestamp, refusal::Refusal> {
        let admission = &self.shared.admission;
        let mut send_before = self.admit_cross_region().await?;
        if self.route.limit.is_some() {
            let id = limit::LimitId::of_route(&self.route.name);
            let outcome = admission.admit(id, self.shared.now()).await;
            send_before = send_before.min(refuse_over_limit("route's", outcome)?);
        }
        if let Some(team) = team {
            let id = limit::LimitId::of_team(&self.tables.teams[team].name);
            let outcome = admission.admit(id, self.shared.now()).await;
            send_before = send_before.min(refuse_over_limit("team's", outcome)?);
        }
        Ok(send_before)
    }

    /// Admits a request from another region under the caps on shifted traffic.
    ///
    /// Callers cache lookup responses, so the caps can only be enforced exactly here.
    async fn admit_cross_region(&self) -> Result<time::Timestamp, refusal::Refusal> {
        let own = &self.shared.settings.identity.region;
        let Some(home_region) = self.home_region.as_ref().filter(|home_region| *home_region != own)
        else {
            return Ok(time::Timestamp::NEVER);
        };
        let mut send_before = time::Timestamp::NEVER;
        for id in [limit::LimitId::of_shift(home_region, own), limit::LimitId::of_headroom(own)] {
            match self.shared.admission.admit(id, self.shared.now()).await {
                action::TicketOutcome::Admitted { valid_until } => {
                    send_before = send_before.min(valid_until);
                }
                action::TicketOutcome::Refused { .. } => {
                    return Err(refusal::Refusal::not_run(refusal::RefusalKind::ShiftCapped));
                }
            }
        }
        Ok(send_before)
    }

    async fn prepare(
        &self,
        request: http::Request<axum::body::Body>,
        team: Option<team::TeamKey>,
        memory: &replay::BodyMemory,
    ) -> Result<request::PreparedRequest, refusal::Refusal> {
        let team = team.map(|team| self.tables.teams[team].name.as_str());
        let prepared =
            request::PreparedRequest::prepare(request, self.route, team, self.shared.names, memory);
        self.wait_unsent(prepared, refusal::RefusalKind::DeadlineUnsent).await
    }

    /// Waits for a step that precedes the first attempt, at most until the deadline, after which
    /// the request is refused with `timeout_kind`, or the end of a planned stop.
    async fn wait_unsent<T>(
        &self,
        step: impl Future<Output = Result<T, refusal::Refusal>>,
        timeout_kind: refusal::RefusalKind,
    ) -> Result<T, refusal::Refusal> {
        let time_left = self.deadline.since(self.shared.now());
        tokio::select! {
            biased;
            ended = tokio::time::timeout(time_left, step) => {
                ended.unwrap_or(Err(refusal::Refusal::not_run(timeout_kind)))
            }
            () = self.shared.finish_ended() => {
                Err(refusal::Refusal::not_run(refusal::RefusalKind::Stopping))
            }
        }
    }
}

fn refuse_over_limit(
    limit: &'static str,
    outcome: action::TicketOutcome,
) -> Result<time::Timestamp, refusal::Refusal> {
    match outcome {
        action::TicketOutcome::Admitted { valid_until } => Ok(valid_until),
        action::TicketOutcome::Refused { retry_after } => {
            let retry_after = retry_after.max(duration::Duration::from_millis(1));
            let kind = refusal::RefusalKind::OverLimit { limit, retry_after };
            Err(refusal::Refusal::not_run(kind))
        }
    }
}

fn forward_response(
    open: attempts::OpenResponse,
    key: Option<credential::AuthorizedKey>,
    deadline: time::Timestamp,
    shared: sync::Arc<shared::InstanceState>,
) -> axum::response::Response {
    let (mut parts, body) = open.response.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    headers::remove_internal(&mut parts.headers);
    let body = backend_response::ResponseBody::new(body, open.resources, key, deadline, shared);
    http::Response::from_parts(parts, axum::body::Body::new(body))
}
