//! The team key of a request.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_tables::credential;

use crate::callers::refusal;
use crate::shared;

/// Header that may carry a key instead of `Authorization`.
pub const KEY_HEADER: http::HeaderName = http::HeaderName::from_static("x-marjoramwing-key");

const BEARER: &str = "bearer ";

/// The key that authorized a request, kept to detect its withdrawal while the
/// response is streamed.
///
/// Stores the hash of the key, never the key itself.
#[derives::record]
pub struct AuthorizedKey {
    id: Arc<str>,
    hash: credential::KeyHash,
}

impl AuthorizedKey {
    /// Stores the id and the hash of a key.
    #[must_use]
    pub fn new(key: &credential::PresentedKey<'_>) -> Self {
        Self { id: key.id().into(), hash: key.hash() }
    }

    /// Returns true if the key is valid and this instance still trusts its copy of the keys.
    #[must_use]
    pub fn is_valid(&self, shared: &shared::InstanceState) -> bool {
        shared.is_key_valid(&self.id, &self.hash)
    }
}

/// Returns the key of a request, if it has one.
///
/// # Errors
///
/// Returns a refusal when the request has more than one key, or one that is
/// not valid UTF-8.
pub fn find_key(headers: &http::HeaderMap) -> Result<Option<&str>, refusal::Refusal> {
    let bearer = headers.get_all(http::header::AUTHORIZATION).into_iter().filter_map(bearer_key);
    let own_header = headers.get_all(KEY_HEADER).into_iter().map(http::HeaderValue::as_bytes);
    let mut keys = bearer.chain(own_header);
    let key = keys.next();
    if keys.next().is_some() {
        return Err(refuse("the request has two keys; send one"));
    }
    let Some(key) = key else { return Ok(None) };
    let text = std::str::from_utf8(key);
    text.map(Some).map_err(|_| refuse("the key is not text; send it as it was given to you"))
}

fn refuse(remedy: &'static str) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::RefusalKind::BadRequest(remedy))
}

fn bearer_key(value: &http::HeaderValue) -> Option<&[u8]> {
    let (scheme, key) = value.as_bytes().split_at_checked(BEARER.len())?;
    scheme.eq_ignore_ascii_case(BEARER.as_bytes()).then(|| key.trim_ascii())
}
