//! Which instance a caller is to use.

use std::net;
use std::sync;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_steering::lookup;
use marjoramwing_tables::credential as tables_credential;
use marjoramwing_tables::snapshot;

use crate::callers::answer;
use crate::callers::credential;
use crate::shared;
use crate::steering;

/// Path at which callers ask which instance to use.
pub const LOOKUP_PATH: &str = "/.well-known/marjoramwing/lookup";

/// What a caller may tell of itself; its own address is the default.
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

/// Answers one look-up.
pub async fn answer_lookup(
    extract::State(shared): extract::State<sync::Arc<shared::SharedTables>>,
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
        return refuse(answer::RefusalKind::NotReady);
    }
    let team = key_text
        .and_then(|text| tables_credential::PresentedKey::read(text, tables.key_form))
        .and_then(|key| tables.authenticate(&key));
    let caller = steering::LookupCaller {
        client: parameters.client.unwrap_or(peer.ip()),
        team: team.map(|team| &tables.teams[team]),
    };
    let mut context = lookup::LookupContext::default();
    let own_region = shared.settings.identity.region.as_str();
    let outcome = shared.steering.find_members(&mut context, &tables, own_region, &caller);
    match outcome {
        lookup::LookupOutcome::Found { .. } => name_members(&shared, &tables, &context),
        lookup::LookupOutcome::Capped => refuse(answer::RefusalKind::ShiftCapped),
        lookup::LookupOutcome::NoMember => refuse(answer::RefusalKind::NotReady),
    }
}

fn name_members(
    shared: &shared::SharedTables,
    tables: &snapshot::TableSnapshot,
    context: &lookup::LookupContext,
) -> axum::response::Response {
    let Some(table) = shared.steering.table() else {
        return refuse(answer::RefusalKind::NotReady);
    };
    // The table is a step behind, so a leaving instance leaves itself out here.
    let own = shared.is_leaving().then_some(shared.settings.listen.callers);
    let members = context.members.iter().map(|index| table.member(*index));
    let members = members.filter(|member| Some(member.callers) != own);
    let instances = members.map(|member| LookupInstance {
        address: member.callers,
        region: sync::Arc::clone(&member.region),
        failure_domain: sync::Arc::clone(&member.failure_domain),
    });
    let ttl_ms = u64::try_from(tables.lookup_ttl.as_millis()).unwrap_or(u64::MAX);
    axum::Json(LookupAnswer { instances: instances.collect(), ttl_ms }).into_response()
}

fn refuse(kind: answer::RefusalKind) -> axum::response::Response {
    answer::Refusal::not_run(kind).into_response()
}
