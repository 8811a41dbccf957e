//! Which entry instances a caller is to use.
//!
//! - [`directory`]: the answer to a caller of a known place.
//! - [`lookup`]: the answer to one look-up.
//! - [`plan`]: which share of a region's clients other regions serve.
//! - [`planner`]: moves clients between regions under caps.
//! - [`report`]: measurements of traffic, summed by region.
//! - [`table`]: an immutable table for look-ups.

pub mod directory;
pub mod lookup;
pub mod plan;
pub mod planner;
pub mod report;
pub mod table;
