//! Seeded schedules of seven ledgers under virtual time.

mod availability;
mod bound;
mod measurement;
mod spec;
mod store;
mod support;
