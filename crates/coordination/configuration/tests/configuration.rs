//! Accepted versions never fall, and faulty objects never replace good ones.

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::configuration;

const POOLS: &str = r#"{"pools": [{"name": "web", "servers": []}]}"#;
const ROUTES: &str = r#"{"routes": [{"name": "all", "path": "/", "pools": ["web"]}]}"#;
const ROUTES_TO_NEW_POOL: &str = r#"{"routes": [{"name": "all", "path": "/", "pools": ["new"]}]}"#;
const BOTH_POOLS: &str =
    r#"{"pools": [{"name": "web", "servers": []}, {"name": "new", "servers": []}]}"#;
const STEERING: &str = r#"{"sites": []}"#;

fn object(
    table: candidate::TableObject,
    version: u64,
    text: &'static str,
) -> candidate::CandidateObject {
    candidate::CandidateObject::parse(table, version, text.into()).unwrap()
}

fn started() -> configuration::ConfigurationKeeper {
    let mut keeper = configuration::ConfigurationKeeper::default();
    let outcome = keeper.accept_all([
        object(candidate::TableObject::Routes, 4, ROUTES),
        object(candidate::TableObject::Pools, 2, POOLS),
        object(candidate::TableObject::Steering, 1, STEERING),
    ]);
    assert!(matches!(outcome, configuration::AcceptOutcome::Applied(_)));
    keeper
}

#[test]
fn older_version_is_stale() {
    let mut keeper = started();
    let older = object(candidate::TableObject::Routes, 3, ROUTES);
    assert!(matches!(keeper.accept_all([older]), configuration::AcceptOutcome::Stale));
    assert_eq!(keeper.applied().routes, 4);
}

#[test]
fn route_waits_for_its_pool() {
    let mut keeper = started();
    let routes = object(candidate::TableObject::Routes, 5, ROUTES_TO_NEW_POOL);
    let outcome = keeper.accept_all([routes]);
    assert!(matches!(outcome, configuration::AcceptOutcome::Refused(_)));
    assert_eq!(keeper.applied().routes, 4);
    let pools = object(candidate::TableObject::Pools, 3, BOTH_POOLS);
    assert!(matches!(keeper.accept_all([pools]), configuration::AcceptOutcome::Applied(_)));
    assert_eq!((keeper.applied().routes, keeper.applied().pools), (5, 3));
}
