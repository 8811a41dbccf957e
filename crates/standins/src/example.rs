//! Initial tables and settings of process tests.
//!
//! There are two services, `reads` (idempotent, and also open to all callers under
//! `/open`) and `writes` (not idempotent), and teams whose keys are derived from
//! their names.

use std::net;

use marjoramwing_tables::credential;

/// Teams that have a key.
pub const TEAMS: [&str; 6] = ["alpha", "beta", "gamma", "delta", "epsilon", "zeta"];
/// Time to live of a lookup response, in milliseconds.
pub const LOOKUP_TTL_MS: u64 = 200;
/// Deadline of a request, in milliseconds.
pub const DEADLINE_MS: u64 = 4_000;
/// Default region of instances.
pub const REGION: &str = "east";
/// Number of slots of each backend server.
pub const SLOTS: u32 = 16;

/// Returns the key of a team.
#[must_use]
pub fn team_key(team: &str) -> String {
    format!("{team}-1.demo-only-{team}")
}

/// Returns the `teams` table.
#[must_use]
pub fn teams() -> serde_json::Value {
    let team = |name| serde_json::json!({"name": name, "rate": 100_000.0, "burst": 100_000});
    serde_json::json!({"teams": TEAMS.map(team)})
}

/// Returns the `keys` table with one key for each of the given teams.
#[must_use]
pub fn keys(teams: &[&str]) -> serde_json::Value {
    let key = |team: &&str| {
        let hash = credential::KeyHash::of(&team_key(team));
        serde_json::json!({
            "id": format!("{team}-1"), "team": team, "sha256": hash.to_string(),
        })
    };
    serde_json::json!({"keys": teams.iter().map(key).collect::<Vec<_>>()})
}

/// Returns the `routes` table, extended by a route to `reads` for each extra name.
#[must_use]
pub fn routes(extra: &[&str]) -> serde_json::Value {
    let mut routes = vec![
        serde_json::json!({
            "name": "reads", "path": "/reads", "pools": ["reads"], "deadline_ms": DEADLINE_MS,
        }),
        serde_json::json!({
            "name": "open", "path": "/open", "pools": ["reads"], "access": "open",
            "deadline_ms": DEADLINE_MS,
        }),
        serde_json::json!({
            "name": "writes", "path": "/writes", "pools": ["writes"], "idempotent": "never",
            "deadline_ms": DEADLINE_MS,
        }),
    ];
    routes.extend(extra.iter().map(|name| {
        let path = format!("/{name}");
        serde_json::json!({
            "name": name, "path": path, "pools": ["reads"], "deadline_ms": DEADLINE_MS,
        })
    }));
    serde_json::json!({"routes": routes})
}

/// Returns the `pools` table, with the given servers marked as draining.
#[must_use]
pub fn pools(
    reads: &[net::SocketAddr],
    writes: &[net::SocketAddr],
    draining: &[net::SocketAddr],
) -> serde_json::Value {
    let server = |address: &net::SocketAddr| {
        let row = serde_json::json!({
            "address": address.to_string(), "failure_domain": "east-a", "slots": SLOTS,
        });
        if draining.contains(address) { with_draining(row) } else { row }
    };
    let pool = |name, servers: &[net::SocketAddr]| {
        let servers: Vec<_> = servers.iter().map(server).collect();
        serde_json::json!({"name": name, "servers": servers})
    };
    serde_json::json!({"pools": [pool("reads", reads), pool("writes", writes)]})
}

/// Returns the `steering` table with a single region.
#[must_use]
pub fn steering() -> serde_json::Value {
    serde_json::json!({
        "sites": [{"name": "east-a", "region": "east", "failure_domain": "east-a"}],
        "lookup_ttl_ms": LOOKUP_TTL_MS,
    })
}

/// Returns a `steering` table that allows shifting clients from one region to
/// another.
///
/// The home region of all clients of process tests is the first one; `draining`
/// marks its site as draining.
#[must_use]
pub fn steering_with_shift(home: &str, other: &str, draining: bool) -> serde_json::Value {
    let site = |region: &str, draining: bool| {
        let name = format!("{region}-a");
        let row = serde_json::json!({"name": name, "region": region, "failure_domain": name});
        if draining { with_draining(row) } else { row }
    };
    serde_json::json!({
        "sites": [site(home, draining), site(other, false)],
        "blocks": [{"prefix": "127.0.0.0/8", "site": format!("{home}-a")}],
        "headrooms": [{"region": other, "rate": 100_000.0, "burst": 100_000}],
        "shifts": [{"from": home, "to": other, "rate": 100_000.0, "burst": 100_000}],
        "instance_rate": 200_000.0,
        "lookup_ttl_ms": LOOKUP_TTL_MS,
    })
}

fn with_draining(mut row: serde_json::Value) -> serde_json::Value {
    row["draining"] = true.into();
    row
}

/// Returns the settings file of one instance.
#[must_use]
pub fn settings(
    name: &str,
    region: &str,
    callers: net::SocketAddr,
    peers: net::SocketAddr,
    admin: net::SocketAddr,
    store: net::SocketAddr,
) -> String {
    format!(
        r#"[instance]
name = "{name}"
site = "{region}-a"
region = "{region}"
failure_domain = "{region}-a"

[listen]
callers = "{callers}"
peers = "{peers}"
admin = "{admin}"

[store]
address = "{store}"
timeout_ms = 500

[secrets]
peer_env = "MARJORAMWING_PEER_SECRET"
admin_env = "MARJORAMWING_ADMIN_SECRET"
"#
    )
}
