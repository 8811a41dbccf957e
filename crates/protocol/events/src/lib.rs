//! Numbered log events.
//!
//! Every log line carries the number of an [`EventSpec`](catalogue::EventSpec);
//! docs/EVENTS.md lists all events, and a test compares it with the catalogue.
//!
//! - [`catalogue`]: number, level, text and remedy of each event.

pub mod catalogue;

#[doc(hidden)]
pub use tracing as __tracing;

/// Logs a numbered event with its fields, at the level of its specification.
///
/// ```
/// use marjoramwing_events::{catalogue, emit};
/// emit!(catalogue::INSTANCE_STARTED, instance = "palermo-a-1");
/// ```
#[macro_export]
macro_rules! emit {
    ($spec:path $(, $($fields:tt)+)?) => {
        $crate::__tracing::event!(
            $spec.level,
            event = $spec.number,
            $($($fields)+,)?
            "{}",
            $spec.text
        )
    };
}
