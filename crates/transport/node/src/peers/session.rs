//! Exchanges envelopes over one authenticated link.
//!
//! Both ends send an empty envelope as a heartbeat when they have sent nothing
//! for a while. A link that receives nothing for longer is unresponsive and is closed.

use std::net;
use std::sync;
use std::time;

use futures_util::SinkExt;
use futures_util::StreamExt;
use marjoramwing_entity::incarnation;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_peer::frame;
use marjoramwing_peer::handshake;
use marjoramwing_peer::message;
use tokio::sync::mpsc;

use crate::peers::link;
use crate::shared;

/// An envelope received from a peer.
#[derive(Debug)]
pub struct ReceivedEnvelope {
    /// Incarnation of the peer.
    pub from: incarnation::Incarnation,
    /// Peer address that the sender claims; `None` if it cannot be parsed.
    pub address: Option<net::SocketAddr>,
    /// Message in the envelope.
    pub body: message::Body,
}

/// Time limits of a link, and maximum numbers of links.
#[derive(Debug, Clone, Copy)]
pub struct LinkLimits {
    /// Time without a sent frame after which an end sends a heartbeat.
    pub heartbeat_interval: time::Duration,
    /// Time without a received frame after which a link is unresponsive.
    pub receive_timeout: time::Duration,
    /// Time without a message in either direction after which the opener closes a link.
    pub idle_timeout: time::Duration,
    /// Time limit for writing a frame to the socket.
    pub write_timeout: time::Duration,
    /// Maximum number of links that this instance sends on.
    pub max_links: usize,
    /// Maximum number of accepted connections open at once.
    pub max_accepted: usize,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            heartbeat_interval: time::Duration::from_secs(3),
            receive_timeout: time::Duration::from_secs(8),
            idle_timeout: time::Duration::from_secs(15),
            write_timeout: time::Duration::from_secs(2),
            max_links: 128,
            max_accepted: 1_024,
        }
    }
}

/// Why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// Either end closed it, or it was idle or removed from the table, or reading or writing a frame
    /// failed, or writing timed out.
    Closed,
    /// No frame was received within the receive timeout.
    Unresponsive,
}

/// Runs one authenticated link.
#[derive(Debug)]
pub struct LinkSession {
    /// State of the instance, for its metrics.
    pub shared: sync::Arc<shared::InstanceState>,
    /// Time limits.
    pub limits: LinkLimits,
    /// Which end of the link this process is.
    pub role: handshake::LinkRole,
    /// Queue for received envelopes.
    pub inbox: mpsc::Sender<ReceivedEnvelope>,
}

/// Times of the last activity on a link.
struct LinkActivity {
    /// Last received frame.
    received: tokio::time::Instant,
    /// Last sent frame.
    sent: tokio::time::Instant,
    /// Last frame in either direction other than a heartbeat.
    message: tokio::time::Instant,
}

impl LinkSession {
    /// Sends queued envelopes and delivers received ones until the link ends.
    pub async fn run(
        &self,
        link: link::AuthenticatedLink,
        mut queue: mpsc::Receiver<message::Body>,
    ) -> LinkEnd {
        self.shared.metrics.peer_links.inc();
        let end = self.run_link(link, &mut queue).await;
        self.shared.metrics.peer_links.dec();
        if end == LinkEnd::Unresponsive {
            emit!(catalogue::PEER_SILENT);
        }
        end
    }

    async fn run_link(
        &self,
        link: link::AuthenticatedLink,
        queue: &mut mpsc::Receiver<message::Body>,
    ) -> LinkEnd {
        let from = incarnation::Incarnation::from_u64(link.hello.incarnation);
        let address = link.hello.peer_address.parse().ok();
        let (mut sink, mut stream) = link.stream.split();
        let start = tokio::time::Instant::now();
        let mut activity = LinkActivity { received: start, sent: start, message: start };
        let mut ticks = tokio::time::interval(self.limits.heartbeat_interval / 2);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                queued = queue.recv() => {
                    let Some(body) = queued else { return LinkEnd::Closed };
                    activity.message = tokio::time::Instant::now();
                    let sent = self.write(&mut sink, message::Envelope::new(body)).await;
                    let Ok(()) = sent else { return LinkEnd::Closed };
                    activity.sent = tokio::time::Instant::now();
                }
                received = stream.next() => {
                    let Some(Ok(envelope)) = received else { return LinkEnd::Closed };
                    activity.received = tokio::time::Instant::now();
                    self.count("received", &envelope);
                    if let Some(body) = envelope.body {
                        activity.message = activity.received;
                        self.deliver(ReceivedEnvelope { from, address, body });
                    }
                }
                _ = ticks.tick() => {
                    if let Some(end) = self.check_timeouts(&activity) {
                        return end;
                    }
                    if activity.sent.elapsed() >= self.limits.heartbeat_interval {
                        let sent = self.write(&mut sink, message::Envelope::heartbeat()).await;
                        let Ok(()) = sent else { return LinkEnd::Closed };
                        activity.sent = tokio::time::Instant::now();
                    }
                }
            }
        }
    }

    fn check_timeouts(&self, activity: &LinkActivity) -> Option<LinkEnd> {
        let is_idle = activity.message.elapsed() >= self.limits.idle_timeout;
        if self.role == handshake::LinkRole::Opener && is_idle {
            return Some(LinkEnd::Closed);
        }
        (activity.received.elapsed() >= self.limits.receive_timeout)
            .then_some(LinkEnd::Unresponsive)
    }

    async fn write<S>(&self, sink: &mut S, envelope: message::Envelope) -> Result<(), LinkEnd>
    where
        S: futures_util::Sink<message::Envelope, Error = frame::FrameError> + Unpin,
    {
        self.count("sent", &envelope);
        match tokio::time::timeout(self.limits.write_timeout, sink.send(envelope)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(LinkEnd::Closed),
            Err(_) => Err(LinkEnd::Unresponsive),
        }
    }

    fn deliver(&self, received: ReceivedEnvelope) {
        if self.inbox.try_send(received).is_err() {
            self.shared.metrics.peer_lost.inc();
        }
    }

    fn count(&self, direction: &str, envelope: &message::Envelope) {
        let metrics = &self.shared.metrics;
        metrics.peer_frames.with_label_values(&[direction]).inc();
        metrics.peer_bytes.with_label_values(&[direction]).inc_by(frame::frame_bytes(envelope));
    }
}
