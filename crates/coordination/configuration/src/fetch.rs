//! Fetches of table objects from peers.
//!
//! Invariant: each object has at most one pending fetch, so that several
//! notices of the same version cause one transfer.

use std::collections;
use std::net;

use marjoramwing_entity::time;

use crate::candidate;

/// Alternative peers kept per fetch, in case the first does not answer.
const MAX_SOURCES: usize = 4;

/// A fetch of one object that has not been answered.
#[derive(Debug, Clone)]
struct PendingFetch {
    version: u128,
    deadline: time::Timestamp,
    sources: collections::VecDeque<net::SocketAddr>,
}

/// Pending fetches, at most one per object.
#[derive(Debug, Default)]
pub struct FetchTable {
    pending: [Option<PendingFetch>; candidate::TableObject::ALL.len()],
}

impl FetchTable {
    /// Records that a peer has a version of an object.
    ///
    /// Returns true if no fetch of this or a newer version is pending, so that the caller must send
    /// one to this peer.
    pub fn add_source(
        &mut self,
        object: candidate::TableObject,
        version: u128,
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

    /// Returns true if a fetch of an object is pending.
    #[must_use]
    pub const fn is_pending(&self, object: candidate::TableObject) -> bool {
        self.pending[object as usize].is_some()
    }

    /// Gives the pending fetch of an object more time.
    pub fn extend(&mut self, object: candidate::TableObject, deadline: time::Timestamp) {
        if let Some(pending) = &mut self.pending[object as usize] {
            pending.deadline = deadline;
        }
    }

    /// Ends the pending fetch of an object if `version` satisfies it.
    pub fn finish(&mut self, object: candidate::TableObject, version: u128) {
        let slot = &mut self.pending[object as usize];
        if slot.as_ref().is_some_and(|pending| pending.version <= version) {
            *slot = None;
        }
    }

    /// Returns the next peer to ask for each fetch that has timed out.
    ///
    /// A fetch without further peers is dropped.
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
            // The peer heard from most recently is the most likely to answer.
            match pending.sources.pop_back() {
                Some(source) => next.push((object, source)),
                None => *slot = None,
            }
        }
        next
    }
}
