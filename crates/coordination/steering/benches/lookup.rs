//! Lookup at design size: 450 instances, 1.3 million address blocks, 110 sites.

use std::hint;
use std::net;
use std::sync::Arc;

use marjoramwing_blocks::builder;
use marjoramwing_entity::key::EntityKey;
use marjoramwing_entity::rendezvous;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_steering::lookup;
use marjoramwing_steering::plan;
use marjoramwing_steering::table;
use marjoramwing_tables::site;
use marjoramwing_tables::snapshot;
use rand::RngExt;
use rand::SeedableRng;

const BLOCKS: u32 = 1_300_000;
const SITES: usize = 110;
const REGIONS: usize = 7;
const MEMBERS: usize = 450;
const QUERIES: usize = 65_536;
const SPREAD: usize = 3;

fn make_tables() -> snapshot::TableSnapshot {
    let sites = (0..SITES).map(|index| {
        let region = index % REGIONS;
        let domain = index % 25;
        format!(r#"{{"name": "s{index}", "region": "r{region}", "failure_domain": "d{domain}"}}"#)
    });
    let sites: Vec<_> = sites.collect();
    let text = format!(
        r#"{{"routes": {{"routes": []}}, "pools": {{"pools": []}}, "teams": {{"teams": []}},
            "keys": {{"keys": []}}, "steering": {{"sites": [{}]}}}}"#,
        sites.join(",")
    );
    let documents: snapshot::TableDocuments =
        serde_json::from_str(&text).expect("the documents parse");
    snapshot::TableSnapshot::try_from(&documents).expect("the tables are consistent")
}

fn make_view() -> Arc<view::MemberView> {
    let address = net::SocketAddr::from(([10, 0, 0, 1], 80));
    let members = (0..MEMBERS).map(|index| member::Member {
        name: format!("instance-{index}").into(),
        caller_address: address,
        peer_address: address,
        site: format!("s{}", index % SITES).into(),
        region: format!("r{}", index % SITES % REGIONS).into(),
        failure_domain: "d".into(),
        incarnation: None,
        state: member::MemberState::Live,
    });
    Arc::new(view::MemberView::new(members.collect()))
}

fn bench_lookup(criterion: &mut criterion::Criterion) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let mut builder = builder::TableBuilder::default();
    for number in 0..BLOCKS {
        let address = net::IpAddr::V4(net::Ipv4Addr::from_bits((number * 3) << 8));
        let prefix = site::AddressPrefix { address, length: 24 };
        builder.add(&prefix, site::SiteKey::from_index(rng.random_range(0..SITES)));
    }
    let table = table::SteeringTable::new(&make_tables(), Arc::new(builder.build()), make_view());
    let plan = plan::ShiftPlan::default();
    let make_query = |_| lookup::LookupQuery {
        client: net::IpAddr::V4(net::Ipv4Addr::from_bits(rng.random())),
        default_region: None,
        affinity: rendezvous::mix(rng.random()),
        spread: SPREAD,
    };
    let queries: Vec<_> = (0..QUERIES).map(make_query).collect();
    let mut context = lookup::LookupContext::default();
    let mut index = 0;
    criterion.bench_function("find_members", |bencher| {
        bencher.iter(|| {
            index = (index + 1) % QUERIES;
            hint::black_box(lookup::find_members(&mut context, &table, &plan, &queries[index]))
        });
    });
}

criterion::criterion_group!(benches, bench_lookup);
criterion::criterion_main!(benches);
