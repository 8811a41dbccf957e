//! Measures the time of one choice of a backend server.

use std::hint;
use std::net;
use std::sync::Arc;
use std::time as duration;

use criterion::Criterion;
use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::policy;
use marjoramwing_entity::primary;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

fn make_picker(servers: u16) -> picker::BackendPicker {
    let policy = policy::DispatchPolicy::fairness();
    let mut picker = picker::BackendPicker::new(policy.choice, policy.disabled);
    let domain = name::FailureDomainName::try_from(&Arc::from("a")).expect("a valid name");
    let server = |port| pool::BackendServer {
        address: net::SocketAddr::from(([10, 0, 0, 1], port)),
        failure_domain: domain.clone(),
        slots: 9,
        draining: false,
        registered: None,
    };
    let servers: primary::PrimaryMap<_, _> = (1..=servers).map(server).collect();
    let name = name::PoolName::try_from(&Arc::from("web")).expect("a valid name");
    let addresses: Vec<_> = servers.values().map(|server| server.address).collect();
    picker.set_servers(&pool::Pool { name, servers, cold_start: None }, time::Timestamp::ZERO);
    for (index, address) in addresses.into_iter().enumerate() {
        let latency = duration::Duration::from_micros(1_000 + index as u64 % 7);
        let result = picker::ReportedResult::Answered(latency);
        picker.occupy_slot(address, None, time::Timestamp::ZERO);
        let report = picker::AttemptReport { result, open_requests: Some(index as u32 % 9) };
        picker.release_slot(address, report, time::Timestamp::ZERO);
    }
    picker
}

fn bench_choice(criterion: &mut Criterion) {
    let now = time::Timestamp::from_millis(1);
    for servers in [16, 1_000] {
        let mut picker = make_picker(servers);
        let mut seed = 0;
        criterion.bench_function(&format!("choice among {servers}"), |bencher| {
            bencher.iter(|| {
                seed += 1;
                let server = picker
                    .pick(&picker::ServerCriteria::default(), seed, now)
                    .expect("a slot is free");
                picker.occupy_slot(server, None, now);
                let report = picker::AttemptReport {
                    result: picker::ReportedResult::Cancelled,
                    open_requests: None,
                };
                picker.release_slot(hint::black_box(server), report, now);
            });
        });
    }
}

criterion::criterion_group!(benches, bench_choice);
criterion::criterion_main!(benches);
