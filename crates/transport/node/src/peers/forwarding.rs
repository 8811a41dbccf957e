//! Forwards the connections of other instances to backend servers.
//!
//! Invariants: an instance relays only to a server that it knows, by a direct connection; only the
//! server's regular end of a connection is one towards the opener, so that a response without a
//! length never looks complete when the server, this process or the link fails.

use std::io;
use std::net;
use std::time as duration;

use futures_util::SinkExt;
use marjoramwing_peer::block;
use marjoramwing_peer::message;
use marjoramwing_peer::relay as messages;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp;

use crate::backends::direct;
use crate::peers::link;
use crate::shared;
use crate::socket;

/// Timeout for the opener's request.
const REQUEST_TIMEOUT: duration::Duration = duration::Duration::from_millis(1_000);
/// Timeout for connecting to the server on behalf of another instance.
const DIAL_TIMEOUT: duration::Duration = duration::Duration::from_millis(400);
/// Time after which a relayed connection ends whose opener does not acknowledge what the server sent.
///
/// A slow caller may keep the opener from reading for some time.
const OPENER_ACK_TIMEOUT: duration::Duration = duration::Duration::from_secs(30);
/// Size of the buffer for each direction of a relayed connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Connects an accepted link to the backend server that its opener names, until either end closes.
pub async fn serve(shared: &shared::InstanceState, link: link::AuthenticatedLink) {
    let mut stream = link.stream;
    let request = tokio::time::timeout(REQUEST_TIMEOUT, link::receive(&mut stream)).await;
    let Ok(Ok(Some(message::Body::RelayRequest(request)))) = request else { return };
    let permit = shared.relays.try_acquire();
    let dialed = match (request.address(), &permit) {
        (Some(server), Some(_)) => dial_server(shared, server).await,
        (Some(_), None) => Err(messages::RelayOutcome::Unreachable),
        (None, _) => Err(messages::RelayOutcome::UnknownServer),
    };
    let outcome = match &dialed {
        Ok(_) => messages::RelayOutcome::Connected,
        Err(outcome) => *outcome,
    };
    let sends_blocks = request.accepts_blocks;
    let result = messages::RelayResult { outcome: outcome.into(), sends_blocks };
    let sent = stream.send(message::Envelope::new(message::Body::RelayResult(result))).await;
    if let (Ok(server), Ok(())) = (dialed, sent) {
        let parts = stream.into_parts();
        forward(parts.io, &parts.read_buf, server, sends_blocks).await;
    }
}

async fn dial_server(
    shared: &shared::InstanceState,
    server: net::SocketAddr,
) -> Result<tokio::net::TcpStream, messages::RelayOutcome> {
    if !shared.dispatch.has_server(server) {
        return Err(messages::RelayOutcome::UnknownServer);
    }
    if shared.reach.is_lost() || shared.is_leaving() {
        return Err(messages::RelayOutcome::Unreachable);
    }
    let dialing = direct::dial(&*shared.dialer, server);
    match tokio::time::timeout(DIAL_TIMEOUT, dialing).await {
        Ok(Ok(stream)) => {
            socket::probe_idle(&stream);
            let _ = stream.set_nodelay(true);
            Ok(stream)
        }
        Ok(Err(direct::DialFault::Refused)) => Err(messages::RelayOutcome::Refused),
        Ok(Err(_)) | Err(_) => Err(messages::RelayOutcome::Unreachable),
    }
}

/// Forwards bytes in both directions until either end closes; the other one is closed then, since a
/// caller that leaves closes its connection and the server must notice.
async fn forward(
    mut opener: tokio::net::TcpStream,
    received: &[u8],
    mut server: tokio::net::TcpStream,
    sends_blocks: bool,
) {
    socket::probe_idle(&opener);
    socket::set_ack_timeout(&opener, Some(OPENER_ACK_TIMEOUT));
    if !sends_blocks {
        // The system closes the sockets of a process that ends. An opener that sees no end mark must
        // not take that for the end of a response, so any close is a reset until the server's own.
        socket::reset_on_close(&opener);
    }
    if server.write_all(received).await.is_err() {
        return;
    }
    let is_closed_by_server = {
        let monitor = socket::AckMonitor::default();
        let (opener_read, opener_write) = opener.split();
        let (server_read, server_write) = server.split();
        let requests = forward_requests(opener_read, server_write, &monitor);
        let responses = forward_responses(server_read, opener_write, &monitor, sends_blocks);
        tokio::select! {
            () = requests => false,
            ended = responses => ended.is_ok(),
        }
    };
    if is_closed_by_server || sends_blocks {
        socket::flush_on_close(&opener);
        let _ = opener.shutdown().await;
    }
}

/// Forwards requests until the opener closes; discards what the server does not take, since it may
/// have responded before it closed.
async fn forward_requests(
    mut opener: tcp::ReadHalf<'_>,
    mut server: tcp::WriteHalf<'_>,
    monitor: &socket::AckMonitor,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_taken = true;
    while let Ok(length @ 1..) = opener.read(&mut buffer).await {
        if is_taken {
            monitor.record_sent(server.as_ref(), length);
            is_taken = server.write_all(&buffer[..length]).await.is_ok();
        }
    }
}

/// Forwards responses until the server closes the connection, and then the end mark.
///
/// # Errors
///
/// Returns an error if either connection fails.
async fn forward_responses(
    mut server: tcp::ReadHalf<'_>,
    mut opener: tcp::WriteHalf<'_>,
    monitor: &socket::AckMonitor,
    sends_blocks: bool,
) -> io::Result<()> {
    let header_bytes = if sends_blocks { block::HEADER_BYTES } else { 0 };
    let mut buffer = vec![0; header_bytes + BUFFER_BYTES];
    loop {
        let length = server.read(&mut buffer[header_bytes..]).await?;
        match (length, sends_blocks) {
            (0, true) => return opener.write_all(&block::END_MARK).await,
            (0, false) => return Ok(()),
            (_, true) => buffer[..header_bytes].copy_from_slice(&block::encode_header(length)),
            (_, false) => {}
        }
        monitor.record_received();
        opener.write_all(&buffer[..header_bytes + length]).await?;
    }
}
