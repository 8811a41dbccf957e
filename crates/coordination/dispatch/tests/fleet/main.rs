//! Simulates several instances that share one pool, in virtual time.

mod choice;
mod trial;
