//! Validation of documents: each fault is reported with its path and remedy.

use marjoramwing_tables::credential;
use marjoramwing_tables::document;
use marjoramwing_tables::route;
use marjoramwing_tables::snapshot;
use marjoramwing_testing::cases;

const KEY: &str = "conad-1.a-long-secret";

fn documents() -> snapshot::TableDocuments {
    let hash = credential::KeyHash::of(KEY);
    let text = format!(
        r#"{{
        "routes": {{"routes": [
            {{"name": "all", "path": "/", "pools": ["web"], "access": "open"}},
            {{"name": "api", "path": "/api", "pools": ["web"]}},
            {{"name": "host", "host": "shop.example", "path": "/", "pools": ["web"]}}]}},
        "pools": {{"pools": [{{"name": "web", "servers": [
            {{"address": "10.0.0.1:80", "failure_domain": "a", "slots": 3}}]}}]}},
        "teams": {{"teams": [{{"name": "conad", "rate": 5.0, "burst": 2}}]}},
        "keys": {{"keys": [{{"id": "conad-1", "team": "conad", "sha256": "{hash}"}}]}},
        "steering": {{"sites": [{{"name": "s", "region": "r", "failure_domain": "a"}}],
            "blocks": [{{"prefix": "10.1.0.0/16", "site": "s"}}]}}
    }}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn check_faults(edit: fn(&mut snapshot::TableDocuments), expected: &str) {
    let mut documents = documents();
    edit(&mut documents);
    let faults = snapshot::TableSnapshot::try_from(&documents).unwrap_err();
    assert_eq!(faults.to_string(), expected);
}

cases! { check_faults:
    route_names_unknown_pool => (
        |documents| documents.routes.routes[1].pools[0] = "gone".into(),
        "routes[1].pools[0]: `gone` is not in the `pools` object; add it there or correct the name",
    );
    opaque_key_with_an_id_of_its_own => (
        |documents| documents.keys.opaque = true,
        "keys[0].id: `conad-1` is not the first 16 digits of the key's hash, by which an opaque key is found",
    );
    route_without_pool => (
        |documents| documents.routes.routes[0].pools.clear(),
        "routes[0].pools: the list is empty; name at least one pool",
    );
    route_named_twice => (
        |documents| documents.routes.routes[1].name = "all".into(),
        "routes[1]: `all` is named twice; rename or remove one of the rows",
    );
    rate_without_burst => (
        |documents| documents.routes.routes[0].rate = Some(1.0),
        "routes[0].rate: `rate` needs `burst`; set both or neither",
    );
    deadline_of_zero => (
        |documents| documents.routes.routes[0].deadline_ms = 0,
        "routes[0].deadline_ms: 0 is out of range; use 1 to 600000",
    );
    server_without_port => (
        |documents| documents.pools.pools[0].servers[0].address = "10.0.0.1".into(),
        "pools[0].servers[0].address: `10.0.0.1` is not an IP address and port such as 10.0.0.1:8080",
    );
    server_without_slots => (
        |documents| documents.pools.pools[0].servers[0].slots = 0,
        "pools[0].servers[0].slots: 0 is out of range; use 1 to 100000",
    );
    rate_that_is_no_number => (
        |documents| documents.teams.teams[0].rate = f64::NAN,
        "teams[0]: NaN is out of range; use 0.001 to 1000000",
    );
    key_of_unknown_team => (
        |documents| documents.keys.keys[0].team = "gone".into(),
        "keys[0].team: `gone` is not in the `teams` object; add it there or correct the name",
    );
    key_that_is_not_hashed => (
        |documents| documents.keys.keys[0].sha256 = "secret".into(),
        "keys[0].sha256: `<6 bytes>` is not a SHA-256 hash of 64 lower-case hexadecimal digits",
    );
    block_with_bits_after_its_length => (
        |documents| documents.steering.blocks[0].prefix = "10.1.2.0/16".into(),
        "blocks[0].prefix: `10.1.2.0/16` is not an address block such as 10.2.0.0/16 or 2001:db8::/48, with no bits set after its length and, for IPv6, at most 64 of them",
    );
    two_faults_at_once => (
        |documents| {
            documents.teams.teams[0].burst = 0;
            documents.routes.routes[0].path = "api".into();
        },
        "routes[0].path: `api` is not a path prefix that starts with `/` and has no query\n\
         teams[0]: 0 is out of range; use 1 to 1000000",
    );
}

fn check_route(host: &str, path: &str, expected: &str) {
    let tables = snapshot::TableSnapshot::try_from(&documents()).unwrap();
    let query = route::RouteQuery { host, path, method: "GET" };
    let found = tables.find_route(&query).unwrap();
    assert_eq!(tables.routes[found].name.as_str(), expected);
}

cases! { check_route:
    longest_path_wins => ("other.example", "/api/search", "api");
    path_matches_whole_segments => ("other.example", "/apis", "all");
    host_wins_over_path => ("shop.example", "/api", "host");
}

/// Guards against a request that is taken for one of a route whose prefix does not begin its path.
fn check_prefix(prefix: &str, path: &str, is_matched: bool) {
    let mut documents = documents();
    documents.routes.routes.truncate(1);
    let route = &mut documents.routes.routes[0];
    (route.path, route.host) = (prefix.into(), None);
    let tables = snapshot::TableSnapshot::try_from(&documents).unwrap();
    let query = route::RouteQuery { host: "a.example", path, method: "GET" };
    assert_eq!(tables.find_route(&query).is_some(), is_matched);
}

cases! { check_prefix:
    prefix_with_a_slash_does_not_match_the_path_without_it => ("/seats/", "/seats", false);
    prefix_with_a_slash_matches_itself => ("/seats/", "/seats/", true);
    prefix_with_a_slash_matches_paths_below_it => ("/seats/", "/seats/7", true);
    prefix_with_a_slash_does_not_match_a_longer_segment => ("/seats/", "/seats7", false);
    prefix_without_a_slash_matches_itself => ("/seats", "/seats", true);
    prefix_without_a_slash_matches_paths_below_it => ("/seats", "/seats/7", true);
    prefix_without_a_slash_does_not_match_a_longer_segment => ("/seats", "/seats7", false);
    slash_matches_every_path => ("/", "/seats", true);
}

/// Guards against a shorter prefix that wins over a longer one that ends with a slash.
#[test]
fn of_two_prefixes_that_differ_by_a_slash_the_longer_one_wins() {
    let mut documents = documents();
    let mut route = documents.routes.routes[0].clone();
    (route.name, route.path, route.host) = ("plain".into(), "/seats".into(), None);
    documents.routes.routes = vec![route.clone()];
    (route.name, route.path) = ("below".into(), "/seats/".into());
    documents.routes.routes.push(route);
    let tables = snapshot::TableSnapshot::try_from(&documents).unwrap();
    for (path, expected) in [("/seats", "plain"), ("/seats/", "below"), ("/seats/7", "below")] {
        let query = route::RouteQuery { host: "a.example", path, method: "GET" };
        let found = tables.find_route(&query).unwrap();
        assert_eq!(tables.routes[found].name.as_str(), expected, "{path}");
    }
}

fn check_key(presented: &str, is_valid: bool) {
    let tables = snapshot::TableSnapshot::try_from(&documents()).unwrap();
    let key = credential::PresentedKey::parse_dotted(presented);
    assert_eq!(key.and_then(|key| tables.authenticate(&key)).is_some(), is_valid);
}

cases! { check_key:
    valid_key => (KEY, true);
    wrong_secret => ("conad-1.another-secret", false);
    unknown_id => ("coop-1.a-long-secret", false);
    no_secret => ("conad-1.", false);
    no_dot => ("conad-1", false);
}

#[test]
fn debug_output_hides_the_secret() {
    let key = credential::PresentedKey::parse_dotted(KEY).unwrap();
    assert!(!format!("{key:?}").contains("secret"));
}

#[test]
fn unknown_member_is_refused() {
    let text = r#"{"routes": [{"name": "a", "path": "/", "pools": ["p"], "pool": "p"}]}"#;
    let error = serde_json::from_str::<document::RoutesDocument>(text).unwrap_err();
    assert!(error.to_string().contains("unknown field `pool`"));
}
