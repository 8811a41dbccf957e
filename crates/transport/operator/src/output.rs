//! Output of the commands: plain lines, or JSON for scripts.

use crate::command;

/// The JSON form of an error.
#[derive(serde::Serialize)]
struct ErrorOutput {
    error: String,
    exit: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    current_version: Option<u128>,
}

/// Prints an error as text on standard error, or as JSON on standard output.
pub fn print_error(error: &command::CommandError, json: bool) {
    if json {
        print_json(&ErrorOutput {
            error: error.to_string(),
            exit: error.exit().code(),
            current_version: error.current_version(),
        });
    } else {
        eprintln!("{error}");
    }
}

/// Prints a value as pretty-printed JSON on standard output.
pub fn print_json<T: serde::Serialize>(value: &T) {
    println!("{}", to_json(value));
}

/// Serializes a value as pretty-printed JSON.
///
/// # Panics
///
/// Panics if the value has a map whose keys are not strings; no output type has one.
#[must_use]
pub fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("output values have string keys")
}
