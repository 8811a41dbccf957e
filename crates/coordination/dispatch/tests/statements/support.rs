//! Pools of servers that registered themselves, and answers of them.

use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::policy;
use marjoramwing_dispatch::service;
use marjoramwing_dispatch::statement;
use marjoramwing_entity::primary;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

/// Slots of each server.
pub(crate) const SLOTS: u32 = 8;

pub(crate) fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

pub(crate) fn address(server: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], server))
}

/// Returns the run of a server that started at a time.
pub(crate) fn run(server: u16, started_ms: u64) -> statement::ServerRun {
    statement::ServerRun { id: format!("i-{server}").into(), started_ms }
}

/// Returns a pool of servers, each with the start of its run.
pub(crate) fn make_pool(servers: &[(u16, u64)]) -> pool::Pool {
    let server = |(port, started_ms): &(u16, u64)| pool::BackendServer {
        address: address(*port),
        failure_domain: name::FailureDomainName::try_from(&Arc::from("a")).unwrap(),
        slots: SLOTS,
        draining: false,
        registered: Some(pool::ServerIdentity {
            id: run(*port, *started_ms).id,
            started_ms: *started_ms,
            cold_for: duration::Duration::ZERO,
        }),
    };
    let servers: primary::PrimaryMap<_, _> = servers.iter().map(server).collect();
    let name = name::PoolName::try_from(&Arc::from("web")).unwrap();
    pool::Pool { name, servers, cold_start: None }
}

/// Returns the dispatcher of an instance that is alone, with servers of run 1.
pub(crate) fn make_service(servers: &[u16]) -> service::ServiceDispatcher {
    let mut dispatcher = service::ServiceDispatcher::new(policy::DispatchPolicy::scarce_slots());
    let servers: Vec<_> = servers.iter().map(|server| (*server, 1)).collect();
    dispatcher.set_servers(&make_pool(&servers), at(0));
    dispatcher
}

/// Returns an answer that names a limit in requests per second.
pub(crate) fn limited(per_second: f64) -> statement::AnswerStatement {
    let rate = statement::RequestRate::from_milli((per_second * 1_000.0) as u64);
    let limit = statement::LimitStatement::Named(rate);
    statement::AnswerStatement { limit, ..Default::default() }
}

/// Ends a request after a service time of 100 ms.
pub(crate) fn release(
    dispatcher: &mut service::ServiceDispatcher,
    server: net::SocketAddr,
    now: time::Timestamp,
) {
    let result = picker::ReportedResult::Answered(duration::Duration::from_millis(100));
    dispatcher.release_slot(server, picker::AttemptReport { result, open_requests: None }, now);
}
