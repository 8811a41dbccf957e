//! Objects that are being fetched from peers.
//!
//! Invariant: one fetch of an object at a time, so that several notices of one
//! version lead to one transfer.

use std::collections;
use std::net;

use marjoramwing_entity::time;

use crate::candidate;

/// Peers that are remembered in case the first does not answer.
const MAX_SOURCES: usize = 4;

/// The fetch of one object.
#[derive(Debug, Clone)]
struct PendingFetch {
    version: u64,
    deadline: time::Timestamp,
    sources: collections::VecDeque<net::SocketAddr>,
}

/// The fetches of all objects.
#[derive(Debug, Default)]
pub struct FetchTable {
    pending: [Option<PendingFetch>; candidate::TableObject::ALL.len()],
}

impl FetchTable {
    /// Notes that a peer has a version and tells whether to ask it now.
    pub fn add_source(
        &mut self,
        object: candidate::TableObject,
        version: u64,
        source: net::SocketAddr,
        deadline: time::Timestamp,
    ) -> bool {
        match &mut self.pending[object as usize] {
            Some(pending) if pending.version >= version => {
                pending.sources.retain(|known| *known != source);
                pending.sources.push_back(source);
                if pending.sources.len() > MAX_SOURCES {
                    pending.sources.pop_front();
                }
                false
            }
            slot => {
                let sources = collections::VecDeque::new();
                *slot = Some(PendingFetch { version, deadline, sources });
                true
            }
        }
    }

    /// Ends the fetch of an object that has come.
    pub fn finish(&mut self, object: candidate::TableObject, version: u64) {
        let slot = &mut self.pending[object as usize];
        if slot.as_ref().is_some_and(|pending| pending.version <= version) {
            *slot = None;
        }
    }

    /// Returns the next peer to ask for each object that has not come in time.
    pub fn take_expired(
        &mut self,
        now: time::Timestamp,
        deadline: time::Timestamp,
    ) -> Vec<(candidate::TableObject, net::SocketAddr)> {
        let mut next = Vec::new();
        for object in candidate::TableObject::ALL {
            let slot = &mut self.pending[object as usize];
            let Some(pending) = slot else { continue };
            if pending.deadline > now {
                continue;
            }
            pending.deadline = deadline;
            // Who was heard from last is the most likely to answer.
            match pending.sources.pop_back() {
                Some(source) => next.push((object, source)),
                None => *slot = None,
            }
        }
        next
    }
}
