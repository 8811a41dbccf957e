//! Which instances are live, as one instance sees it.
//!
//! A gossip protocol in the manner of SWIM: each instance probes one other a
//! period, asks others to probe on its behalf before it suspects, and carries
//! a bounded number of updates on each message. A suspected instance refutes
//! by raising its own sequence. The platform's list is only a source of
//! addresses to try. Nothing here reads a clock or a socket.
//!
//! - [`member`]: one known instance and what it tells of itself.
//! - [`view`]: an immutable view for look-ups.
//! - [`update`]: what is passed on about one instance.
//! - [`message`]: what instances send each other.
//! - [`settings`]: periods and bounds.
//! - [`record`]: one instance as kept by the keeper.
//! - [`roster`]: all records, and which update wins.
//! - [`farewell`]: how long a leaving instance waits.
//! - [`gossip`]: updates that wait to be passed on.
//! - [`probe`]: probes that wait for an answer.
//! - [`keeper`]: the decisions.
//! - `probing`: how the keeper probes others and comes to suspect them.
//! - `exchange`: how the keeper makes and answers messages.
//! - [`dump`]: the keeper's state for operators.

pub mod dump;
mod exchange;
pub mod farewell;
pub mod gossip;
pub mod keeper;
pub mod member;
pub mod message;
pub mod probe;
mod probing;
pub mod record;
pub mod roster;
pub mod settings;
pub mod update;
pub mod view;
