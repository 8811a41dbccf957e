//! The name of a team as the value of a header.
//!
//! Invariants: different names have different values, and a value is one line that a recipient
//! reads unchanged.

use std::fmt::Write;

/// Prefix of a value in the extended notation (RFC 8187, without a language).
const EXTENDED_PREFIX: &str = "UTF-8''";

/// Returns the name itself if it can be the value of a header, else its extended notation.
///
/// A name that looks like the extended notation is written in it too, which keeps them apart.
///
/// # Panics
///
/// Does not panic, since the extended notation is ASCII.
#[must_use]
pub fn encode_name(name: &str) -> http::HeaderValue {
    let is_plain = name.trim_ascii() == name && !name.starts_with(EXTENDED_PREFIX);
    let plain = is_plain.then(|| http::HeaderValue::from_bytes(name.as_bytes()).ok()).flatten();
    plain.unwrap_or_else(|| {
        http::HeaderValue::from_str(&extended(name)).expect("the extended notation is ASCII")
    })
}

fn extended(name: &str) -> String {
    let mut text = EXTENDED_PREFIX.to_owned();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                text.push(char::from(byte));
            }
            _ => write!(text, "%{byte:02X}").expect("a String accepts every write"),
        }
    }
    text
}
