//! The links of an instance to all its peers.

use std::net;
use std::sync;
use std::time;

use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_peer::handshake;
use marjoramwing_peer::message;
use tokio::sync::mpsc;

use crate::peers::forwarding;
use crate::peers::link;
use crate::peers::session;
use crate::peers::table;
use crate::shared;

/// Capacity of a link's send queue.
const LINK_QUEUE: usize = 256;
/// Capacity of the queue of received envelopes.
pub const INBOX_QUEUE: usize = 4_096;
/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Delay after a connection could not be accepted.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Sends envelopes to peers, opening links as needed.
///
/// Sending never blocks: an envelope is dropped if its link has failed or its queue
/// is full, and the protocols above retransmit. A link carries envelopes in both
/// directions, whichever end opened it.
#[derive(Debug, Clone)]
pub struct PeerMesh {
    shared: sync::Arc<shared::InstanceState>,
    links: sync::Arc<sync::Mutex<table::LinkTable>>,
    inbox: mpsc::Sender<session::ReceivedEnvelope>,
    limits: session::LinkLimits,
}

impl PeerMesh {
    /// Creates a mesh without links that delivers received envelopes to `inbox`.
    #[must_use]
    pub fn new(
        shared: sync::Arc<shared::InstanceState>,
        inbox: mpsc::Sender<session::ReceivedEnvelope>,
    ) -> Self {
        Self::with_limits(shared, inbox, session::LinkLimits::default())
    }

    /// Creates a mesh with other limits than the default.
    #[must_use]
    pub fn with_limits(
        shared: sync::Arc<shared::InstanceState>,
        inbox: mpsc::Sender<session::ReceivedEnvelope>,
        limits: session::LinkLimits,
    ) -> Self {
        let links = table::LinkTable::new(limits.max_links);
        Self { shared, links: sync::Arc::new(sync::Mutex::new(links)), inbox, limits }
    }

    /// Queues an envelope for a peer.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the table of links.
    pub fn send(&self, address: net::SocketAddr, body: message::Body) {
        let queue = {
            let mut links = self.lock();
            links.get(address).unwrap_or_else(|| self.open(address, &mut links))
        };
        if queue.try_send(body).is_err() {
            self.shared.metrics.peer_lost.inc();
        }
    }

    /// Queues an envelope for each other instance that is known.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the table of links.
    pub fn send_to_others(&self, body: &message::Body) {
        for member in &self.shared.members.load().members {
            if member.incarnation.is_some_and(|other| other != self.shared.incarnation) {
                self.send(member.peer_address, body.clone());
            }
        }
    }

    /// Closes the link to a peer, so that the next envelope opens a new one.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the table of links.
    pub fn reset(&self, address: net::SocketAddr) {
        self.lock().remove(address);
    }

    /// Returns the number of links that this instance sends on.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the table of links.
    #[must_use]
    pub fn link_count(&self) -> usize {
        self.lock().len()
    }

    /// Accepts links from peers until the task is cancelled.
    pub async fn accept_links(self, listener: tokio::net::TcpListener) {
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(self.limits.max_accepted));
        loop {
            let Ok(permit) = sync::Arc::clone(&permits).acquire_owned().await else { return };
            let Ok((stream, address)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let mesh = self.clone();
            tokio::spawn(async move {
                mesh.run_accepted(stream, address).await;
                drop(permit);
            });
        }
    }

    fn open(&self, address: net::SocketAddr, links: &mut table::LinkTable) -> table::LinkQueue {
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        let number = links.insert(address, sender.clone());
        let mesh = self.clone();
        tokio::spawn(async move {
            mesh.run_opened(address, receiver).await;
            mesh.lock().remove_number(address, number);
        });
        sender
    }

    async fn run_opened(&self, address: net::SocketAddr, queue: mpsc::Receiver<message::Body>) {
        let connect = tokio::net::TcpStream::connect(address);
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let (role, purpose) = (handshake::LinkRole::Opener, message::LinkPurpose::Messages);
        match link::authenticate(&self.shared, stream, role, purpose).await {
            Ok(authenticated) => {
                emit!(catalogue::PEER_CONNECTED, peer = %address);
                self.session(handshake::LinkRole::Opener).run(authenticated, queue).await;
                emit!(catalogue::PEER_DISCONNECTED, peer = %address);
            }
            Err(error) => emit!(catalogue::PEER_REFUSED, peer = %address, error = %error),
        }
    }

    async fn run_accepted(&self, stream: tokio::net::TcpStream, remote: net::SocketAddr) {
        let _ = stream.set_nodelay(true);
        let role = handshake::LinkRole::Acceptor;
        let purpose = message::LinkPurpose::Messages;
        let authenticated = match link::authenticate(&self.shared, stream, role, purpose).await {
            Ok(authenticated) => authenticated,
            Err(error) => {
                emit!(catalogue::PEER_REFUSED, peer = %remote, error = %error);
                return;
            }
        };
        if authenticated.hello.purpose() == message::LinkPurpose::Relay {
            forwarding::serve(&self.shared, authenticated).await;
            return;
        }
        let (sender, queue) = mpsc::channel(LINK_QUEUE);
        let claimed = authenticated.hello.peer_address.parse().ok();
        let registered = claimed.and_then(|address| self.register(address, remote, &sender));
        // Keeps the sender of an unregistered link alive, since dropping it closes the queue
        // and with it the link.
        let unregistered_sender = registered.is_none().then_some(sender);
        self.session(role).run(authenticated, queue).await;
        drop(unregistered_sender);
        if let (Some(address), Some(number)) = (claimed, registered) {
            self.lock().remove_number(address, number);
        }
    }

    /// Uses an accepted link for sending too, unless another link to the peer is open.
    fn register(
        &self,
        address: net::SocketAddr,
        remote: net::SocketAddr,
        queue: &table::LinkQueue,
    ) -> Option<table::LinkNumber> {
        // A peer may claim only an address with the IP address that it connects from.
        if address.ip() != remote.ip() {
            return None;
        }
        let mut links = self.lock();
        (!links.contains(address)).then(|| links.insert(address, queue.clone()))
    }

    fn session(&self, role: handshake::LinkRole) -> session::LinkSession {
        session::LinkSession {
            shared: sync::Arc::clone(&self.shared),
            limits: self.limits,
            role,
            inbox: self.inbox.clone(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, table::LinkTable> {
        self.links.lock().expect("no task panics while it holds the links")
    }
}
