//! Documents that the users' store has accepted: a fault in a row harms that row alone.
//!
//! Guards against a whole version that is kept out, with the keys that it withdraws, since one of
//! its rows fails a check of ours.

use std::time;

use marjoramwing_tables::credential;
use marjoramwing_tables::document;
use marjoramwing_tables::fault;
use marjoramwing_tables::route;
use marjoramwing_tables::snapshot;
use marjoramwing_testing::cases;

const KEYS: [&str; 2] = ["key-of-one", "key-of-two"];

fn documents() -> snapshot::TableDocuments {
    let keys = KEYS.map(|key| {
        let hash = credential::KeyHash::of(key);
        let team = key.trim_start_matches("key-of-");
        format!(r#"{{"id": "{}", "team": "{team}", "sha256": "{hash}"}}"#, hash.opaque_id())
    });
    let text = format!(
        r#"{{
        "routes": {{"routes": [
            {{"name": "a", "host": "h.example", "path": "/a/", "pools": ["x", "y"], "weights": [1, 3]}},
            {{"name": "b", "host": "h.example", "path": "/b/", "pools": ["y"]}},
            {{"name": "root", "host": "h.example", "path": "/", "pools": ["y"]}}]}},
        "pools": {{"pools": [{{"name": "x"}}, {{"name": "y", "cold_start":
            {{"duration_ms": 5, "rate": 7.0}}}}]}},
        "teams": {{"teams": [{{"name": "one", "rate": 5.0, "burst": 2}},
            {{"name": "two", "rate": 5.0, "burst": 2}}]}},
        "keys": {{"opaque": true, "keys": [{}]}},
        "steering": {{"sites": []}}
    }}"#,
        keys.join(",")
    );
    serde_json::from_str(&text).unwrap()
}

type Documents = snapshot::TableDocuments;

/// Builds edited documents and checks that all rows but the edited ones are in force as before.
fn confine(edit: fn(&mut Documents)) -> (snapshot::TableSnapshot, String) {
    let mut documents = documents();
    edit(&mut documents);
    let (tables, faults) = snapshot::TableSnapshot::confine(&documents);
    let route = find_route(&tables, "/b/1").expect("the other route is in force");
    assert_eq!(route.name.as_str(), "b");
    assert_eq!(tables.pools[route.pools.choose(0)[0]].name.as_str(), "y");
    assert_eq!(team_of(&tables, KEYS[1]).as_deref(), Some("two"));
    (tables, faults.to_string())
}

fn find_route<'a>(tables: &'a snapshot::TableSnapshot, path: &str) -> Option<&'a route::Route> {
    let query = route::RouteQuery { host: "h.example", path, method: "GET" };
    tables.find_route(&query).map(|key| &tables.routes[key])
}

fn team_of(tables: &snapshot::TableSnapshot, key: &str) -> Option<String> {
    let key = credential::PresentedKey::parse(key, credential::KeyFormat::Opaque)?;
    tables.authenticate(&key).map(|team| tables.teams[team].name.as_str().to_owned())
}

/// Describes what the first route, team and pool of the documents do.
fn check_confined(edit: fn(&mut Documents), check: fn(&snapshot::TableSnapshot), faults: &str) {
    let (tables, found) = confine(edit);
    check(&tables);
    assert_eq!(found, faults);
}

fn first_route(tables: &snapshot::TableSnapshot) -> &route::Route {
    find_route(tables, "/a/1").unwrap()
}

fn weights(tables: &snapshot::TableSnapshot) -> Vec<u32> {
    match &first_route(tables).pools {
        route::PoolChoice::Split(pools) => pools.iter().map(|pool| pool.weight).collect(),
        route::PoolChoice::Preferred(pools) => panic!("no split: {pools:?}"),
    }
}

/// Asserts that requests on the first route are refused rather than served by a shorter prefix.
fn assert_refused(tables: &snapshot::TableSnapshot) {
    assert_eq!(first_route(tables).name.as_str(), "a");
    assert!((0..99).all(|seed| first_route(tables).pools.choose(seed).is_empty()));
}

fn first_limit(tables: &snapshot::TableSnapshot) -> (f64, u32) {
    let team = tables.teams.values().next().unwrap();
    (team.limit.rate, team.limit.burst)
}

cases! { check_confined:
    no_fault => (|_| {}, |tables| assert_eq!(weights(tables), [1, 3]), "");
    route_name_of_any_text => (
        |documents| documents.routes.routes[0].name = "Orari d'apertura".into(),
        |tables| assert_eq!(first_route(tables).name.as_str(), "Orari d'apertura"), "",
    );
    route_without_a_name => (
        |documents| documents.routes.routes[0].name = "".into(),
        |tables| assert_eq!(weights(tables), [1, 3]),
        "routes[0].name: `` is not a name; use 1 to 63 of a-z, 0-9, `-`, `_` and `.`",
    );
    two_routes_of_one_name => (
        |documents| documents.routes.routes[0].name = "b".into(),
        |tables| assert_eq!(weights(tables), [1, 3]),
        "routes[1]: `b` is named twice; rename or remove one of the rows",
    );
    pool_that_no_row_defines => (
        |documents| documents.routes.routes[0].pools[0] = "Other pool".into(),
        |tables| {
            let pool = first_route(tables).pools.choose(0)[0];
            assert_eq!(tables.pools[pool].name.as_str(), "Other pool");
        },
        "",
    );
    route_without_a_pool => (
        |documents| {
            documents.routes.routes[0].pools.clear();
            documents.routes.routes[0].weights.clear();
        },
        assert_refused, "routes[0].pools: the list is empty; name at least one pool",
    );
    weights_above_the_range => (
        |documents| documents.routes.routes[0].weights = vec![u32::MAX, 1],
        |tables| assert_eq!(weights(tables), [1_000_000, 1]),
        "routes[0].weights: 4294967295 is out of range; use 0 to 1000000",
    );
    weights_of_zero => (
        |documents| documents.routes.routes[0].weights = vec![0, 0], assert_refused,
        "routes[0].weights: 0 is out of range; use 1 to 1000000",
    );
    path_that_no_request_has => (
        |documents| documents.routes.routes[0].path = "/a b/".into(),
        |tables| assert_eq!(first_route(tables).name.as_str(), "root"), "",
    );
    path_without_a_slash => (
        |documents| documents.routes.routes[0].path = "".into(),
        |tables| assert_eq!(first_route(tables).name.as_str(), "root"),
        "routes[0].path: `` is not a path prefix that starts with `/` and has no query",
    );
    timeout_of_zero => (
        |documents| documents.routes.routes[0].deadline_ms = 0,
        |tables| assert_eq!(first_route(tables).deadline, time::Duration::from_millis(1)),
        "routes[0].deadline_ms: 0 is out of range; use 1 to 600000",
    );
    timeout_above_the_range => (
        |documents| documents.routes.routes[0].deadline_ms = u64::MAX,
        |tables| assert_eq!(first_route(tables).deadline, time::Duration::from_secs(600)),
        "routes[0].deadline_ms: 18446744073709551615 is out of range; use 1 to 600000",
    );
    body_above_the_range => (
        |documents| documents.routes.routes[0].max_body_bytes = u64::MAX,
        |tables| assert_eq!(first_route(tables).max_body_bytes, 1 << 30),
        "routes[0].max_body_bytes: 18446744073709551615 is out of range; use 0 to 1073741824",
    );
    no_attempts => (
        |documents| documents.routes.routes[0].max_attempts = 0,
        |tables| assert_eq!(first_route(tables).max_attempts, 1),
        "routes[0].max_attempts: 0 is out of range; use 1 to 16",
    );
    attempts_above_the_range => (
        |documents| documents.routes.routes[0].max_attempts = 99,
        |tables| assert_eq!(first_route(tables).max_attempts, 16),
        "routes[0].max_attempts: 99 is out of range; use 1 to 16",
    );
    team_name_of_any_text => (
        |documents| {
            documents.teams.teams[0].name = "Università ٣\n".into();
            documents.keys.keys[0].team = "Università ٣\n".into();
        },
        |tables| assert_eq!(team_of(tables, KEYS[0]).as_deref(), Some("Università ٣\n")), "",
    );
    two_teams_of_one_name => (
        |documents| documents.teams.teams.push(document::TeamDocument {
            rate: 9.0, ..documents.teams.teams[0].clone()
        }),
        |tables| assert_eq!(first_limit(tables), (5.0, 2)),
        "teams[2]: `one` is named twice; rename or remove one of the rows",
    );
    rate_above_the_range => (
        |documents| documents.teams.teams[0].rate = 1e9,
        |tables| assert_eq!(first_limit(tables), (1_000_000.0, 2)),
        "teams[0]: 1000000000 is out of range; use 0.001 to 1000000",
    );
    rate_below_zero => (
        |documents| documents.teams.teams[0].rate = -1.0,
        |tables| assert_eq!(first_limit(tables), (0.001, 2)),
        "teams[0]: -1 is out of range; use 0.001 to 1000000",
    );
    rate_that_is_no_number => (
        |documents| documents.teams.teams[0].rate = f64::NAN,
        |tables| assert_eq!(first_limit(tables), (0.001, 2)),
        "teams[0]: NaN is out of range; use 0.001 to 1000000",
    );
    burst_above_the_range => (
        |documents| documents.teams.teams[0].burst = u32::MAX,
        |tables| assert_eq!(first_limit(tables), (5.0, 1_000_000)),
        "teams[0]: 4294967295 is out of range; use 1 to 1000000",
    );
    key_of_no_team => (
        |documents| documents.keys.keys[0].team = "gone".into(),
        |tables| assert_eq!(team_of(tables, KEYS[0]), None),
        "keys[0].team: `gone` is not in the `teams` object; add it there or correct the name",
    );
    key_that_a_team_lists_twice => (
        |documents| documents.keys.keys.push(documents.keys.keys[0].clone()),
        |tables| assert_eq!(team_of(tables, KEYS[0]).as_deref(), Some("one")), "",
    );
    key_with_an_id_of_its_own => (
        |documents| documents.keys.keys[0].id = "other".into(),
        |tables| assert_eq!(team_of(tables, KEYS[0]), None),
        "keys[0].id: `other` is not the first 16 digits of the key's hash, by which an opaque key is found",
    );
    two_pools_of_one_name => (
        |documents| documents.pools.pools.push(documents.pools.pools[0].clone()),
        |tables| assert_eq!(weights(tables), [1, 3]),
        "pools[2]: `x` is named twice; rename or remove one of the rows",
    );
    cold_start_above_the_range => (
        |documents| documents.pools.pools[0].cold_start =
            Some(document::ColdStartDocument { duration_ms: u64::MAX, rate: 1e9 }),
        |tables| {
            let limit = tables.pools.values().next().unwrap().cold_start.unwrap();
            assert_eq!((limit.duration.as_secs(), limit.rate_milli), (3_600, 1_000_000_000));
        },
        "pools[0].cold_start: 18446744073709551615 is out of range; use 0 to 3600000\n\
         pools[0].cold_start: 1000000000 is out of range; use 0.001 to 1000000",
    );
}

/// Guards against a key of two teams that authenticates whichever row comes last.
#[test]
fn key_of_two_teams_authenticates_the_first() {
    let (tables, faults) = confine(|documents| {
        let mut second = documents.keys.keys[0].clone();
        second.team = "two".into();
        documents.keys.keys.push(second);
    });
    assert_eq!(team_of(&tables, KEYS[0]).as_deref(), Some("one"));
    assert!(faults.starts_with("keys[2]: "), "{faults}");
}

/// Guards against a ratio of weights that is lost when they are brought into range.
#[test]
fn scaled_weights_keep_their_ratio() {
    let (tables, _) = confine(|documents| {
        documents.routes.routes[0].weights = vec![3_000_000_000, 1_000_000_000];
    });
    assert_eq!(weights(&tables), [1_000_000, 333_333]);
}

#[test]
fn nearest_number_is_in_range() {
    assert_eq!([0, 1, 5, 9].map(|value| fault::nearest(value, 1, 8)), [1, 1, 5, 8]);
}

/// Guards against routes that demand a key although no team has one, and against routes that go
/// without one because a row of a team cannot be used.
fn check_access(edit: fn(&mut Documents), expected: bool) {
    let mut documents = documents();
    edit(&mut documents);
    let (tables, _) = snapshot::TableSnapshot::confine(&documents);
    assert_eq!(tables.requires_keys(), expected);
}

cases! { check_access:
    teams_need_keys => (|_| {}, true);
    no_team_needs_no_key => (
        |documents| {
            documents.teams.teams.clear();
            documents.keys.keys.clear();
        },
        false,
    );
    keys_of_teams_that_are_gone_need_no_key => (|documents| documents.teams.teams.clear(), false);
    teams_without_keys_need_one => (|documents| documents.keys.keys.clear(), true);
    faulty_team_needs_a_key => (
        |documents| {
            documents.teams.teams.truncate(1);
            documents.teams.teams[0].name = "".into();
            documents.teams.teams[0].rate = f64::NAN;
        },
        true,
    );
    open_routes_need_no_key => (
        |documents| for route in &mut documents.routes.routes {
            route.access = document::AccessDocument::Open;
        },
        false,
    );
}

/// Guards against tables that operators edit and that become open when their teams are missing.
#[test]
fn edited_tables_without_teams_need_keys() {
    let mut documents = documents();
    documents.teams.teams.clear();
    documents.keys.keys.clear();
    assert!(snapshot::TableSnapshot::try_from(&documents).unwrap().requires_keys());
}
