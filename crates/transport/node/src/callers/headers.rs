//! Removal of headers that must not be forwarded.

use crate::callers::credential;

/// Prefix of the headers that are reserved for instances and backend servers.
const INTERNAL_PREFIX: &str = "marjoramwing-";

const HOP_BY_HOP: [http::HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

const KEEP_ALIVE: http::HeaderName = http::HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: http::HeaderName = http::HeaderName::from_static("proxy-connection");

/// Headers that are kept even if `Connection` lists them, since the next hop needs them.
const END_TO_END: [http::HeaderName; 2] = [http::header::HOST, http::header::CONTENT_LENGTH];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn remove_hop_by_hop(headers: &mut http::HeaderMap) {
    for name in connection_options(headers) {
        if !END_TO_END.contains(&name) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// Removes credentials and all headers with the reserved prefix.
pub fn remove_internal(headers: &mut http::HeaderMap) {
    let internal = headers.keys().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX));
    let internal: Vec<_> = internal.cloned().collect();
    for name in internal {
        headers.remove(name);
    }
    headers.remove(http::header::AUTHORIZATION);
    headers.remove(credential::KEY_HEADER);
}

fn connection_options(headers: &http::HeaderMap) -> Vec<http::HeaderName> {
    let values = headers.get_all(http::header::CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let options = texts.flat_map(|text| text.split(','));
    options.filter_map(|option| option.trim().parse().ok()).collect()
}
