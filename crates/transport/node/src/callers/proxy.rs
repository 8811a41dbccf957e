//! The path of a request to a backend server.

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

use crate::backends::answer as backend_answer;
use crate::backends::replay;
use crate::backends::service;
use crate::callers::answer;
use crate::callers::attempts;
use crate::callers::claims;
use crate::callers::credential;
use crate::callers::exposure;
use crate::callers::headers;
use crate::callers::request;
use crate::callers::trace;
use crate::shared;

/// Answers one request of a caller.
pub async fn answer_request(
    extract::State(shared): extract::State<sync::Arc<shared::SharedTables>>,
    extract::ConnectInfo(peer): extract::ConnectInfo<net::SocketAddr>,
    request: http::Request<axum::body::Body>,
) -> axum::response::Response {
    let _open = OpenRequest::begin(&shared);
    let home = shared.steering.note_arrival(peer.ip());
    let arrived = shared.now();
    let applied = shared.tables.load_full();
    let tables = sync::Arc::clone(&applied.snapshot);
    let trace = trace::RequestTrace::begin(&shared, request.headers(), arrived);
    let route = find_route(&tables, &request);
    let result = match &route {
        Ok(key) => {
            let route = &tables.routes[*key];
            let told = caller_deadline(request.headers(), shared.names);
            let deadline = arrived + told.map_or(route.deadline, |told| told.min(route.deadline));
            let path = RequestPath {
                shared: &shared,
                tables: &tables,
                knows_keys: applied.versions.keys > 0,
                route,
                arrived,
                deadline,
                home: &home,
                trace: &trace,
            };
            path.run(request).await
        }
        Err(refusal) => Err(refusal.clone()),
    };
    let route_name = route.as_ref().map_or("", |key| tables.routes[*key].name.as_str());
    let outcome = result.as_ref().map_or_else(answer::Refusal::label, |_| "answered");
    shared.metrics.requests.with_label_values(&[route_name, outcome]).inc();
    let answer = result.unwrap_or_else(IntoResponse::into_response);
    shared.metrics.request_seconds.observe(shared.now().since(arrived).as_secs_f64());
    trace.log(&shared, route_name, outcome, answer.status().as_u16());
    answer
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

/// Returns the regions in which both the route and the team may be served.
fn home_regions(
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

/// Returns the time that a caller says it waits, where callers say so.
fn caller_deadline(
    headers: &http::HeaderMap,
    names: &names::HeaderNames,
) -> Option<duration::Duration> {
    let told = headers.get(&names.deadline).filter(|_| names.caller_sets_deadline)?;
    told.to_str().ok()?.trim().parse().ok().map(duration::Duration::from_millis)
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
    /// Whether any version of the keys is known.
    knows_keys: bool,
    route: &'a route::Route,
    arrived: time::Timestamp,
    deadline: time::Timestamp,
    /// Home region of the client, if its address has one.
    home: &'a Option<name::RegionName>,
    trace: &'a trace::RequestTrace,
}

/// Who sent a request, as its key tells.
struct RequestSender {
    team: team::TeamKey,
    watch: credential::KeyWatch,
}

impl RequestPath<'_> {
    async fn run(
        &self,
        request: http::Request<axum::body::Body>,
    ) -> Result<axum::response::Response, answer::Refusal> {
        let sender = self.authenticate(request.headers())?;
        exposure::check_exposure(self.tables, &request)?;
        let team = sender.as_ref().map(|sender| sender.team);
        self.trace.note_team(team.map_or("", |team| self.tables.teams[team].name.as_str()));
        self.check_body(request.headers())?;
        let send_before = self.admit(team).await?;
        self.trace.note_admitted(self.shared.now());
        let services = self.find_services()?;
        let request = self.prepare(request, team, &services[0].body_memory).await?;
        let regions = home_regions(self.route, team.map(|team| &self.tables.teams[team]));
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
        let claim = self.claim(&request, context.team).await?;
        let result = attempts::run_attempts(context).await;
        let not_run = |refusal: &answer::Refusal| refusal.is_not_run();
        if let Some(claim) = claim
            && result.as_ref().is_err_and(not_run)
        {
            claim.release();
        }
        let open = result?;
        let watch = sender.map(|sender| sender.watch);
        Ok(pass_on(open, watch, sync::Arc::clone(self.shared)))
    }

    /// Finds the session of a request on a route that keeps sessions together.
    fn session(&self, headers: &http::HeaderMap) -> Option<session::SessionKey> {
        let name = self.shared.names.session_cookie.filter(|_| self.route.sticky)?;
        let cookies = headers.get_all(http::header::COOKIE).into_iter();
        let texts = cookies.filter_map(|value| value.to_str().ok());
        let mut pairs =
            texts.flat_map(|text| text.split(';')).filter_map(|text| text.trim().split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| session::SessionKey::of(value))
    }

    /// Claims the idempotency key of a request that must not run twice.
    async fn claim(
        &self,
        request: &request::PreparedRequest,
        team: &str,
    ) -> Result<Option<claims::HeldClaim>, answer::Refusal> {
        if self.route.is_idempotent(request.method().as_str()) {
            return Ok(None);
        }
        let Some(key) = claims::find_key(request.headers())? else { return Ok(None) };
        let id = claim::ClaimId::new(team, self.route.name.as_str(), key);
        let left = self.deadline.since(self.shared.now());
        let down = answer::Refusal::not_run(answer::RefusalKind::ClaimsDown);
        let claim = tokio::time::timeout(left, self.shared.dispatch.claims.claim(id)).await;
        claim.unwrap_or(Err(down)).map(Some)
    }

    /// Finds the services of the route's pools, in order of preference.
    fn find_services(&self) -> Result<Vec<sync::Arc<service::ServiceControl>>, answer::Refusal> {
        let pools = self.route.pools.choose(rand::random());
        let pools = pools.iter().map(|key| &self.tables.pools[*key].name);
        let services = pools.filter_map(|pool| self.shared.dispatch.service(pool));
        let services: Vec<_> = services.collect();
        if services.is_empty() {
            return Err(answer::Refusal::not_run(answer::RefusalKind::NoServer));
        }
        Ok(services)
    }

    fn authenticate(
        &self,
        headers: &http::HeaderMap,
    ) -> Result<Option<RequestSender>, answer::Refusal> {
        if self.route.access == route::RouteAccess::Open {
            return Ok(None);
        }
        if !self.shared.keys_trusted() {
            return Err(answer::Refusal::not_run(answer::RefusalKind::KeysUnconfirmed));
        }
        if !self.knows_keys {
            return Err(answer::Refusal::not_run(answer::RefusalKind::NotReady));
        }
        let missing = answer::Refusal::not_run(answer::RefusalKind::KeyMissing);
        let text = credential::find_key(headers)?.ok_or(missing)?;
        let refused = answer::Refusal::not_run(answer::RefusalKind::KeyRefused);
        let form = self.tables.key_form;
        let key = tables_credential::PresentedKey::read(text, form).ok_or(refused.clone())?;
        let team = self.tables.authenticate(&key).ok_or(refused)?;
        Ok(Some(RequestSender { team, watch: credential::KeyWatch::new(&key) }))
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

    /// Returns the time before which the request's first byte must be sent.
    async fn admit(&self, team: Option<team::TeamKey>) -> Result<time::Timestamp, answer::Refusal> {
        let admission = &self.shared.admission;
        let mut send_before = self.admit_foreign().await?;
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

    /// Admits a client of another region under the caps of the shift.
    ///
    /// Callers keep to old answers of look-ups, so only here the caps are exact.
    async fn admit_foreign(&self) -> Result<time::Timestamp, answer::Refusal> {
        let own = &self.shared.settings.identity.region;
        let Some(home) = self.home.as_ref().filter(|home| *home != own) else {
            return Ok(time::Timestamp::NEVER);
        };
        let mut send_before = time::Timestamp::NEVER;
        for id in [limit::LimitId::of_shift(home, own), limit::LimitId::of_headroom(own)] {
            match self.shared.admission.admit(id, self.shared.now()).await {
                action::TicketOutcome::Admitted { valid_until } => {
                    send_before = send_before.min(valid_until);
                }
                action::TicketOutcome::Refused { .. } => {
                    return Err(answer::Refusal::not_run(answer::RefusalKind::ShiftCapped));
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
    ) -> Result<request::PreparedRequest, answer::Refusal> {
        let team = team.map(|team| self.tables.teams[team].name.as_str());
        let prepared =
            request::PreparedRequest::prepare(request, self.route, team, self.shared.names, memory);
        let left = self.deadline.since(self.shared.now());
        let late = answer::Refusal::not_run(answer::RefusalKind::DeadlineUnsent);
        tokio::time::timeout(left, prepared).await.unwrap_or(Err(late))
    }
}

fn refuse_over_limit(
    limit: &'static str,
    outcome: action::TicketOutcome,
) -> Result<time::Timestamp, answer::Refusal> {
    match outcome {
        action::TicketOutcome::Admitted { valid_until } => Ok(valid_until),
        action::TicketOutcome::Refused { retry_after } => {
            let retry_after = retry_after.max(duration::Duration::from_millis(1));
            let kind = answer::RefusalKind::OverLimit { limit, retry_after };
            Err(answer::Refusal::not_run(kind))
        }
    }
}

fn pass_on(
    open: attempts::OpenAnswer,
    watch: Option<credential::KeyWatch>,
    shared: sync::Arc<shared::SharedTables>,
) -> axum::response::Response {
    let (mut parts, body) = open.response.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    headers::remove_internal(&mut parts.headers);
    let body = backend_answer::AnswerBody::new(body, open.exchange, watch, shared);
    http::Response::from_parts(parts, axum::body::Body::new(body))
}
