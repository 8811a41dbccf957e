//! Which instance a caller is to use.

use std::net;
use std::sync;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_steering::lookup;
use marjoramwing_tables::credential as tables_credential;

use crate::callers::answer;
use crate::callers::credential;
use crate::shared;

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
        return answer::Refusal::not_run(answer::RefusalKind::NotReady).into_response();
    }
    let team = key_text
        .and_then(tables_credential::PresentedKey::parse)
        .and_then(|key| tables.authenticate(&key));
    let affinity = team.map_or("", |team| tables.teams[team].name.as_str());
    let client = parameters.client.unwrap_or(peer.ip());
    let members = shared.members.load();
    let query = lookup::LookupQuery { client, affinity };
    let ordered = lookup::order_members(&tables, &members, &query);
    let instances = ordered.into_iter().map(|member| LookupInstance {
        address: member.callers,
        region: sync::Arc::clone(&member.region),
        failure_domain: sync::Arc::clone(&member.failure_domain),
    });
    let ttl_ms = u64::try_from(tables.lookup_ttl.as_millis()).unwrap_or(u64::MAX);
    axum::Json(LookupAnswer { instances: instances.collect(), ttl_ms }).into_response()
}
