//! What backend servers say of themselves, as one instance and as a fleet.

mod answers;
mod fleet;
mod leaving;
mod pause;
mod queue;
mod sessions;
mod support;
