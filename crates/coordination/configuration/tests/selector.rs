//! Tests that applied versions never decrease and that faulty objects never replace valid ones.

#[expect(dead_code, reason = "shared by several test files")]
mod support;

use marjoramwing_configuration::candidate::TableObject as Object;
use marjoramwing_configuration::group;
use marjoramwing_configuration::selector;
use marjoramwing_tables::snapshot;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;

fn make_selector() -> selector::VersionSelector {
    make_selector_with(selector::SelectorRules::default())
}

fn make_selector_with(rules: selector::SelectorRules) -> selector::VersionSelector {
    let mut selector = selector::VersionSelector::new(rules);
    selector.offer(Object::Routes, 4, support::routes(&["web"]));
    selector.offer(Object::Pools, 2, support::pools(&["web"]));
    selector.offer(Object::Steering, 1, support::steering());
    selector.offer(Object::Teams, 1, support::teams(&["one"]));
    selector.offer(Object::Keys, 1, support::keys(&["one"]));
    assert!(selector.select().is_some());
    selector
}

#[test]
fn older_version_is_ignored() {
    let mut selector = make_selector();
    assert!(!selector.offer(Object::Routes, 3, support::routes(&["web"])));
    assert!(selector.select().is_none());
    assert_eq!(selector.applied().routes, 4);
}

#[test]
fn route_waits_for_its_pool() {
    let mut selector = make_selector();
    selector.offer(Object::Routes, 5, support::routes(&["new"]));
    assert!(selector.select().is_none());
    assert_eq!(selector.applied().routes, 4);
    assert!(selector.faults(Object::Routes).to_string().contains("`new`"));
    selector.offer(Object::Pools, 3, support::pools(&["web", "new"]));
    assert!(selector.select().is_some());
    assert_eq!((selector.applied().routes, selector.applied().pools), (5, 3));
    assert!(selector.faults(Object::Routes).is_empty());
}

#[test]
fn pool_stays_applied_until_no_route_refers_to_it() {
    let mut selector = make_selector();
    selector.offer(Object::Pools, 3, support::pools(&["new"]));
    assert!(selector.select().is_none());
    selector.offer(Object::Routes, 5, support::routes(&["new"]));
    assert!(selector.select().is_some());
    assert_eq!((selector.applied().routes, selector.applied().pools), (5, 3));
}

/// Offers a faulty object of one group and a valid one of another, and returns the applied version
/// of the latter, or 0 if nothing was applied.
fn applied_despite_fault(rules: selector::SelectorRules, faulty: Object, valid: Object) -> u128 {
    let mut selector = make_selector_with(rules);
    selector.offer(faulty, 9, "{".into());
    selector.select();
    let text = match valid {
        Object::Routes => support::routes(&["web"]),
        other => support::minimal(other),
    };
    selector.offer(valid, 9, text);
    selector.select().map_or(0, |tables| group::version_of(&tables.versions, valid))
}

fn check_independent_groups(faulty: Object, valid: Object) {
    assert_eq!(applied_despite_fault(selector::SelectorRules::default(), faulty, valid), 9);
    let rules = selector::SelectorRules { independent_groups: false, ..Default::default() };
    assert_eq!(
        applied_despite_fault(rules, faulty, valid),
        0,
        "a fault must delay all groups if they are applied together"
    );
}

marjoramwing_testing::cases! { check_independent_groups:
    faulty_keys_do_not_delay_routes => (Object::Keys, Object::Routes);
    faulty_routes_do_not_delay_keys => (Object::Routes, Object::Keys);
    faulty_teams_do_not_delay_steering => (Object::Teams, Object::Steering);
    faulty_steering_does_not_delay_pools => (Object::Steering, Object::Pools);
}

#[test]
fn faulty_newest_version_does_not_block_a_valid_earlier_one() {
    let mut selector = make_selector();
    selector.offer(Object::Routes, 5, support::routes(&["new"]));
    selector.offer(Object::Routes, 6, "{".into());
    assert!(selector.select().is_none());
    selector.offer(Object::Pools, 3, support::pools(&["new"]));
    assert!(selector.select().is_some());
    assert_eq!(selector.applied().routes, 5);
    assert!(
        !selector.faults(Object::Routes).is_empty(),
        "the faults of the newest version are gone"
    );
}

#[test]
fn faults_of_keys_do_not_contain_key_text() {
    let mut selector = make_selector();
    let secret = "one-1.a-secret-that-nobody-may-see";
    let text = format!(r#"{{"keys": [{{"id": "one-1", "team": "one", "sha256": "{secret}"}}]}}"#);
    selector.offer(Object::Keys, 2, text.into());
    selector.select();
    let text = format!(r#"{{"keys": "{secret}"}}"#);
    assert!(!selector.faults(Object::Keys).is_empty());
    assert!(!selector.faults(Object::Keys).to_string().contains("nobody-may-see"));
    selector.offer(Object::Keys, 3, text.into());
    assert!(!selector.faults(Object::Keys).is_empty());
    assert!(!selector.faults(Object::Keys).to_string().contains("nobody-may-see"));
}

/// One version of one object in a random history.
#[derive(Clone)]
struct OfferedObject {
    object: Object,
    version: u128,
    text: bytes::Bytes,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

fn random_history(rng: &mut rand_pcg::Pcg64Mcg) -> Vec<OfferedObject> {
    let mut history = Vec::new();
    for object in [Object::Routes, Object::Pools, Object::Keys, Object::Teams, Object::Steering] {
        for version in 1..=rng.random_range(1..=6) {
            let names: Vec<_> = NAMES.into_iter().filter(|_| rng.random_bool(0.5)).collect();
            let is_faulty = rng.random_bool(0.2);
            let text = match object {
                _ if is_faulty => "{".into(),
                Object::Routes => support::routes(&names),
                Object::Pools => support::pools(&names),
                Object::Keys => support::keys(&names),
                Object::Teams => support::teams(&names),
                Object::Steering => support::steering(),
            };
            history.push(OfferedObject { object, version, text });
        }
    }
    history
}

/// Finds the newest consistent versions by trying every pair of versions read so far.
fn search_exhaustively(
    seen: &[OfferedObject],
    applied: &snapshot::TableVersions,
) -> snapshot::TableVersions {
    let mut best = *applied;
    for (first, second) in [
        (Object::Routes, Object::Pools),
        (Object::Keys, Object::Teams),
        (Object::Steering, Object::Steering),
    ] {
        let mut found = None;
        for left in choices(seen, first, applied) {
            for right in choices(seen, second, applied) {
                let is_allowed = first != second || left.0 == right.0;
                if found < Some((left.0, right.0))
                    && is_allowed
                    && is_consistent_pair(&left, &right)
                {
                    found = Some((left.0, right.0));
                }
            }
        }
        if let Some((left, right)) = found {
            *group::version_mut(&mut best, first) = left;
            *group::version_mut(&mut best, second) = right;
        }
    }
    best
}

type Choice = (u128, Object, Option<bytes::Bytes>);

fn choices(
    seen: &[OfferedObject],
    object: Object,
    applied: &snapshot::TableVersions,
) -> Vec<Choice> {
    let min_version = group::version_of(applied, object);
    let none = (0, object, None);
    let of_object = seen.iter().filter(|offered| offered.object == object);
    let read = of_object.map(|offered| (offered.version, object, Some(offered.text.clone())));
    [none].into_iter().chain(read).filter(|(version, _, _)| *version >= min_version).collect()
}

fn is_consistent_pair(left: &Choice, right: &Choice) -> bool {
    let mut documents = serde_json::json!({
        "routes": {"routes": []}, "pools": {"pools": []}, "teams": {"teams": []},
        "keys": {"keys": []}, "steering": {"sites": []},
    });
    for (_, object, text) in [left, right] {
        let Some(text) = text else { continue };
        let Ok(value) = serde_json::from_slice(text) else { return false };
        documents[object.to_string()] = value;
    }
    let Ok(documents) = serde_json::from_value::<snapshot::TableDocuments>(documents) else {
        return false;
    };
    snapshot::TableSnapshot::try_from(&documents).is_ok()
}

/// Offers a history in random order and compares each step with an exhaustive search.
fn check_against_exhaustive_search(seed: u64) {
    println!("seed {seed}");
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..20 {
        let mut history = random_history(&mut rng);
        history.shuffle(&mut rng);
        let mut selector = selector::VersionSelector::default();
        let mut seen: Vec<OfferedObject> = Vec::new();
        for offered in history {
            let newest = group::version_of(&selector.newest_read(), offered.object);
            let before = selector.applied();
            selector.offer(offered.object, offered.version, offered.text.clone());
            selector.select();
            if offered.version > newest {
                seen.push(offered);
            }
            assert!(group::covers(&selector.applied(), &before), "an applied version decreased");
            assert_eq!(selector.applied(), search_exhaustively(&seen, &before));
        }
    }
}

marjoramwing_testing::cases! { check_against_exhaustive_search:
    exhaustive_search_seed_1 => (1);
    exhaustive_search_seed_2 => (2);
    exhaustive_search_seed_3 => (3);
    exhaustive_search_seed_4 => (4);
}

/// Returns true if stale reads decreased an applied version.
fn decreases_under_stale_reads(rules: selector::SelectorRules) -> bool {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(9);
    let mut selector = make_selector_with(rules);
    (0..200).any(|_| {
        let before = selector.applied();
        let version = rng.random_range(1..20);
        selector.offer(Object::Routes, version, support::routes(&["web"]));
        selector.select();
        !group::covers(&selector.applied(), &before)
    })
}

#[test]
fn stale_reads_never_decrease_a_version() {
    assert!(!decreases_under_stale_reads(selector::SelectorRules::default()));
}

#[test]
fn stale_reads_decrease_a_version_without_the_monotonic_rule() {
    let rules = selector::SelectorRules { monotonic: false, ..Default::default() };
    assert!(decreases_under_stale_reads(rules));
}

fn offer_version(selector: &mut selector::VersionSelector, object: Object, version: u128) {
    let text = match object {
        Object::Routes => support::routes(&["web"]),
        Object::Pools => support::pools(&["web"]),
        Object::Teams => support::teams(&["one"]),
        Object::Keys => support::keys(&["one"]),
        Object::Steering => support::steering(),
    };
    selector.offer(object, version, text);
}

/// Peers send table objects one at a time. If all come from a single store object, routes of one
/// version must not be applied with keys of an older one (seen on mycotrail-gslb, scale-1, seed
/// 398729627951).
fn check_single_object(single_object: bool, applied_routes: u128) {
    let objects = [Object::Routes, Object::Pools, Object::Teams, Object::Keys];
    let rules = selector::SelectorRules { single_object, ..Default::default() };
    let mut selector = selector::VersionSelector::new(rules);
    objects.into_iter().for_each(|object| offer_version(&mut selector, object, 22));
    assert!(selector.select().is_some());
    offer_version(&mut selector, Object::Routes, 25);
    offer_version(&mut selector, Object::Pools, 25);
    selector.select();
    assert_eq!(selector.applied().routes, applied_routes);
    offer_version(&mut selector, Object::Teams, 25);
    offer_version(&mut selector, Object::Keys, 25);
    selector.select();
    let applied = selector.applied();
    assert_eq!((applied.routes, applied.keys), (25, 25));
}

marjoramwing_testing::cases! { check_single_object:
    tables_of_a_single_object_are_applied_together => (true, 22);
    tables_of_several_objects_are_applied_separately => (false, 25);
}

/// Guards against a version of a single store object that one odd row keeps out. Tables that are
/// edited separately stay in effect as they were.
fn check_odd_row(single_object: bool, applied_teams: u128) {
    let objects = [Object::Routes, Object::Pools, Object::Teams, Object::Keys];
    let rules = selector::SelectorRules { single_object, ..Default::default() };
    let mut selector = selector::VersionSelector::new(rules);
    objects.into_iter().for_each(|object| offer_version(&mut selector, object, 22));
    assert!(selector.select().is_some_and(|applied| applied.confined.is_empty()));
    offer_version(&mut selector, Object::Routes, 25);
    offer_version(&mut selector, Object::Pools, 25);
    selector.offer(Object::Teams, 25, support::teams(&["one", "one"]));
    selector.offer(Object::Keys, 25, support::keys(&[]));
    let confined = selector.select().map(|applied| applied.confined.faults.len());
    assert_eq!(selector.applied().teams, applied_teams);
    assert_eq!(confined == Some(1) && selector.confined().faults.len() == 1, single_object);
}

marjoramwing_testing::cases! { check_odd_row:
    odd_row_of_a_single_object_is_confined => (true, 25);
    odd_row_of_a_separate_object_is_refused => (false, 22);
}

const SINGLE_OBJECT: [Object; 4] = [Object::Routes, Object::Pools, Object::Teams, Object::Keys];

fn make_single_object_selector() -> selector::VersionSelector {
    let rules = selector::SelectorRules { single_object: true, ..Default::default() };
    let mut selector = selector::VersionSelector::new(rules);
    SINGLE_OBJECT.into_iter().for_each(|object| offer_version(&mut selector, object, 22));
    assert!(selector.select().is_some());
    selector
}

/// Guards against a version that is never in force since a peer of an earlier build, which could
/// not read it, passed on the reason in its place before the store's own text arrived.
#[test]
fn text_of_a_peer_that_cannot_be_parsed_does_not_hide_the_stores() {
    let mut selector = make_single_object_selector();
    let garbage = "not a configuration (Data at line 0, column 0)";
    let source = selector::ObjectSource::Peer;
    assert!(!selector.offer_from(source, Object::Routes, 25, garbage.into()));
    assert_eq!(selector.newest_read().routes, 22);
    SINGLE_OBJECT.into_iter().for_each(|object| offer_version(&mut selector, object, 25));
    assert!(selector.select().is_some());
    assert_eq!(selector.applied().routes, 25);
}

/// Guards against a peer's reading of a version that stays in force beside the store's.
#[test]
fn text_of_the_store_replaces_that_of_a_peer() {
    let mut selector = make_single_object_selector();
    for object in SINGLE_OBJECT {
        let text = match object {
            Object::Pools => support::pools(&["other"]),
            Object::Routes => support::routes(&["other"]),
            Object::Teams => support::teams(&["two"]),
            _ => support::keys(&["two"]),
        };
        assert!(selector.offer_from(selector::ObjectSource::Peer, object, 25, text));
    }
    let names = |applied: marjoramwing_configuration::configuration::AppliedTables| {
        let pools = applied.snapshot.pools.values();
        pools.map(|pool| pool.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(selector.select().map(names), Some(vec!["other".to_owned()]));
    SINGLE_OBJECT.into_iter().for_each(|object| offer_version(&mut selector, object, 25));
    assert_eq!(selector.select().map(names), Some(vec!["web".to_owned()]));
    // The same text again, or another one of a peer, changes nothing.
    SINGLE_OBJECT.into_iter().for_each(|object| offer_version(&mut selector, object, 25));
    let source = selector::ObjectSource::Peer;
    assert!(!selector.offer_from(source, Object::Pools, 25, support::pools(&["other"])));
    assert!(selector.select().is_none());
    assert_eq!(selector.applied().pools, 25);
}

/// Guards against a text that cannot be parsed and takes the place of one that could.
#[test]
fn text_that_cannot_be_parsed_does_not_replace_another() {
    let mut selector = make_single_object_selector();
    assert!(!selector.offer(Object::Routes, 22, "{".into()));
    assert!(selector.select().is_none());
    assert!(selector.faults(Object::Routes).is_empty());
    offer_version(&mut selector, Object::Routes, 22);
    assert!(selector.select().is_none());
}
