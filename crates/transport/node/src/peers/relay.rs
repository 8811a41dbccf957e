//! Opens connections to backend servers through another instance.
//!
//! The instance that has a request keeps answering for it: what is relayed is a connection, of which
//! the relaying instance sees only bytes. Each has a TCP connection of its own between the instances,
//! so that a slow one delays no other.

use std::net;
use std::sync;
use std::time as duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream;
use marjoramwing_membership::member;
use marjoramwing_peer::handshake;
use marjoramwing_peer::message;
use marjoramwing_peer::relay as messages;
use rand::seq::SliceRandom;

use crate::backends::direct;
use crate::backends::inbound;
use crate::peers::link;
use crate::shared;
use crate::socket;

/// Timeout for the whole opening of a connection through one instance.
const OPEN_TIMEOUT: duration::Duration = duration::Duration::from_millis(1_000);
/// Delay after which the next instance is asked as well.
const STAGGER: duration::Duration = duration::Duration::from_millis(120);
/// Instances that are asked for one connection.
const MAX_RELAYS: usize = 4;
/// Time for which an instance that did not reach a server is asked last.
const AVOID_TIME: duration::Duration = duration::Duration::from_secs(2);
/// Connections that an instance relays at once.
const MAX_RELAYED: usize = 512;

/// A connection to a backend server through another instance.
#[derive(Debug)]
pub struct RelayedStream {
    /// Carries the bytes of the connection.
    pub stream: tokio::net::TcpStream,
    /// Region of the relaying instance.
    pub region: sync::Arc<str>,
    /// How the relaying instance forwards what the server sends.
    pub framing: inbound::InboundFraming,
}

/// Connections that this instance relays, and the instances that it avoids.
#[derive(Debug)]
pub struct RelayControl {
    permits: tokio::sync::Semaphore,
    avoided: sync::Mutex<Vec<(net::SocketAddr, tokio::time::Instant)>>,
}

impl Default for RelayControl {
    fn default() -> Self {
        let permits = tokio::sync::Semaphore::new(MAX_RELAYED);
        Self { permits, avoided: sync::Mutex::default() }
    }
}

impl RelayControl {
    /// Returns the number of connections that are being relayed.
    #[must_use]
    pub fn relayed(&self) -> usize {
        MAX_RELAYED - self.permits.available_permits()
    }

    /// Reserves one of the connections that this instance may relay, until the permit is dropped.
    #[must_use]
    pub fn try_acquire(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        self.permits.try_acquire().ok()
    }

    fn avoid(&self, peer: net::SocketAddr) {
        self.lock().push((peer, tokio::time::Instant::now()));
    }

    fn avoided(&self) -> Vec<net::SocketAddr> {
        let mut avoided = self.lock();
        avoided.retain(|(_, since)| since.elapsed() < AVOID_TIME);
        avoided.iter().map(|(peer, _)| *peer).collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<(net::SocketAddr, tokio::time::Instant)>> {
        self.avoided.lock().expect("no task panics while it holds the avoided instances")
    }
}

/// Opens a connection to a server through another instance, in one of `regions` if they are given.
///
/// # Errors
///
/// Returns the fault if no other instance reaches the server.
pub async fn dial(
    shared: &shared::InstanceState,
    server: net::SocketAddr,
    regions: Option<&[sync::Arc<str>]>,
) -> Result<RelayedStream, direct::DialFault> {
    let candidates = choose_relays(shared, regions);
    let mut waiting = candidates.iter();
    let mut open = stream::FuturesUnordered::new();
    let mut fault = direct::DialFault::TimedOut;
    loop {
        if let Some(candidate) = waiting.next() {
            open.push(open_through(shared, candidate, server));
        }
        let ended = match waiting.len() {
            0 => open.next().await,
            _ => match tokio::time::timeout(STAGGER, open.next()).await {
                Ok(ended) => ended,
                Err(_) => continue,
            },
        };
        match ended {
            Some(Ok(stream)) => return Ok(stream),
            // Another instance would be refused as well.
            Some(Err(direct::DialFault::Refused)) => return Err(direct::DialFault::Refused),
            Some(Err(other)) => fault = other,
            None if waiting.len() == 0 => return Err(fault),
            None => {}
        }
    }
}

/// Returns the instances to ask, best first: those of the own region in another failure domain, then
/// those of the own failure domain, then others.
fn choose_relays(
    shared: &shared::InstanceState,
    regions: Option<&[sync::Arc<str>]>,
) -> Vec<member::Member> {
    let own = &shared.settings.identity;
    let avoided = shared.relays.avoided();
    let members = shared.members.load();
    let others = members.live().filter(|member| {
        member.incarnation != Some(shared.incarnation)
            && regions.is_none_or(|regions| regions.contains(&member.region))
    });
    let mut others: Vec<_> = others.cloned().collect();
    others.shuffle(&mut rand::rng());
    let distance = |member: &member::Member| {
        let is_same_region = *member.region == *own.region.as_str();
        let is_same_domain = *member.failure_domain == *own.failure_domain.as_str();
        match (is_same_region, is_same_domain) {
            (true, false) => 0,
            (_, true) => 1,
            (false, false) => 2,
        }
    };
    others.sort_by_key(|member| (avoided.contains(&member.peer_address), distance(member)));
    others.truncate(MAX_RELAYS);
    others
}

async fn open_through(
    shared: &shared::InstanceState,
    relay: &member::Member,
    server: net::SocketAddr,
) -> Result<RelayedStream, direct::DialFault> {
    let opening = tokio::time::timeout(OPEN_TIMEOUT, open_link(shared, relay.peer_address, server));
    let result = opening.await.unwrap_or(Err(direct::DialFault::TimedOut));
    if result.as_ref().is_err_and(|fault| *fault != direct::DialFault::Refused) {
        shared.relays.avoid(relay.peer_address);
    }
    let region = sync::Arc::clone(&relay.region);
    result.map(|(stream, framing)| RelayedStream { stream, region, framing })
}

async fn open_link(
    shared: &shared::InstanceState,
    peer: net::SocketAddr,
    server: net::SocketAddr,
) -> Result<(tokio::net::TcpStream, inbound::InboundFraming), direct::DialFault> {
    let failed = direct::DialFault::Failed;
    let stream = tokio::net::TcpStream::connect(peer).await.map_err(|_| failed)?;
    socket::probe_idle(&stream);
    let _ = stream.set_nodelay(true);
    let (role, purpose) = (handshake::LinkRole::Opener, message::LinkPurpose::Relay);
    let link = link::authenticate(shared, stream, role, purpose).await.map_err(|_| failed)?;
    let mut stream = link.stream;
    let request = message::Body::RelayRequest(messages::RelayRequest::new(server));
    stream.send(message::Envelope::new(request)).await.map_err(|_| failed)?;
    let Ok(Some(message::Body::RelayResult(result))) = link::receive(&mut stream).await else {
        return Err(failed);
    };
    match result.outcome() {
        messages::RelayOutcome::Connected => {}
        messages::RelayOutcome::Refused => return Err(direct::DialFault::Refused),
        _ => return Err(failed),
    }
    let parts = stream.into_parts();
    let framing = match result.sends_blocks {
        true => inbound::InboundFraming::BLOCKS,
        false => inbound::InboundFraming::Unmarked,
    };
    // The server sends nothing before the request.
    if parts.read_buf.is_empty() { Ok((parts.io, framing)) } else { Err(failed) }
}
