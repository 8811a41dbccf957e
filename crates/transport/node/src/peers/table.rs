//! The open links by peer address.
//!
//! Invariant: never more links than the limit; the least recently used one is
//! evicted.

use std::collections;
use std::net;

use marjoramwing_peer::message;
use tokio::sync::mpsc;

/// Send queue of one link.
pub type LinkQueue = mpsc::Sender<message::Body>;

/// Identifies a link among all that this process has ever had in its table.
pub type LinkNumber = u64;

#[derive(Debug)]
struct LinkEntry {
    number: LinkNumber,
    queue: LinkQueue,
    /// Value of the table's `use_counter` when the link was last used.
    last_use: u64,
}

/// Open links; evicts the least recently used one when full.
#[derive(Debug)]
pub struct LinkTable {
    entries: collections::HashMap<net::SocketAddr, LinkEntry>,
    max_links: usize,
    last_number: LinkNumber,
    use_counter: u64,
}

impl LinkTable {
    /// Creates an empty table for at most `max_links` links.
    #[must_use]
    pub fn new(max_links: usize) -> Self {
        Self { entries: collections::HashMap::new(), max_links, last_number: 0, use_counter: 0 }
    }

    /// Returns the queue of the open link to a peer and marks the link as used.
    pub fn get(&mut self, address: net::SocketAddr) -> Option<LinkQueue> {
        self.use_counter += 1;
        let entry = self.entries.get_mut(&address)?;
        if entry.queue.is_closed() {
            self.entries.remove(&address);
            return None;
        }
        entry.last_use = self.use_counter;
        Some(entry.queue.clone())
    }

    /// Adds the link to a peer, replacing any earlier one, and returns its number.
    pub fn insert(&mut self, address: net::SocketAddr, queue: LinkQueue) -> LinkNumber {
        if self.entries.len() >= self.max_links && !self.entries.contains_key(&address) {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_use);
            if let Some(oldest) = oldest.map(|(address, _)| *address) {
                self.entries.remove(&oldest);
            }
        }
        self.last_number += 1;
        self.use_counter += 1;
        let number = self.last_number;
        self.entries.insert(address, LinkEntry { number, queue, last_use: self.use_counter });
        number
    }

    /// Removes the link to a peer, which ends its task.
    pub fn remove(&mut self, address: net::SocketAddr) {
        self.entries.remove(&address);
    }

    /// Removes the link to a peer if it still has this number.
    pub fn remove_number(&mut self, address: net::SocketAddr, number: LinkNumber) {
        if self.entries.get(&address).is_some_and(|entry| entry.number == number) {
            self.entries.remove(&address);
        }
    }

    /// Returns true if a link to the peer is open.
    #[must_use]
    pub fn contains(&self, address: net::SocketAddr) -> bool {
        self.entries.get(&address).is_some_and(|entry| !entry.queue.is_closed())
    }

    /// Returns the number of links in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the table has no links.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
