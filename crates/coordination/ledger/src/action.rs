//! The ledger's inputs (events) and outputs (actions).

use std::sync;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;

use crate::message;

/// An input of the ledger.
#[derives::record]
pub enum LedgerEvent {
    /// The periodic timer fired; see [`crate::ledger::TICK_PERIOD`].
    Tick,
    /// Membership reports an instance as alive.
    MemberUp(LedgerMember),
    /// Membership reports that an instance no longer answers.
    MemberDown(incarnation::Incarnation),
    /// An instance began its planned stop; it claims no more limits.
    MemberLeaving(incarnation::Incarnation),
    /// An instance finished its planned stop.
    MemberLeft(incarnation::Incarnation),
    /// A message from another instance arrived.
    Received {
        /// Incarnation of the sender.
        from: incarnation::Incarnation,
        /// Message that was received.
        message: message::LedgerMessage,
    },
    /// A store operation ended; its result may be unknown.
    StoreAnswered {
        /// Object of the operation.
        name: object::ObjectName,
        /// Answer of the store.
        answer: operation::StoreAnswer,
    },
    /// This instance begins its planned stop.
    Leave,
}

/// An instance known from membership, with the location by which a successor is chosen.
#[derives::record]
pub struct LedgerMember {
    /// Incarnation of the member.
    pub incarnation: incarnation::Incarnation,
    /// Region of the member.
    pub region: sync::Arc<str>,
    /// Failure domain of the member.
    pub failure_domain: sync::Arc<str>,
}

/// An effect that the ledger requests from its driver.
#[derives::record]
pub enum LedgerAction {
    /// Sends a message to another instance; delivery is not guaranteed.
    Send {
        /// Incarnation of the recipient.
        to: incarnation::Incarnation,
        /// Message to send.
        message: message::LedgerMessage,
    },
    /// Executes an operation on the store.
    Store(operation::StoreOperation),
    /// Resolves the ticket of a pending request.
    Resolve {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Whether the request is admitted.
        outcome: TicketOutcome,
    },
}

/// Identifies a caller's request that is pending: it waits for a holder's answer.
#[derives::value]
pub struct RequestTicket(pub u64);

/// Outcome of a caller's request that was pending.
#[derives::value]
pub enum TicketOutcome {
    /// The request may run.
    Admitted {
        /// Deadline for sending its first byte.
        valid_until: entity_time::Timestamp,
    },
    /// The limit is exhausted, or its holder did not answer.
    Refused {
        /// Time after which a token is expected.
        retry_after: time::Duration,
    },
}

/// Result of the admission of one request.
#[derives::value]
pub enum AdmitOutcome {
    /// The request may run.
    Admitted {
        /// Deadline for sending its first byte.
        valid_until: entity_time::Timestamp,
    },
    /// The limit is exhausted.
    Refused {
        /// Time after which a token is expected.
        retry_after: time::Duration,
    },
    /// Tokens were requested from a holder; the ticket is resolved later.
    Pending {
        /// Ticket of the request.
        ticket: RequestTicket,
    },
}
