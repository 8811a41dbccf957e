//! The endpoint that tells callers which instances to use.

use std::net;
use std::sync;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_steering::lookup;
use marjoramwing_tables::credential as tables_credential;
use marjoramwing_tables::snapshot;

use crate::callers::credential;
use crate::callers::refusal;
use crate::shared;
use crate::steering;

/// Path of the lookup endpoint.
pub const LOOKUP_PATH: &str = "/.well-known/marjoramwing/lookup";

/// Query parameters; without `client`, the address of the connection is used.
#[derive(Debug, serde::Deserialize)]
pub struct LookupParameters {
    client: Option<net::IpAddr>,
}

#[derive(serde::Serialize)]
struct LookupAnswer {
    instances: Vec<LookupInstance>,
    ttl_ms: u64,
}

#[derive(serde::Serialize)]
struct LookupInstance {
    address: net::SocketAddr,
    region: sync::Arc<str>,
    failure_domain: sync::Arc<str>,
}

/// Handles a lookup request.
pub async fn handle_lookup(
    extract::State(shared): extract::State<sync::Arc<shared::InstanceState>>,
    extract::ConnectInfo(peer): extract::ConnectInfo<net::SocketAddr>,
    extract::Query(parameters): extract::Query<LookupParameters>,
    headers: http::HeaderMap,
) -> axum::response::Response {
    shared.metrics.lookups.inc();
    let key_text = match credential::find_key(&headers) {
        Ok(key) => key,
        Err(refusal) => return refusal.into_response(),
    };
    let tables = sync::Arc::clone(&shared.tables.load().snapshot);
    if tables.routes.is_empty() {
        return refuse(refusal::RefusalKind::NotReady);
    }
    let team = key_text
        .and_then(|text| tables_credential::PresentedKey::parse(text, tables.key_format))
        .and_then(|key| tables.authenticate(&key));
    let caller = steering::LookupCaller {
        client: parameters.client.unwrap_or(peer.ip()),
        team: team.map(|team| &tables.teams[team]),
    };
    let mut context = lookup::LookupContext::default();
    let own_region = shared.settings.identity.region.as_str();
    let outcome = shared.steering.find_members(&mut context, &tables, own_region, &caller);
    match outcome {
        lookup::LookupOutcome::Found { .. } => list_members(&shared, &tables, &context),
        lookup::LookupOutcome::Capped => refuse(refusal::RefusalKind::ShiftCapped),
        lookup::LookupOutcome::NoMember => refuse(refusal::RefusalKind::NotReady),
    }
}

fn list_members(
    shared: &shared::InstanceState,
    tables: &snapshot::TableSnapshot,
    context: &lookup::LookupContext,
) -> axum::response::Response {
    let Some(table) = shared.steering.table() else {
        return refuse(refusal::RefusalKind::NotReady);
    };
    // The table is updated later than the leaving flag, so a leaving instance
    // removes itself here.
    let own_address = shared.is_leaving().then_some(shared.settings.listen.callers);
    let members = context.members.iter().map(|index| table.member(*index));
    let members = members.filter(|member| Some(member.caller_address) != own_address);
    let instances = members.map(|member| LookupInstance {
        address: member.caller_address,
        region: sync::Arc::clone(&member.region),
        failure_domain: sync::Arc::clone(&member.failure_domain),
    });
    let ttl_ms = u64::try_from(tables.lookup_ttl.as_millis()).unwrap_or(u64::MAX);
    axum::Json(LookupAnswer { instances: instances.collect(), ttl_ms }).into_response()
}

fn refuse(kind: refusal::RefusalKind) -> axum::response::Response {
    refusal::Refusal::not_run(kind).into_response()
}
