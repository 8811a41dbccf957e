//! All links of an instance.

use std::collections;
use std::net;
use std::sync;
use std::time;

use futures_util::SinkExt;
use futures_util::StreamExt;
use marjoramwing_entity::incarnation;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_peer::handshake;
use marjoramwing_peer::message;
use tokio::sync::mpsc;

use crate::peers::link;
use crate::shared;

/// Envelopes that wait for one link.
const LINK_QUEUE: usize = 256;
/// Received envelopes that wait for the control task.
pub const INBOX_QUEUE: usize = 4_096;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time after which an unused link is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

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

/// Sends envelopes to peers, opening links as needed.
///
/// Sending never waits: an envelope for a link that is full or broken is lost,
/// and the protocols above send again.
#[derive(Debug, Clone)]
pub struct PeerMesh {
    shared: sync::Arc<shared::SharedTables>,
    links: sync::Arc<sync::Mutex<LinkTable>>,
    inbox: mpsc::Sender<ReceivedEnvelope>,
}

type LinkTable = collections::HashMap<net::SocketAddr, mpsc::Sender<message::Body>>;

impl PeerMesh {
    /// Makes a mesh without links that hands received envelopes to `inbox`.
    #[must_use]
    pub fn new(
        shared: sync::Arc<shared::SharedTables>,
        inbox: mpsc::Sender<ReceivedEnvelope>,
    ) -> Self {
        Self { shared, links: sync::Arc::default(), inbox }
    }

    /// Queues an envelope for a peer.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the table of links.
    pub fn send(&self, address: net::SocketAddr, body: message::Body) {
        let mut links = self.links.lock().expect("no task panics while it holds the links");
        let link = links.entry(address).or_insert_with(|| self.open(address));
        if let Err(mpsc::error::TrySendError::Closed(body)) = link.try_send(body) {
            *link = self.open(address);
            let _ = link.try_send(body);
        }
    }

    /// Closes the link to a peer, so that the next envelope opens a new one.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the table of links.
    pub fn reset(&self, address: net::SocketAddr) {
        let mut links = self.links.lock().expect("no task panics while it holds the links");
        links.remove(&address);
    }

    /// Accepts links of peers until the task is cancelled.
    pub async fn accept_links(self, listener: tokio::net::TcpListener) {
        loop {
            let Ok((stream, address)) = listener.accept().await else {
                continue;
            };
            let mesh = self.clone();
            tokio::spawn(async move {
                let role = handshake::LinkRole::Acceptor;
                match link::shake_hands(&mesh.shared, stream, role).await {
                    Ok(proven) => mesh.receive_all(proven).await,
                    Err(error) => emit!(catalogue::PEER_REFUSED, peer = %address, error = %error),
                }
            });
        }
    }

    fn open(&self, address: net::SocketAddr) -> mpsc::Sender<message::Body> {
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        let mesh = self.clone();
        tokio::spawn(async move { mesh.run_link(address, receiver).await });
        sender
    }

    async fn run_link(&self, address: net::SocketAddr, queue: mpsc::Receiver<message::Body>) {
        let connect = tokio::net::TcpStream::connect(address);
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        match link::shake_hands(&self.shared, stream, handshake::LinkRole::Opener).await {
            Ok(proven) => {
                emit!(catalogue::PEER_CONNECTED, peer = %address);
                self.carry(proven, queue).await;
                emit!(catalogue::PEER_DISCONNECTED, peer = %address);
            }
            Err(error) => emit!(catalogue::PEER_REFUSED, peer = %address, error = %error),
        }
    }

    async fn carry(&self, link: link::ProvenLink, mut queue: mpsc::Receiver<message::Body>) {
        let (mut sink, mut stream) = link.stream.split();
        loop {
            tokio::select! {
                queued = tokio::time::timeout(IDLE_TIMEOUT, queue.recv()) => {
                    let Ok(Some(body)) = queued else { return };
                    self.shared.metrics.peer_frames.with_label_values(&["sent"]).inc();
                    if sink.send(message::Envelope::new(body)).await.is_err() {
                        return;
                    }
                }
                // An opener's link carries no envelopes back: this only notices its end.
                _ = stream.next() => return,
            }
        }
    }

    async fn receive_all(&self, mut link: link::ProvenLink) {
        let from = incarnation::Incarnation::from_u64(link.hello.incarnation);
        let address = link.hello.peer_address.parse().ok();
        while let Some(Ok(envelope)) = link.stream.next().await {
            self.shared.metrics.peer_frames.with_label_values(&["received"]).inc();
            let Some(body) = envelope.body else { continue };
            let received = ReceivedEnvelope { from, address, body };
            if self.inbox.send(received).await.is_err() {
                return;
            }
        }
    }
}
