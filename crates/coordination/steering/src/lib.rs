//! Traffic steering: which instances a caller uses as its entry points.
//!
//! - [`directory`]: instances for callers that state their own region.
//! - [`lookup`]: instances for callers located by their address.
//! - [`plan`]: shares of a region's clients that other regions serve.
//! - [`planner`]: adjusts the shares within the configured caps.
//! - [`report`]: aggregation of traffic measurements by region.
//! - [`table`]: the immutable table that lookups read.

pub mod directory;
pub mod lookup;
pub mod plan;
pub mod planner;
pub mod report;
pub mod table;
