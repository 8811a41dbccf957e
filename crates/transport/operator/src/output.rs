//! What the commands print: plain lines for people, JSON for scripts.

use crate::command;

/// The JSON form of an error.
#[derive(serde::Serialize)]
struct ErrorOutput {
    error: String,
    exit: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    current_version: Option<u64>,
}

/// Prints an error: text on standard error, JSON on standard output.
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

/// Prints a value as indented JSON on standard output.
pub fn print_json<T: serde::Serialize>(value: &T) {
    println!("{}", to_text(value));
}

/// Writes a value as indented JSON.
///
/// # Panics
///
/// Panics if the value has keys that are not text, which is a fault of the program.
#[must_use]
pub fn to_text<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("documents have text keys")
}
