//! Texts of table objects for tests.

pub(crate) mod fleet;
pub(crate) mod store;

use marjoramwing_configuration::candidate;

/// Returns a pools object with empty pools of the given names.
pub(crate) fn pools(names: &[&str]) -> bytes::Bytes {
    let rows: Vec<_> =
        names.iter().map(|name| format!(r#"{{"name": "{name}", "servers": []}}"#)).collect();
    format!(r#"{{"pools": [{}]}}"#, rows.join(",")).into()
}

/// Returns a routes object with one route to the given pools.
pub(crate) fn routes(pools: &[&str]) -> bytes::Bytes {
    let pools: Vec<_> = pools.iter().map(|pool| format!(r#""{pool}""#)).collect();
    let row = format!(r#"{{"name": "all", "path": "/", "pools": [{}]}}"#, pools.join(","));
    format!(r#"{{"routes": [{row}]}}"#).into()
}

/// Returns a teams object with teams of the given names.
pub(crate) fn teams(names: &[&str]) -> bytes::Bytes {
    let rows: Vec<_> = names
        .iter()
        .map(|name| format!(r#"{{"name": "{name}", "rate": 5.0, "burst": 5}}"#))
        .collect();
    format!(r#"{{"teams": [{}]}}"#, rows.join(",")).into()
}

/// Returns a keys object with one key for each of the given teams.
pub(crate) fn keys(teams: &[&str]) -> bytes::Bytes {
    let hash = "0".repeat(64);
    let rows: Vec<_> = teams
        .iter()
        .map(|team| format!(r#"{{"id": "{team}-1", "team": "{team}", "sha256": "{hash}"}}"#))
        .collect();
    format!(r#"{{"keys": [{}]}}"#, rows.join(",")).into()
}

/// Returns a steering object without sites.
pub(crate) fn steering() -> bytes::Bytes {
    r#"{"sites": []}"#.into()
}

/// Returns a small valid text of an object that refers to no other object.
pub(crate) fn minimal(object: candidate::TableObject) -> bytes::Bytes {
    match object {
        candidate::TableObject::Routes => r#"{"routes": []}"#.into(),
        candidate::TableObject::Pools => pools(&["web"]),
        candidate::TableObject::Teams => teams(&["one"]),
        candidate::TableObject::Keys => keys(&[]),
        candidate::TableObject::Steering => steering(),
    }
}
