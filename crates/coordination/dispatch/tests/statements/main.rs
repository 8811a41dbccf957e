//! What backend servers say of themselves, as one instance and as a fleet.

mod answers;
mod fleet;
mod queue;
mod support;
