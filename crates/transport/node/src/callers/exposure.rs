//! Detection of team keys that would be forwarded to backend servers.
//!
//! A key belongs in `Authorization` or `x-marjoramwing-key`, which are removed
//! before a request is forwarded. A request with a valid key in its target or in
//! another header is refused, since removing the key would alter the request.

use marjoramwing_derives as derives;
use marjoramwing_tables::credential;
use marjoramwing_tables::snapshot;

use crate::callers::credential as callers_credential;
use crate::callers::refusal;

/// The part of a request in which a key was found.
#[derives::value]
enum KeyLocation {
    Target,
    Header,
}

/// Checks that a request has no valid key in its target or in other headers.
///
/// # Errors
///
/// Returns a refusal that says where the key was found.
pub fn check_exposure<B>(
    tables: &snapshot::TableSnapshot,
    request: &http::Request<B>,
) -> Result<(), refusal::Refusal> {
    let remedy = match locate_key(tables, request) {
        None => return Ok(()),
        Some(KeyLocation::Target) => {
            "the URL shows a team key; withdraw the key and send a new one only as `Authorization`"
        }
        Some(KeyLocation::Header) => {
            "a header or cookie shows a team key; send it only as `Authorization: Bearer KEY`"
        }
    };
    Err(refusal::Refusal::not_run(refusal::RefusalKind::BadRequest(remedy)))
}

fn locate_key<B>(
    tables: &snapshot::TableSnapshot,
    request: &http::Request<B>,
) -> Option<KeyLocation> {
    // Opaque keys have no recognizable format to search for.
    if tables.key_format == credential::KeyFormat::Opaque {
        return None;
    }
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    if contains_key(tables, target.as_bytes()) {
        return Some(KeyLocation::Target);
    }
    let other_headers = request.headers().iter().filter(|(name, _)| !is_credential_header(name));
    let mut values = other_headers.map(|(_, value)| value.as_bytes());
    values.any(|value| contains_key(tables, value)).then_some(KeyLocation::Header)
}

fn is_credential_header(name: &http::HeaderName) -> bool {
    *name == http::header::AUTHORIZATION || *name == callers_credential::KEY_HEADER
}

/// Returns true if a text contains a valid key, percent-encoded or not.
fn contains_key(tables: &snapshot::TableSnapshot, text: &[u8]) -> bool {
    if !text.contains(&b'.') && !text.contains(&b'%') {
        return false;
    }
    let decoded = percent_decode(text);
    let words = decoded.split(|byte| !is_key_byte(*byte));
    words.filter_map(|word| std::str::from_utf8(word).ok()).any(|word| is_valid_key(tables, word))
}

fn is_valid_key(tables: &snapshot::TableSnapshot, word: &str) -> bool {
    let key = credential::PresentedKey::parse_dotted(word);
    key.is_some_and(|key| tables.has_key_id(key.id()) && tables.authenticate(&key).is_some())
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}

fn percent_decode(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((first, after)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| after.first_chunk::<2>()).flatten();
        let value = escaped.and_then(|digits| {
            let digits = std::str::from_utf8(digits).ok()?;
            u8::from_str_radix(digits, 16).ok()
        });
        decoded.push(value.unwrap_or(*first));
        rest = if value.is_some() { &after[2..] } else { after };
    }
    decoded
}
