//! Finds out whether a backend server ended under the requests that it ran.
//!
//! A connection may break for many reasons: a reset on the way, a server that is at its limit of
//! connections, an instance that has lost its links. A server has ended if it refuses a new connection
//! while another server of its service accepts one. An instance that has lost its links asks another
//! instance for both.

use std::collections;
use std::net;
use std::sync;
use std::time as duration;

use futures_util::FutureExt;
use futures_util::future;
use futures_util::stream;
use futures_util::stream::StreamExt;
use marjoramwing_dispatch::statement;
use marjoramwing_dispatch::suspect;
use marjoramwing_entity::time;

use crate::backends::dial;
use crate::backends::direct;
use crate::backends::service;
use crate::shared;

/// Timeout of a probe; a server that does not answer by then may be cut off.
const PROBE_TIMEOUT: duration::Duration = duration::Duration::from_millis(600);
/// Time for which the result of an investigation is shared by the requests that broke off together.
const RESULT_VALIDITY: duration::Duration = duration::Duration::from_secs(1);
/// Other servers that are probed.
const CONTROLS: usize = 2;
/// Two instances agree on the end of a server that did not register itself if they see it in the same
/// part of this length.
const UNREGISTERED_PERIOD_MS: u64 = 4_000;

/// A server at which a request broke off.
#[derive(Debug, Clone)]
pub(crate) struct BrokenServer {
    pub(crate) address: net::SocketAddr,
    pub(crate) run: Option<statement::ServerRun>,
    pub(crate) service: sync::Arc<service::ServiceControl>,
}

/// The investigations of the last second, by the address of the server.
#[derive(Debug, Default)]
pub(crate) struct InvestigationTable {
    recent: sync::Mutex<collections::HashMap<net::SocketAddr, RecentInvestigation>>,
}

type SharedResult = future::Shared<future::BoxFuture<'static, bool>>;

#[derive(Debug, Clone)]
struct RecentInvestigation {
    started_at: time::Timestamp,
    result: SharedResult,
}

impl InvestigationTable {
    /// Returns the end of the server's run if it has ended.
    pub(crate) async fn find_crash(
        &self,
        server: &BrokenServer,
        shared: &sync::Arc<shared::InstanceState>,
    ) -> Option<suspect::CrashId> {
        let ended = self.start(server, shared).await;
        let is_unplanned = || server.service.is_in_service(server.address, server.run.as_ref());
        if !ended || !is_unplanned() {
            return None;
        }
        server.service.record_end(server.address, server.run.as_ref());
        Some(server.crash_id())
    }

    fn start(
        &self,
        server: &BrokenServer,
        shared: &sync::Arc<shared::InstanceState>,
    ) -> SharedResult {
        let now = shared.now();
        let mut recent = self.recent.lock().expect("no task panics while it holds the table");
        recent.retain(|_, recent| now.since(recent.started_at) < RESULT_VALIDITY);
        let investigation = recent.entry(server.address).or_insert_with(|| {
            let controls = server.service.others_in_service(server.address, CONTROLS);
            let shared = sync::Arc::clone(shared);
            let result = investigate(shared, server.address, controls).boxed().shared();
            RecentInvestigation { started_at: now, result }
        });
        investigation.result.clone()
    }
}

impl BrokenServer {
    fn crash_id(&self) -> suspect::CrashId {
        match &self.run {
            Some(run) => suspect::CrashId::new(&run.id, run.started_ms),
            None => {
                let since_epoch = duration::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
                let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
                let period = millis / UNREGISTERED_PERIOD_MS;
                suspect::CrashId::new(&self.address.to_string(), period)
            }
        }
    }
}

/// How a server is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeWay {
    /// By the own link only, which is sooner.
    Direct,
    /// As connections are opened, through another instance where the own links are lost.
    Any,
}

/// How a server meets a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    Accepted,
    Refused,
    Unanswered,
}

async fn investigate(
    shared: sync::Arc<shared::InstanceState>,
    address: net::SocketAddr,
    controls: Vec<net::SocketAddr>,
) -> bool {
    let is_relayed = shared.reach.trusts(address, true, shared.now(), shared.now());
    let target_way = if is_relayed { ProbeWay::Any } else { ProbeWay::Direct };
    let target = probe(&shared, address, target_way);
    let is_alone = controls.is_empty();
    let controls: stream::FuturesUnordered<_> =
        controls.into_iter().map(|address| probe(&shared, address, ProbeWay::Any)).collect();
    let accepted = controls.any(|result| future::ready(result == ProbeResult::Accepted));
    let (target, accepted) = future::join(target, accepted).await;
    target == ProbeResult::Refused && (accepted || is_alone)
}

async fn probe(
    shared: &sync::Arc<shared::InstanceState>,
    address: net::SocketAddr,
    way: ProbeWay,
) -> ProbeResult {
    let dialing = async {
        match way {
            ProbeWay::Direct => direct::dial(&*shared.dialer, address).await.map(drop),
            ProbeWay::Any => dial::dial(shared, address, None).await.map(drop),
        }
    };
    match tokio::time::timeout(PROBE_TIMEOUT, dialing).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(direct::DialFault::Refused)) => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::Unanswered,
    }
}
