//! Fair queue of the requests that need a slot of one service.
//!
//! Invariants: the least-served team goes first; the queue is bounded in length and
//! bytes; when it is full, a request of the longest team queue is evicted or the new
//! request is rejected.

use std::collections;
use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

use crate::mechanism;
use crate::picker;
use crate::policy;
use crate::session;

/// Maximum number of requests per team that are considered for a free slot.
const MAX_CANDIDATES: usize = 16;

/// Number of a queued request; never reused within a queue.
#[derives::value]
pub struct TicketKey(u64);

/// A request that asks for a slot.
#[derives::record]
pub struct SlotRequest {
    /// Team of the request; empty on a route that is open to all.
    pub team: Arc<str>,
    /// Time by which the request must be answered.
    pub deadline: time::Timestamp,
    /// Memory that the request holds while it is queued, in bytes.
    pub bytes: usize,
    /// Servers that are not chosen because earlier attempts used them.
    pub excluded: Vec<net::SocketAddr>,
    /// The only regions in which the request may be served.
    pub regions: Option<Arc<[Arc<str>]>>,
    /// Session whose requests are preferably sent to the same server.
    pub session: Option<session::SessionKey>,
    /// Time by which the route's target latency requires a response, if it has a target.
    pub target_time: Option<time::Timestamp>,
}

impl SlotRequest {
    /// Returns the constraints on the server for the request.
    #[must_use]
    pub fn criteria(&self) -> picker::ServerCriteria<'_> {
        picker::ServerCriteria {
            excluded: &self.excluded,
            regions: self.regions.as_deref(),
            session: self.session,
            deadline: Some(self.deadline),
        }
    }
}

/// A request in the queue.
#[derives::record]
pub struct QueuedRequest {
    /// Number of the request.
    pub ticket: TicketKey,
    /// Slot request that was queued.
    pub request: SlotRequest,
}

/// Result of adding a request to the queue.
#[derives::value]
pub enum PushOutcome {
    /// The request was queued.
    Queued(TicketKey),
    /// The request was queued after the last request of the longest team queue was evicted.
    Evicted {
        /// Request that was queued.
        ticket: TicketKey,
        /// Request that was evicted.
        evicted: TicketKey,
    },
    /// The queue is full, and no request may be evicted for this one or evicting one would not
    /// free enough bytes.
    Full,
}

/// The fair queue of one service, with a queue for each team.
#[derive(Debug)]
pub struct FairQueue {
    order: policy::QueueOrder,
    disabled: mechanism::DisabledMechanism,
    max_queued: usize,
    max_bytes: usize,
    team_queues: collections::BTreeMap<Arc<str>, TeamQueue>,
    positions: collections::HashMap<TicketKey, QueuePosition>,
    bytes: usize,
    next_ticket: u64,
    /// Highest `served` count from which a team was granted a slot; a team whose count is lower
    /// is raised to it when it queues a request.
    virtual_time: u64,
}

#[derive(Debug, Default)]
struct TeamQueue {
    queued: collections::BTreeMap<QueueRank, QueuedRequest>,
    /// Number of requests that were granted a slot, raised to the queue's virtual time.
    served: u64,
}

#[derive(Debug)]
struct QueuePosition {
    team: Arc<str>,
    rank: QueueRank,
}

/// Order within a team queue.
#[derives::value]
struct QueueRank {
    misses_target: bool,
    /// Target time or deadline by which the requests are ordered.
    due: time::Timestamp,
    ticket: TicketKey,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(policy: &policy::DispatchPolicy) -> Self {
        Self {
            order: policy.order,
            disabled: policy.disabled,
            max_queued: policy.max_queued,
            max_bytes: policy.max_queued_bytes,
            team_queues: collections::BTreeMap::new(),
            positions: collections::HashMap::new(),
            bytes: 0,
            next_ticket: 0,
            virtual_time: 0,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns true if no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of bytes that queued requests hold.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a request, evicting another one if the queue is full.
    pub fn push(&mut self, request: SlotRequest) -> PushOutcome {
        let evicted = match self.make_room(&request) {
            RoomOutcome::Free => None,
            RoomOutcome::Evicted(evicted) => Some(evicted),
            RoomOutcome::Full => return PushOutcome::Full,
        };
        let ticket = self.insert(request);
        match evicted {
            None => PushOutcome::Queued(ticket),
            Some(evicted) => PushOutcome::Evicted { ticket, evicted },
        }
    }

    /// Returns all queued requests in the order in which their teams are served, one of each team in
    /// turn.
    #[must_use]
    pub fn in_order(&self) -> Vec<&QueuedRequest> {
        let requests = self.team_queues.values().flat_map(|team_queue| {
            team_queue
                .queued
                .values()
                .enumerate()
                .map(|(index, queued)| (team_queue.served.saturating_add(index as u64), queued))
        });
        let mut requests: Vec<_> = requests.collect();
        requests.sort_by_key(|(order, _)| *order);
        requests.into_iter().map(|(_, queued)| queued).collect()
    }

    /// Returns the requests that may be served now, in order; a limited number per
    /// team.
    ///
    /// A request that waits for a specific server does not block those behind it.
    pub fn candidates(&self) -> impl Iterator<Item = &QueuedRequest> {
        let mut team_queues: Vec<_> =
            self.team_queues.values().filter(|team_queue| !team_queue.queued.is_empty()).collect();
        team_queues.sort_by_key(|team_queue| team_queue.served);
        team_queues
            .into_iter()
            .flat_map(|team_queue| team_queue.queued.values().take(MAX_CANDIDATES))
    }

    /// Moves requests that can no longer meet their target behind the others of their
    /// team, latest deadline first.
    ///
    /// A target before `earliest_response` can no longer be met. Does nothing unless the
    /// order is [`QueueOrder::ReachableTarget`](policy::QueueOrder::ReachableTarget).
    pub fn demote_missed_targets(&mut self, earliest_response: time::Timestamp) {
        if self.order != policy::QueueOrder::ReachableTarget {
            return;
        }
        for team_queue in self.team_queues.values_mut() {
            let missed = team_queue
                .queued
                .keys()
                .take_while(|rank| !rank.misses_target && rank.due < earliest_response);
            for rank in missed.copied().collect::<Vec<_>>() {
                let Some(queued) = team_queue.queued.remove(&rank) else { continue };
                // The latest deadline leaves the most time to complete the work.
                let inverted_us = u64::MAX - queued.request.deadline.as_micros();
                let due = time::Timestamp::from_micros(inverted_us);
                let behind = QueueRank { misses_target: true, due, ticket: rank.ticket };
                team_queue.queued.insert(behind, queued);
                if let Some(position) = self.positions.get_mut(&rank.ticket) {
                    position.rank = behind;
                }
            }
        }
    }

    /// Returns the first request of each team, in the order in which they would be served.
    pub fn heads(&self) -> impl Iterator<Item = &QueuedRequest> {
        let mut team_queues: Vec<_> =
            self.team_queues.values().filter(|team_queue| !team_queue.queued.is_empty()).collect();
        team_queues.sort_by_key(|team_queue| team_queue.served);
        team_queues.into_iter().filter_map(|team_queue| team_queue.queued.values().next())
    }

    /// Removes a request that was granted a slot, and counts it as served.
    pub fn remove_granted(&mut self, ticket: TicketKey) -> Option<QueuedRequest> {
        let team = Arc::clone(&self.positions.get(&ticket)?.team);
        let team_queue = self.team_queues.get_mut(&team)?;
        self.virtual_time = self.virtual_time.max(team_queue.served);
        team_queue.served += 1;
        self.remove(ticket)
    }

    /// Removes a request without counting it as served.
    pub fn remove(&mut self, ticket: TicketKey) -> Option<QueuedRequest> {
        let position = self.positions.remove(&ticket)?;
        let team_queue = self.team_queues.get_mut(&position.team)?;
        let queued = team_queue.queued.remove(&position.rank)?;
        // A new queue of this team would start at the virtual time as well.
        if team_queue.queued.is_empty() && team_queue.served <= self.virtual_time {
            self.team_queues.remove(&position.team);
        }
        self.bytes -= queued.request.bytes;
        Some(queued)
    }

    /// Removes all requests whose deadline is at or before `at`, and returns their tickets.
    pub fn expire(&mut self, at: time::Timestamp) -> Vec<TicketKey> {
        self.remove_matching(|request| request.deadline <= at)
    }

    /// Removes the requests for which `matches` returns true, and returns their tickets.
    pub fn remove_matching(&mut self, matches: impl Fn(&SlotRequest) -> bool) -> Vec<TicketKey> {
        let queued = self.team_queues.values().flat_map(|team_queue| team_queue.queued.values());
        let matching = queued.filter(|queued| matches(&queued.request));
        let matching: Vec<_> = matching.map(|queued| queued.ticket).collect();
        for ticket in &matching {
            self.remove(*ticket);
        }
        matching
    }

    fn insert(&mut self, request: SlotRequest) -> TicketKey {
        let ticket = TicketKey(self.next_ticket);
        self.next_ticket += 1;
        let due = match self.order {
            // Equal times order the requests by ticket, which is the order of arrival.
            policy::QueueOrder::LeastServedTeam => time::Timestamp::ZERO,
            policy::QueueOrder::EarliestDeadline => request.deadline,
            policy::QueueOrder::ReachableTarget => request.target_time.unwrap_or(request.deadline),
        };
        let rank = QueueRank { misses_target: false, due, ticket };
        let team = self.team_key(&request);
        self.bytes += request.bytes;
        let team_queue = self.team_queues.entry(Arc::clone(&team)).or_default();
        // A team gains no credit for the time during which it was idle.
        team_queue.served = team_queue.served.max(self.virtual_time);
        team_queue.queued.insert(rank, QueuedRequest { ticket, request });
        self.positions.insert(ticket, QueuePosition { team, rank });
        ticket
    }

    fn team_key(&self, request: &SlotRequest) -> Arc<str> {
        if self.disabled == mechanism::DisabledMechanism::TeamQueues {
            return Arc::default();
        }
        Arc::clone(&request.team)
    }

    fn make_room(&mut self, request: &SlotRequest) -> RoomOutcome {
        let fits = self.bytes + request.bytes <= self.max_bytes;
        if fits && self.len() < self.max_queued {
            return RoomOutcome::Free;
        }
        let own_len = self
            .team_queues
            .get(&self.team_key(request))
            .map_or(0, |team_queue| team_queue.queued.len());
        let longest = self.team_queues.values().max_by_key(|team_queue| team_queue.queued.len());
        // The longest team queue must still be at least as long as the request's own afterwards.
        let last = longest.filter(|team_queue| team_queue.queued.len() > own_len + 1);
        let last = last.and_then(|team_queue| team_queue.queued.values().next_back());
        let may_evict = self.disabled != mechanism::DisabledMechanism::LongestQueueEviction;
        let Some(last) = last.filter(|_| may_evict) else { return RoomOutcome::Full };
        if self.bytes - last.request.bytes + request.bytes > self.max_bytes {
            return RoomOutcome::Full;
        }
        let evicted = last.ticket;
        self.remove(evicted);
        RoomOutcome::Evicted(evicted)
    }
}

enum RoomOutcome {
    Free,
    Evicted(TicketKey),
    Full,
}
