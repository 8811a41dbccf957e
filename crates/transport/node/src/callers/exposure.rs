//! Keys that a caller put where backend servers would see them.
//!
//! A key belongs in `Authorization` or its own header, which are removed. A
//! request that shows a key in force in its target or in another header is
//! refused, since it cannot be passed on whole without the key.

use marjoramwing_derives as derives;
use marjoramwing_tables::credential;
use marjoramwing_tables::snapshot;

use crate::callers::answer;
use crate::callers::credential as callers_credential;

/// Where a key was found.
#[derives::value]
enum KeyPlace {
    Target,
    Header,
}

/// Refuses a request that shows a key in its target or in another header.
///
/// # Errors
///
/// Returns a refusal that names the place.
pub fn check_exposure<B>(
    tables: &snapshot::TableSnapshot,
    request: &http::Request<B>,
) -> Result<(), answer::Refusal> {
    let remedy = match find_place(tables, request) {
        None => return Ok(()),
        Some(KeyPlace::Target) => {
            "the URL shows a team key; withdraw the key and send a new one only as `Authorization`"
        }
        Some(KeyPlace::Header) => {
            "a header or cookie shows a team key; send it only as `Authorization: Bearer KEY`"
        }
    };
    Err(answer::Refusal::not_run(answer::RefusalKind::BadRequest(remedy)))
}

fn find_place<B>(tables: &snapshot::TableSnapshot, request: &http::Request<B>) -> Option<KeyPlace> {
    // An opaque key looks like any other word, so it cannot be searched for.
    if tables.key_form == credential::KeyForm::Opaque {
        return None;
    }
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    if shows_key(tables, target.as_bytes()) {
        return Some(KeyPlace::Target);
    }
    let others = request.headers().iter().filter(|(name, _)| !carries_key(name));
    let mut values = others.map(|(_, value)| value.as_bytes());
    values.any(|value| shows_key(tables, value)).then_some(KeyPlace::Header)
}

fn carries_key(name: &http::HeaderName) -> bool {
    *name == http::header::AUTHORIZATION || *name == callers_credential::KEY_HEADER
}

/// Tells whether a text holds a key in force, also with escapes.
fn shows_key(tables: &snapshot::TableSnapshot, text: &[u8]) -> bool {
    if !text.contains(&b'.') && !text.contains(&b'%') {
        return false;
    }
    let decoded = decode_escapes(text);
    let words = decoded.split(|byte| !is_key_byte(*byte));
    words.filter_map(|word| std::str::from_utf8(word).ok()).any(|word| is_key(tables, word))
}

fn is_key(tables: &snapshot::TableSnapshot, word: &str) -> bool {
    let key = credential::PresentedKey::parse(word);
    key.is_some_and(|key| tables.holds_key_id(key.id()) && tables.authenticate(&key).is_some())
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}

fn decode_escapes(text: &[u8]) -> Vec<u8> {
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
