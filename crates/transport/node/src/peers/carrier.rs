//! Carries envelopes over one proven link.
//!
//! Both ends send an empty envelope when they have sent nothing for a while,
//! so a link that carries nothing for longer has gone silent and is closed.

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

/// An envelope from a peer.
#[derive(Debug)]
pub struct ReceivedEnvelope {
    /// Run of the peer's process.
    pub from: incarnation::Incarnation,
    /// Peer address that the sender gave.
    pub address: Option<net::SocketAddr>,
    /// What was sent.
    pub body: message::Body,
}

/// Periods and bounds of the links.
#[derive(Debug, Clone, Copy)]
pub struct LinkLimits {
    /// Time after which an end that sent nothing sends a heartbeat.
    pub heartbeat: time::Duration,
    /// Time without any frame after which a link has gone silent.
    pub silence: time::Duration,
    /// Time without any message after which the opener closes a link.
    pub idle: time::Duration,
    /// Longest wait until a frame is handed to the socket.
    pub write: time::Duration,
    /// Links that this instance sends on.
    pub max_links: usize,
    /// Connections that this instance accepts at once.
    pub max_accepted: usize,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            heartbeat: time::Duration::from_secs(3),
            silence: time::Duration::from_secs(8),
            idle: time::Duration::from_secs(15),
            write: time::Duration::from_secs(2),
            max_links: 128,
            max_accepted: 1_024,
        }
    }
}

/// Why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// The other end or this one closed it.
    Closed,
    /// Nothing came from the other end for long.
    Silent,
}

/// One proven link and what it serves.
#[derive(Debug)]
pub struct LinkCarrier {
    /// Tables of the instance, for metrics.
    pub shared: sync::Arc<shared::SharedTables>,
    /// Periods and bounds.
    pub limits: LinkLimits,
    /// Which end this process is.
    pub role: handshake::LinkRole,
    /// Takes received envelopes.
    pub inbox: mpsc::Sender<ReceivedEnvelope>,
}

/// When a link last carried something.
struct LinkActivity {
    received: tokio::time::Instant,
    sent: tokio::time::Instant,
    message: tokio::time::Instant,
}

impl LinkCarrier {
    /// Carries envelopes both ways until the link ends.
    pub async fn carry(
        &self,
        link: link::ProvenLink,
        mut queue: mpsc::Receiver<message::Body>,
    ) -> LinkEnd {
        self.shared.metrics.peer_links.inc();
        let end = self.carry_all(link, &mut queue).await;
        self.shared.metrics.peer_links.dec();
        if end == LinkEnd::Silent {
            emit!(catalogue::PEER_SILENT);
        }
        end
    }

    async fn carry_all(
        &self,
        link: link::ProvenLink,
        queue: &mut mpsc::Receiver<message::Body>,
    ) -> LinkEnd {
        let from = incarnation::Incarnation::from_u64(link.hello.incarnation);
        let address = link.hello.peer_address.parse().ok();
        let (mut sink, mut stream) = link.stream.split();
        let start = tokio::time::Instant::now();
        let mut activity = LinkActivity { received: start, sent: start, message: start };
        let mut ticks = tokio::time::interval(self.limits.heartbeat / 2);
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
                    if let Some(end) = self.judge(&activity) {
                        return end;
                    }
                    if activity.sent.elapsed() >= self.limits.heartbeat {
                        let sent = self.write(&mut sink, message::Envelope::heartbeat()).await;
                        let Ok(()) = sent else { return LinkEnd::Closed };
                        activity.sent = tokio::time::Instant::now();
                    }
                }
            }
        }
    }

    fn judge(&self, activity: &LinkActivity) -> Option<LinkEnd> {
        let is_idle = activity.message.elapsed() >= self.limits.idle;
        if self.role == handshake::LinkRole::Opener && is_idle {
            return Some(LinkEnd::Closed);
        }
        (activity.received.elapsed() >= self.limits.silence).then_some(LinkEnd::Silent)
    }

    async fn write<S>(&self, sink: &mut S, envelope: message::Envelope) -> Result<(), LinkEnd>
    where
        S: futures_util::Sink<message::Envelope, Error = frame::FrameError> + Unpin,
    {
        self.count("sent", &envelope);
        match tokio::time::timeout(self.limits.write, sink.send(envelope)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(LinkEnd::Closed),
            Err(_) => Err(LinkEnd::Silent),
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
