//! Cluster membership and failure detection between instances.
//!
//! Implements a SWIM-style gossip protocol. Each instance probes one other
//! member per period, asks further members to probe on its behalf before it
//! suspects the target, and piggybacks a bounded number of updates on each
//! message. A suspected instance refutes the suspicion by raising its own
//! sequence number, which is SWIM's incarnation number; in this crate, an
//! incarnation identifies one run of an instance's process. The platform's
//! instance list only supplies addresses to contact.
//!
//! Three values describe a member: its phase, which it announces itself and
//! which only advances; its health, which is the result of failure detection;
//! and its state in the view, which combines the two.
//!
//! The crate performs no I/O and reads no clock; callers pass in time and
//! messages.
//!
//! - [`member`]: members, with the profile that each announces.
//! - [`view`]: an immutable snapshot of the members.
//! - [`update`]: the gossiped state of one member.
//! - [`message`]: messages between instances.
//! - [`settings`]: periods, timeouts and limits of the protocol.
//! - [`record`]: the state held for one member.
//! - [`roster`]: all records and the rules for merging updates.
//! - [`propagation`]: how long a leaving instance waits before it stops.
//! - [`gossip`]: updates queued for dissemination.
//! - [`probe`]: outstanding probes.
//! - [`keeper`]: the protocol's state machine.
//! - `probing`: the keeper's failure detection.
//! - `messaging`: the keeper's sending and handling of messages.
//! - [`dump`]: diagnostic state for operators.

pub mod dump;
pub mod gossip;
pub mod keeper;
pub mod member;
pub mod message;
mod messaging;
pub mod probe;
mod probing;
pub mod propagation;
pub mod record;
pub mod roster;
pub mod settings;
pub mod update;
pub mod view;
