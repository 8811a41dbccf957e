//! The key that comes with a request.

use crate::callers::answer;

/// Header that may carry a key in place of `Authorization`.
pub const KEY_HEADER: http::HeaderName = http::HeaderName::from_static("x-marjoramwing-key");

const BEARER: &str = "bearer ";

/// Finds the key of a request, if it has one.
///
/// # Errors
///
/// Returns a refusal when the request has more than one key.
pub fn find_key(headers: &http::HeaderMap) -> Result<Option<&str>, answer::Refusal> {
    let bearer = headers.get_all(http::header::AUTHORIZATION).into_iter().filter_map(bearer_key);
    let named = headers.get_all(KEY_HEADER).into_iter().filter_map(|value| value.to_str().ok());
    let mut keys = bearer.chain(named);
    let key = keys.next();
    if keys.next().is_some() {
        let kind = answer::RefusalKind::BadRequest("the request has two keys; send one");
        return Err(answer::Refusal::not_run(kind));
    }
    Ok(key)
}

fn bearer_key(value: &http::HeaderValue) -> Option<&str> {
    let text = value.to_str().ok()?;
    let scheme = text.get(..BEARER.len())?;
    scheme.eq_ignore_ascii_case(BEARER).then(|| text[BEARER.len()..].trim())
}
