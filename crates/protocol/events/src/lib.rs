//! Numbered log events.
//!
//! Every log line carries the number of an [`EventSpec`](catalogue::EventSpec);
//! docs/EVENTS.md lists them all and a test compares the two.
//!
//! - [`catalogue`]: the events.

pub mod catalogue;

#[doc(hidden)]
pub use tracing as __tracing;

/// Logs one numbered event with its fields.
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
