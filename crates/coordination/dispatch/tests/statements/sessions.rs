//! Sessions, cold servers and regions beside what a server says of itself.
//!
//! Guards against requests that reach a server which leaves or asks for time since their session is
//! bound to it, and against cold servers or regions that get more than their bound since the others
//! take none.

use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_dispatch::distance;
use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::service;
use marjoramwing_dispatch::session;
use marjoramwing_dispatch::statement;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

use crate::support;

const SERVERS: [u16; 4] = [1, 2, 3, 4];

fn say(
    dispatcher: &mut service::ServiceDispatcher,
    server: net::SocketAddr,
    said: statement::AnswerStatement,
    now_ms: u64,
) {
    let run = support::run(server.port(), 1);
    dispatcher.record_answer(server, Some(&run), said, support::at(now_ms));
}

fn leaving() -> statement::AnswerStatement {
    statement::AnswerStatement { is_leaving: true, ..Default::default() }
}

fn paused(millis: u64) -> statement::AnswerStatement {
    let pause = Some(duration::Duration::from_millis(millis));
    statement::AnswerStatement { pause, ..Default::default() }
}

/// Sends one request of a session and returns the server that gets it.
fn send(
    dispatcher: &mut service::ServiceDispatcher,
    session: session::SessionKey,
    now_ms: u64,
) -> Option<net::SocketAddr> {
    let criteria = picker::ServerCriteria { session: Some(session), ..Default::default() };
    let server = dispatcher.try_acquire_slot(&criteria, now_ms, support::at(now_ms))?;
    support::release(dispatcher, server, support::at(now_ms));
    Some(server)
}

/// Returns a service, a session, and the server to which that is bound.
fn bound(number: u64) -> (service::ServiceDispatcher, session::SessionKey, net::SocketAddr) {
    let mut dispatcher = support::make_service(&SERVERS);
    let session = session::SessionKey::of(&format!("session-{number}"));
    let servers: Vec<_> =
        (0..10).map(|step| send(&mut dispatcher, session, 500 + step).unwrap()).collect();
    assert!(servers.iter().all(|server| *server == servers[9]), "the session is not bound");
    (dispatcher, session, servers[9])
}

fn edit_server(
    pool: &mut pool::Pool,
    address: net::SocketAddr,
    edit: impl Fn(&mut pool::BackendServer),
) {
    let servers = pool.servers.values().cloned().map(|mut server| {
        if server.address == address {
            edit(&mut server);
        }
        server
    });
    pool.servers = servers.collect();
}

#[test]
fn session_leaves_a_server_that_leaves() {
    for number in 0..20 {
        let (mut dispatcher, session, server) = bound(number);
        say(&mut dispatcher, server, leaving(), 1_000);
        for now_ms in (1_000..60_000).step_by(100) {
            assert_ne!(send(&mut dispatcher, session, now_ms), Some(server));
        }
    }
}

#[test]
fn session_leaves_a_server_that_asks_for_time_and_may_return() {
    for number in 0..20 {
        let (mut dispatcher, session, server) = bound(number);
        say(&mut dispatcher, server, paused(2_000), 1_000);
        for now_ms in (1_000..3_000).step_by(20) {
            let other = send(&mut dispatcher, session, now_ms);
            assert!(other.is_some_and(|other| other != server), "{other:?}");
        }
        let returns = (3_000..60_000)
            .step_by(20)
            .any(|now_ms| send(&mut dispatcher, session, now_ms) == Some(server));
        assert!(returns, "the session never returned to a server that takes requests again");
    }
}

/// The only server that takes requests is cold; it gets no more than its rate, in a second.
#[test]
fn cold_server_beside_servers_that_ask_for_time_is_not_flooded() {
    const COLD_RATE: u32 = 5;
    let mut pool = support::make_pool(&[(1, 1), (2, 1), (3, 1)]);
    let cold = support::address(3);
    edit_server(&mut pool, cold, |server| {
        let registered = server.registered.as_mut().unwrap();
        registered.cold_for = duration::Duration::from_secs(60);
    });
    let mut dispatcher = support::make_service(&[]);
    dispatcher.set_servers(&pool, support::at(0));
    dispatcher.set_cold_rates(&|_| COLD_RATE);
    say(&mut dispatcher, support::address(1), paused(30_000), 1_000);
    say(&mut dispatcher, support::address(2), paused(30_000), 1_000);
    let criteria = picker::ServerCriteria::default();
    let mut sent: Vec<u64> = Vec::new();
    for now_ms in 1_000..20_000 {
        let slot = dispatcher.try_acquire_slot(&criteria, now_ms, support::at(now_ms));
        if let Some(server) = slot {
            assert_eq!(server, cold);
            sent.push(now_ms);
            support::release(&mut dispatcher, server, support::at(now_ms));
        }
    }
    let within =
        |first: &u64| sent.iter().filter(|at| (*first..first + 1_000).contains(*at)).count();
    let most = sent.iter().map(within).max();
    assert!(most <= Some(COLD_RATE as usize + 1), "{most:?} requests in a second");
    assert!(sent.len() >= 19 * (COLD_RATE as usize) / 2, "only {} requests", sent.len());
}

/// Requests that return to the local region step by step are not sent to a remote server that leaves,
/// or that asks for time, for the sake of the step.
#[test]
fn remote_server_that_takes_no_requests_holds_back_none() {
    for said in [leaving(), paused(60_000)] {
        let mut pool = support::make_pool(&[(1, 1), (2, 1)]);
        let remote = support::address(2);
        let elsewhere = name::FailureDomainName::try_from(&Arc::from("elsewhere")).unwrap();
        edit_server(&mut pool, remote, |server| server.failure_domain = elsewhere.clone());
        let mut dispatcher = support::make_service(&[]);
        dispatcher.set_servers(&pool, support::at(0));
        dispatcher.set_localities(&|domain| match domain.as_str() {
            "elsewhere" => distance::DomainLocality {
                locality: distance::ServerLocality::OtherRegion,
                region: Some("far".into()),
            },
            _ => distance::DomainLocality {
                locality: distance::ServerLocality::SameRegion,
                region: Some("near".into()),
            },
        });
        dispatcher.limit_failback(0.09);
        let new_session = |now_ms: u64| session::SessionKey::of(&format!("session-{now_ms}"));
        say(&mut dispatcher, support::address(1), paused(4_000), 0);
        for now_ms in (0..4_000).step_by(10) {
            assert_eq!(send(&mut dispatcher, new_session(now_ms), now_ms), Some(remote));
        }
        // The local server takes requests again, but most stay remote for now.
        let stay = (4_000..4_500).step_by(10);
        let stay = stay
            .filter(|now_ms| send(&mut dispatcher, new_session(*now_ms), *now_ms) == Some(remote));
        assert!(stay.count() >= 40, "the return to the local region is not limited");
        say(&mut dispatcher, remote, said, 4_500);
        for now_ms in (4_500..20_000).step_by(10) {
            let server = send(&mut dispatcher, new_session(now_ms), now_ms);
            assert_eq!(server, Some(support::address(1)), "at {now_ms} ms");
        }
    }
}
