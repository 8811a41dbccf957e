//! Texts of table objects.

pub(crate) mod fleet;

use marjoramwing_configuration::candidate;

/// Makes the text of pools with the given names.
pub(crate) fn pools(names: &[&str]) -> bytes::Bytes {
    let rows: Vec<_> =
        names.iter().map(|name| format!(r#"{{"name": "{name}", "servers": []}}"#)).collect();
    format!(r#"{{"pools": [{}]}}"#, rows.join(",")).into()
}

/// Makes the text of one route to the given pools.
pub(crate) fn routes(pools: &[&str]) -> bytes::Bytes {
    let pools: Vec<_> = pools.iter().map(|pool| format!(r#""{pool}""#)).collect();
    let row = format!(r#"{{"name": "all", "path": "/", "pools": [{}]}}"#, pools.join(","));
    format!(r#"{{"routes": [{row}]}}"#).into()
}

/// Makes the text of teams with the given names.
pub(crate) fn teams(names: &[&str]) -> bytes::Bytes {
    let rows: Vec<_> = names
        .iter()
        .map(|name| format!(r#"{{"name": "{name}", "rate": 5.0, "burst": 5}}"#))
        .collect();
    format!(r#"{{"teams": [{}]}}"#, rows.join(",")).into()
}

/// Makes the text of one key for each of the given teams.
pub(crate) fn keys(teams: &[&str]) -> bytes::Bytes {
    let hash = "0".repeat(64);
    let rows: Vec<_> = teams
        .iter()
        .map(|team| format!(r#"{{"id": "{team}-1", "team": "{team}", "sha256": "{hash}"}}"#))
        .collect();
    format!(r#"{{"keys": [{}]}}"#, rows.join(",")).into()
}

/// Makes the text of a steering object.
pub(crate) fn steering() -> bytes::Bytes {
    r#"{"sites": []}"#.into()
}

/// Makes a small valid text of an object that depends on no other.
pub(crate) fn plain(object: candidate::TableObject) -> bytes::Bytes {
    match object {
        candidate::TableObject::Routes => r#"{"routes": []}"#.into(),
        candidate::TableObject::Pools => pools(&["web"]),
        candidate::TableObject::Teams => teams(&["one"]),
        candidate::TableObject::Keys => keys(&[]),
        candidate::TableObject::Steering => steering(),
    }
}
