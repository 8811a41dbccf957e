//! Opens connections to backend servers, through another instance where the own links are lost.

use std::net;
use std::sync;

use marjoramwing_dispatch::reach;
use marjoramwing_entity::time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;

use crate::backends::direct;
use crate::backends::inbound;
use crate::peers::relay;
use crate::shared;
use crate::socket;

/// An open connection to a backend server.
#[derive(Debug)]
pub struct DialedStream {
    /// Carries the bytes of the connection.
    pub stream: tokio::net::TcpStream,
    /// Region of the instance through which it goes; `None` if it is direct.
    pub relay_region: Option<sync::Arc<str>>,
    /// How the bytes of the server arrive.
    pub framing: inbound::InboundFraming,
}

/// What this instance knows of its links to the backend servers.
#[derive(Debug, Default)]
pub struct ReachControl(sync::Mutex<reach::ReachMonitor>);

impl ReachControl {
    /// Returns true if the links are lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lock().is_lost()
    }

    /// Records a sign that open connections hang.
    pub fn record_silence(&self, now: time::Timestamp) {
        self.lock().record_silence(now);
    }

    /// Returns true if a connection that was last used then may carry a request to a server.
    #[must_use]
    pub fn trusts(
        &self,
        server: net::SocketAddr,
        is_relayed: bool,
        last_used: time::Timestamp,
        now: time::Timestamp,
    ) -> bool {
        let monitor = self.lock();
        match is_relayed {
            true => monitor.trusts_relayed(server, now),
            false => monitor.trusts_direct(last_used, now),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, reach::ReachMonitor> {
        self.0.lock().expect("no task panics while it holds the state of the links")
    }
}

/// Opens a connection to a server; through an instance in one of `regions` only, if they are given.
///
/// # Errors
///
/// Returns the fault of the direct connection if the server cannot be reached in any way.
pub async fn dial(
    shared: &sync::Arc<shared::InstanceState>,
    server: net::SocketAddr,
    regions: Option<&[sync::Arc<str>]>,
) -> Result<DialedStream, direct::DialFault> {
    let plan = shared.reach.lock().plan(server, shared.now());
    let dialed = match plan {
        reach::DialPlan::DirectOnly => dial_directly(shared, server).await,
        reach::DialPlan::Direct { hedge_after } => {
            let direct = dial_directly(shared, server);
            tokio::pin!(direct);
            match tokio::time::timeout(hedge_after, &mut direct).await {
                Ok(Ok(stream)) => Ok(stream),
                Ok(Err(fault)) => dial_relayed(shared, server, regions).await.map_err(|_| fault),
                Err(_) => dial_both(shared, server, regions, direct).await,
            }
        }
        reach::DialPlan::Relayed { probes } => {
            if probes {
                let probe = sync::Arc::clone(shared);
                tokio::spawn(async move { drop(dial_directly(&probe, server).await) });
            }
            match dial_relayed(shared, server, regions).await {
                Ok(stream) => Ok(stream),
                Err(direct::DialFault::Refused) => Err(direct::DialFault::Refused),
                Err(_) => dial_directly(shared, server).await,
            }
        }
    };
    if dialed.is_err() {
        shared.reach.lock().record_dead(server, shared.now());
    }
    dialed
}

/// Waits for the first of two connections, one of which is being opened directly.
async fn dial_both(
    shared: &shared::InstanceState,
    server: net::SocketAddr,
    regions: Option<&[sync::Arc<str>]>,
    direct: impl Future<Output = Result<DialedStream, direct::DialFault>>,
) -> Result<DialedStream, direct::DialFault> {
    let relayed = dial_relayed(shared, server, regions);
    tokio::pin!(direct, relayed);
    tokio::select! {
        biased;
        dialed = &mut direct => match dialed {
            Ok(stream) => Ok(stream),
            Err(fault) => relayed.await.map_err(|_| fault),
        },
        dialed = &mut relayed => match dialed {
            Ok(stream) => Ok(stream),
            Err(_) => direct.await,
        },
    }
}

async fn dial_directly(
    shared: &shared::InstanceState,
    server: net::SocketAddr,
) -> Result<DialedStream, direct::DialFault> {
    let stream = direct::dial(&*shared.dialer, server).await?;
    socket::probe_idle(&stream);
    let change = shared.reach.lock().record_direct(server);
    if change == Some(reach::ReachChange::Regained) {
        emit!(catalogue::SERVER_LINKS_REGAINED, server = %server);
    }
    Ok(DialedStream { stream, relay_region: None, framing: inbound::InboundFraming::Direct })
}

async fn dial_relayed(
    shared: &shared::InstanceState,
    server: net::SocketAddr,
    regions: Option<&[sync::Arc<str>]>,
) -> Result<DialedStream, direct::DialFault> {
    let relayed = relay::dial(shared, server, regions).await?;
    let change = shared.reach.lock().record_relayed(server, shared.now());
    if change == Some(reach::ReachChange::Lost) {
        emit!(catalogue::SERVER_LINKS_LOST, server = %server);
        shared.dispatch.forgive_failures();
    }
    shared.metrics.relayed_connections.inc();
    let relay::RelayedStream { stream, region, framing } = relayed;
    Ok(DialedStream { stream, relay_region: Some(region), framing })
}
