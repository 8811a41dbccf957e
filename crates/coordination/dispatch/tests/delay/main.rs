//! Choice by expected delay.

mod choice;
mod placement;
mod support;
