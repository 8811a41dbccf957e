//! Lookups keep callers in their home region, concentrate teams and follow the plan.

mod fixture;

use std::net;
use std::sync::Arc;

use marjoramwing_entity::key::EntityKey;
use marjoramwing_entity::rendezvous;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_steering::lookup;
use marjoramwing_steering::plan;
use marjoramwing_steering::table;
use marjoramwing_tables::region;
use marjoramwing_tables::snapshot;
use marjoramwing_testing::cases;

/// Creates a view with `count` live members in each region.
fn make_view(count: usize) -> Arc<view::MemberView> {
    let names =
        fixture::REGIONS.iter().flat_map(|region| (0..count).map(move |number| (region, number)));
    let members = names.enumerate().map(|(index, (region, number))| {
        let member = format!(
            r#"{{"name": "{region}-{number}", "callers": "10.9.0.1:{}", "peers": "10.9.0.2:{}",
                "site": "{region}-a", "region": "{region}", "failure_domain": "{region}-a"}}"#,
            1_000 + index,
            1_000 + index
        );
        parse_member(&member)
    });
    Arc::new(view::MemberView::new(members.collect()))
}

/// Builds the table from configuration tables and a view.
fn make_table(
    tables: &snapshot::TableSnapshot,
    view: Arc<view::MemberView>,
) -> table::SteeringTable {
    table::SteeringTable::new(tables, table::build_blocks(tables), view)
}

fn parse_member(text: &str) -> member::Member {
    let raw: serde_json::Value = serde_json::from_str(text).unwrap();
    let field = |name: &str| raw[name].as_str().unwrap();
    member::Member {
        name: field("name").into(),
        caller_address: field("callers").parse().unwrap(),
        peer_address: field("peers").parse().unwrap(),
        site: field("site").into(),
        region: field("region").into(),
        failure_domain: field("failure_domain").into(),
        incarnation: None,
        state: member::MemberState::Live,
    }
}

fn make_query(client: &str, team: &str, spread: usize) -> lookup::LookupQuery {
    lookup::LookupQuery {
        client: client.parse().unwrap(),
        default_region: None,
        affinity: rendezvous::seed_of(team),
        spread,
    }
}

fn find_names(
    table: &table::SteeringTable,
    plan: &plan::ShiftPlan,
    query: &lookup::LookupQuery,
) -> Vec<String> {
    let mut context = lookup::LookupContext::default();
    lookup::find_members(&mut context, table, plan, query);
    context.members.iter().map(|index| table.member(*index).name.to_string()).collect()
}

fn check_region(client: &str, expected: &str) {
    let table = make_table(&fixture::tables(""), make_view(3));
    let found = find_names(&table, &plan::ShiftPlan::default(), &make_query(client, "conad", 1));
    assert!(found[0].starts_with(expected), "{found:?}");
}

cases! { check_region:
    client_in_the_first_block => ("10.0.3.4", "palermo");
    client_in_the_last_block => ("10.2.3.4", "agrigento");
    client_without_block => ("192.0.2.1", "palermo");
}

#[test]
fn clients_of_a_team_share_an_instance_and_teams_are_spread() {
    let table = make_table(&fixture::tables(""), make_view(40));
    let plan = plan::ShiftPlan::default();
    let first_of = |team: &str, host: usize| {
        find_names(&table, &plan, &make_query(&format!("10.0.{host}.1"), team, 1))[0].clone()
    };
    for team in 0..100 {
        let team = format!("team-{team}");
        assert!((1..20).all(|host| first_of(&team, host) == first_of(&team, 0)));
    }
    let used: std::collections::BTreeSet<_> =
        (0..400).map(|team| first_of(&format!("team-{team}"), 0)).collect();
    assert_eq!(used.len(), 40, "every instance is the first choice of some team");
}

#[test]
fn large_team_is_spread_over_the_given_number_of_instances() {
    let table = make_table(&fixture::tables(""), make_view(40));
    let plan = plan::ShiftPlan::default();
    let firsts: std::collections::BTreeSet<_> = (0..255)
        .map(|host| {
            find_names(&table, &plan, &make_query(&format!("10.0.{host}.1"), "conad", 3))[0].clone()
        })
        .collect();
    assert_eq!(firsts.len(), 3);
}

#[test]
fn loss_of_an_instance_moves_only_its_own_teams() {
    let tables = fixture::tables("");
    let full = make_view(10);
    let lost = "palermo-3";
    let mut members = full.members.clone();
    members.retain(|member| &*member.name != lost);
    let before = make_table(&tables, full);
    let after = make_table(&tables, Arc::new(view::MemberView::new(members)));
    let plan = plan::ShiftPlan::default();
    for team in 0..200 {
        let query = make_query("10.0.1.1", &format!("team-{team}"), 1);
        let old = find_names(&before, &plan, &query);
        let new = find_names(&after, &plan, &query);
        assert_eq!(new[0], if old[0] == lost { &*old[1] } else { &*old[0] });
    }
}

#[test]
fn leaving_and_suspect_members_get_no_callers() {
    let tables = fixture::tables("");
    let mut members = make_view(2).members.clone();
    members[0].state = member::MemberState::Leaving;
    members[1].state = member::MemberState::Suspect;
    let excluded = [members[0].name.clone(), members[1].name.clone()];
    let table = make_table(&tables, Arc::new(view::MemberView::new(members)));
    for host in 0..3 {
        let query = make_query(&format!("10.{host}.0.1"), "conad", 1);
        let found = find_names(&table, &plan::ShiftPlan::default(), &query);
        assert!(!found.is_empty());
        assert!(found.iter().all(|name| excluded.iter().all(|other| **other != **name)));
    }
}

fn make_plan(fraction: f64, home_serves: bool) -> plan::ShiftPlan {
    let mut plan = plan::ShiftPlan::default();
    let mut region_plan = plan::RegionPlan { shifts: Vec::new(), home_serves };
    region_plan
        .set_share(region::RegionKey::from_index(1), plan::ClientShare::from_fraction(fraction));
    plan.regions.push(region_plan);
    plan
}

fn placements(fraction: f64) -> Vec<plan::Placement> {
    let plan = make_plan(fraction, true);
    let clients =
        (0..10_000_u32).map(|network| net::Ipv4Addr::from_bits(0x0a00_0001 + (network << 8)));
    clients
        .map(|client| plan.place(region::RegionKey::from_index(0), net::IpAddr::V4(client)))
        .collect()
}

#[test]
fn share_of_clients_is_shifted_and_growth_keeps_them_shifted() {
    let shifted = plan::Placement::Shifted(region::RegionKey::from_index(1));
    let small = placements(0.1);
    let large = placements(0.3);
    let count =
        |all: &[plan::Placement]| all.iter().filter(|placement| **placement == shifted).count();
    assert!((900..1_100).contains(&count(&small)), "{}", count(&small));
    assert!((2_850..3_150).contains(&count(&large)), "{}", count(&large));
    assert!(small.iter().zip(&large).all(|(small, large)| *small != shifted || *large == shifted));
}

#[test]
fn unshifted_client_of_a_dead_region_is_capped() {
    let table = make_table(&fixture::tables(""), make_view(2));
    let plan = make_plan(0.0, false);
    let mut context = lookup::LookupContext::default();
    let outcome =
        lookup::find_members(&mut context, &table, &plan, &make_query("10.0.0.1", "conad", 1));
    assert_eq!(outcome, lookup::LookupOutcome::Capped);
    assert!(context.members.is_empty());
}
