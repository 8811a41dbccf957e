//! Requests that wait for a slot of one service, in a line for each team.
//!
//! Invariants: the team that was served least goes first; the queue is bounded
//! in length and bytes; when it is full, the longest line gives way.

use std::collections;
use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

use crate::mechanism;
use crate::picker;
use crate::policy;
use crate::session;

/// Requests of one team that are looked at when a slot is free.
const MAX_CANDIDATES: usize = 16;

/// Number of a queued request; never reused within a queue.
#[derives::value]
pub struct TicketKey(u64);

/// A request that asks for a slot.
#[derives::record]
pub struct SlotRequest {
    /// Team of the request; empty on a route open to all.
    pub team: Arc<str>,
    /// Time at which the request must be answered.
    pub deadline: time::Timestamp,
    /// Bytes that the waiting request holds.
    pub bytes: usize,
    /// Servers that were tried before.
    pub avoided: Vec<net::SocketAddr>,
    /// The only regions in which the request may be served.
    pub regions: Option<Arc<[Arc<str>]>>,
    /// Session whose requests are best sent to the same server.
    pub session: Option<session::SessionKey>,
    /// Time within which an answer is worth most, if there is one before the deadline.
    pub target: Option<time::Timestamp>,
}

impl SlotRequest {
    /// Returns which servers the request may go to.
    #[must_use]
    pub fn wish(&self) -> picker::ServerWish<'_> {
        picker::ServerWish {
            avoided: &self.avoided,
            regions: self.regions.as_deref(),
            session: self.session,
            deadline: Some(self.deadline),
        }
    }
}

/// A request with its ticket.
#[derives::record]
pub struct QueuedRequest {
    /// Number of the request.
    pub ticket: TicketKey,
    /// The request.
    pub request: SlotRequest,
}

/// What a full queue did with an arrival.
#[derives::value]
pub enum PushOutcome {
    /// The request waits.
    Waits(TicketKey),
    /// The request waits in place of the last one of the longest line.
    Displaces {
        /// The request that waits.
        ticket: TicketKey,
        /// The request that gave way.
        displaced: TicketKey,
    },
    /// The queue is full and the request's own line is the longest.
    Full,
}

/// The queue of one service.
#[derive(Debug)]
pub struct TeamQueue {
    order: policy::QueueOrder,
    disabled: mechanism::DisabledMechanism,
    max_queued: usize,
    max_bytes: usize,
    lines: collections::BTreeMap<Arc<str>, TeamLine>,
    owners: collections::HashMap<TicketKey, LinePlace>,
    bytes: usize,
    next_ticket: u64,
    floor: u64,
}

#[derive(Debug, Default)]
struct TeamLine {
    waiting: collections::BTreeMap<LineRank, QueuedRequest>,
    served: u64,
}

#[derive(Debug)]
struct LinePlace {
    team: Arc<str>,
    rank: LineRank,
}

/// Order within a line.
#[derives::value]
struct LineRank {
    is_late: bool,
    due: time::Timestamp,
    ticket: TicketKey,
}

impl TeamQueue {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(policy: &policy::DispatchPolicy) -> Self {
        Self {
            order: policy.order,
            disabled: policy.disabled,
            max_queued: policy.max_queued,
            max_bytes: policy.max_queued_bytes,
            lines: collections::BTreeMap::new(),
            owners: collections::HashMap::new(),
            bytes: 0,
            next_ticket: 0,
            floor: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Tells whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the bytes that waiting requests hold.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a request at its place.
    pub fn push(&mut self, request: SlotRequest) -> PushOutcome {
        let displaced = match self.make_room(&request) {
            RoomOutcome::Free => None,
            RoomOutcome::Displaced(displaced) => Some(displaced),
            RoomOutcome::None => return PushOutcome::Full,
        };
        let ticket = self.insert(request);
        match displaced {
            None => PushOutcome::Waits(ticket),
            Some(displaced) => PushOutcome::Displaces { ticket, displaced },
        }
    }

    /// Returns requests that may go now, in order; a few of each team's line.
    ///
    /// One that waits for a certain server does not hold up those behind it.
    pub fn candidates(&self) -> impl Iterator<Item = &QueuedRequest> {
        let mut lines: Vec<_> =
            self.lines.values().filter(|line| !line.waiting.is_empty()).collect();
        lines.sort_by_key(|line| line.served);
        lines.into_iter().flat_map(|line| line.waiting.values().take(MAX_CANDIDATES))
    }

    /// Puts requests that can no longer be answered by their target behind the
    /// others, the newest first.
    pub fn demote_late(&mut self, reachable_from: time::Timestamp) {
        if self.order != policy::QueueOrder::ReachableTarget {
            return;
        }
        for line in self.lines.values_mut() {
            let late =
                line.waiting.keys().take_while(|rank| !rank.is_late && rank.due < reachable_from);
            for rank in late.copied().collect::<Vec<_>>() {
                let Some(queued) = line.waiting.remove(&rank) else { continue };
                // The newest has the most time left for work that must not be cut.
                let left = u64::MAX - queued.request.deadline.as_micros();
                let due = time::Timestamp::from_micros(left);
                let behind = LineRank { is_late: true, due, ticket: rank.ticket };
                line.waiting.insert(behind, queued);
                if let Some(place) = self.owners.get_mut(&rank.ticket) {
                    place.rank = behind;
                }
            }
        }
    }

    /// Returns the requests in the order in which they would go now, one a team.
    pub fn heads(&self) -> impl Iterator<Item = &QueuedRequest> {
        let mut lines: Vec<_> =
            self.lines.values().filter(|line| !line.waiting.is_empty()).collect();
        lines.sort_by_key(|line| line.served);
        lines.into_iter().filter_map(|line| line.waiting.values().next())
    }

    /// Removes a request because it goes to a server now.
    pub fn take(&mut self, ticket: TicketKey) -> Option<QueuedRequest> {
        let team = Arc::clone(&self.owners.get(&ticket)?.team);
        let line = self.lines.get_mut(&team)?;
        self.floor = self.floor.max(line.served);
        line.served += 1;
        self.remove(ticket)
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: TicketKey) -> Option<QueuedRequest> {
        let place = self.owners.remove(&ticket)?;
        let line = self.lines.get_mut(&place.team)?;
        let queued = line.waiting.remove(&place.rank)?;
        if line.waiting.is_empty() && line.served <= self.floor {
            self.lines.remove(&place.team);
        }
        self.bytes -= queued.request.bytes;
        Some(queued)
    }

    /// Removes all requests whose deadline is at or before a time.
    pub fn expire(&mut self, at: time::Timestamp) -> Vec<TicketKey> {
        let waiting = self.lines.values().flat_map(|line| line.waiting.values());
        let due = waiting.filter(|queued| queued.request.deadline <= at);
        let due: Vec<_> = due.map(|queued| queued.ticket).collect();
        for ticket in &due {
            self.remove(*ticket);
        }
        due
    }

    fn insert(&mut self, request: SlotRequest) -> TicketKey {
        let ticket = TicketKey(self.next_ticket);
        self.next_ticket += 1;
        let due = match self.order {
            policy::QueueOrder::LeastServedTeam => time::Timestamp::ZERO,
            policy::QueueOrder::EarliestDeadline => request.deadline,
            policy::QueueOrder::ReachableTarget => request.target.unwrap_or(request.deadline),
        };
        let rank = LineRank { is_late: false, due, ticket };
        let team = self.line_of(&request);
        self.bytes += request.bytes;
        let line = self.lines.entry(Arc::clone(&team)).or_default();
        // A team that was idle has no claim on the time before.
        line.served = line.served.max(self.floor);
        line.waiting.insert(rank, QueuedRequest { ticket, request });
        self.owners.insert(ticket, LinePlace { team, rank });
        ticket
    }

    fn line_of(&self, request: &SlotRequest) -> Arc<str> {
        if self.disabled == mechanism::DisabledMechanism::TeamLines {
            return Arc::default();
        }
        Arc::clone(&request.team)
    }

    fn make_room(&mut self, request: &SlotRequest) -> RoomOutcome {
        let fits = self.bytes + request.bytes <= self.max_bytes;
        if fits && self.len() < self.max_queued {
            return RoomOutcome::Free;
        }
        let own = self.lines.get(&self.line_of(request)).map_or(0, |line| line.waiting.len());
        let longest = self.lines.values().max_by_key(|line| line.waiting.len());
        let last = longest.filter(|line| line.waiting.len() > own + 1);
        let last = last.and_then(|line| line.waiting.values().next_back());
        let pushes_out = self.disabled != mechanism::DisabledMechanism::PushOut;
        let Some(last) = last.filter(|_| pushes_out) else { return RoomOutcome::None };
        if self.bytes - last.request.bytes + request.bytes > self.max_bytes {
            return RoomOutcome::None;
        }
        let displaced = last.ticket;
        self.remove(displaced);
        RoomOutcome::Displaced(displaced)
    }
}

enum RoomOutcome {
    Free,
    Displaced(TicketKey),
    None,
}
