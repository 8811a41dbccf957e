//! The key that comes with a request.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_tables::credential;
use marjoramwing_tables::snapshot;

use crate::callers::answer;

/// Header that may carry a key in place of `Authorization`.
pub const KEY_HEADER: http::HeaderName = http::HeaderName::from_static("x-marjoramwing-key");

const BEARER: &str = "bearer ";

/// The key of an open answer, which may be withdrawn meanwhile.
///
/// It holds the hash, never the key.
#[derives::record]
pub struct KeyWatch {
    id: Arc<str>,
    hash: credential::KeyHash,
}

impl KeyWatch {
    /// Remembers a key by its hash.
    #[must_use]
    pub fn new(key: &credential::PresentedKey<'_>) -> Self {
        Self { id: key.id().into(), hash: key.hash() }
    }

    /// Tells whether the key is in force.
    #[must_use]
    pub fn is_in_force(&self, tables: &snapshot::TableSnapshot) -> bool {
        tables.holds_credential(&self.id, &self.hash)
    }
}

/// Finds the key of a request, if it has one.
///
/// # Errors
///
/// Returns a refusal when the request has more than one key, or one that is
/// not text.
pub fn find_key(headers: &http::HeaderMap) -> Result<Option<&str>, answer::Refusal> {
    let bearer = headers.get_all(http::header::AUTHORIZATION).into_iter().filter_map(bearer_key);
    let named = headers.get_all(KEY_HEADER).into_iter().map(http::HeaderValue::as_bytes);
    let mut keys = bearer.chain(named);
    let key = keys.next();
    if keys.next().is_some() {
        return Err(refuse("the request has two keys; send one"));
    }
    let Some(key) = key else { return Ok(None) };
    let text = std::str::from_utf8(key);
    text.map(Some).map_err(|_| refuse("the key is not text; send it as it was given to you"))
}

fn refuse(remedy: &'static str) -> answer::Refusal {
    answer::Refusal::not_run(answer::RefusalKind::BadRequest(remedy))
}

fn bearer_key(value: &http::HeaderValue) -> Option<&[u8]> {
    let (scheme, key) = value.as_bytes().split_at_checked(BEARER.len())?;
    scheme.eq_ignore_ascii_case(BEARER.as_bytes()).then(|| key.trim_ascii())
}
