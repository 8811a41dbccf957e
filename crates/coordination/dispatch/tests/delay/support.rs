//! A picker of the instances of region `west` in one pool.

use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_dispatch::distance;
use marjoramwing_dispatch::mechanism;
use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::policy;
use marjoramwing_dispatch::session;
use marjoramwing_entity::primary;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

pub(crate) const SLOTS: u32 = 3;

pub(crate) fn parse_name<T: for<'a> TryFrom<&'a Arc<str>>>(text: &str) -> T {
    T::try_from(&Arc::from(text)).ok().expect("a valid name")
}

pub(crate) fn address(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, number], 80))
}

pub(crate) fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

/// A registered server: its number, failure domain and cold time in milliseconds.
pub(crate) type TestServer = (u8, &'static str, u64);

pub(crate) fn make_pool(servers: &[TestServer], started_ms: u64) -> pool::Pool {
    let servers: primary::PrimaryMap<pool::ServerKey, _> = servers
        .iter()
        .map(|(number, domain, cold_ms)| pool::BackendServer {
            address: address(*number),
            failure_domain: parse_name(domain),
            slots: SLOTS,
            draining: false,
            registered: Some(pool::ServerIdentity {
                id: format!("i-{number}").into(),
                started_ms,
                cold_for: duration::Duration::from_millis(*cold_ms),
            }),
        })
        .collect();
    pool::Pool { name: parse_name("web"), servers, cold_start: None }
}

pub(crate) fn locality_of(domain: &name::FailureDomainName) -> distance::DomainLocality {
    let locality = match domain.as_str() {
        "west-a" => distance::ServerLocality::SameDomain,
        "west-b" => distance::ServerLocality::SameRegion,
        _ => distance::ServerLocality::OtherRegion,
    };
    let region = domain.as_str().split('-').next().map(Arc::from);
    distance::DomainLocality { locality, region }
}

pub(crate) fn make_picker(servers: &[TestServer]) -> picker::BackendPicker {
    let disabled = mechanism::DisabledMechanism::Nothing;
    let mut picker = picker::BackendPicker::new(policy::ChoiceRule::ExpectedDelay, disabled);
    picker.set_servers(&make_pool(servers, 1), at(0));
    picker.set_localities(&locality_of);
    picker
}

pub(crate) fn pick(
    picker: &picker::BackendPicker,
    criteria: &picker::ServerCriteria<'_>,
    now: u64,
) -> Option<u8> {
    match picker.pick(criteria, now, at(now))? {
        net::SocketAddr::V4(address) => Some(address.ip().octets()[3]),
        net::SocketAddr::V6(_) => None,
    }
}

pub(crate) fn session_criteria(session: &str) -> picker::ServerCriteria<'static> {
    let session = Some(session::SessionKey::of(session));
    picker::ServerCriteria { session, ..Default::default() }
}
