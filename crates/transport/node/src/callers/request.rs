//! A caller's request, prepared for forwarding to backend servers.
//!
//! Invariants: no backend server receives a credential or a forged internal
//! header; no part of a body over the size limit is sent.

use std::sync::atomic;
use std::time;

use http_body::Body as _;
use marjoramwing_dispatch::fingerprint;
use marjoramwing_exchange::names;
use marjoramwing_exchange::team;
use marjoramwing_tables::route;

use crate::backends::replay;
use crate::callers::headers;
use crate::callers::refusal;

/// A request that can be sent to several backend servers.
#[derive(Debug)]
pub struct PreparedRequest {
    method: http::Method,
    uri: http::Uri,
    headers: http::HeaderMap,
    names: &'static names::HeaderNames,
    /// Source from which each attempt reads the body.
    pub source: replay::BodySource,
}

impl PreparedRequest {
    /// Checks a request's body against the limit of its route, and buffers it if it is small.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the body is too large, cannot be read or cannot be buffered.
    pub async fn prepare(
        request: http::Request<axum::body::Body>,
        route: &route::Route,
        team: Option<&str>,
        names: &'static names::HeaderNames,
        memory: &replay::BodyMemory,
    ) -> Result<Self, refusal::Refusal> {
        let (parts, body) = request.into_parts();
        let max_bytes = usize::try_from(route.max_body_bytes).unwrap_or(usize::MAX);
        let source = read_body(body, max_bytes, memory).await?;
        let (uri, mut headers) = (parts.uri, parts.headers);
        headers::remove_hop_by_hop(&mut headers);
        headers::remove_internal(&mut headers);
        headers.remove(http::header::EXPECT);
        headers.remove(&names.team);
        if let Some(expected) = &names.expected_server {
            headers.remove(expected);
        }
        if let Some(team) = team {
            headers.insert(names.team.clone(), team::encode_name(team));
        }
        let authority = uri.authority().map(http::uri::Authority::as_str);
        if let Some(host) = authority.and_then(|host| http::HeaderValue::from_str(host).ok()) {
            headers.insert(http::header::HOST, host);
        }
        Ok(Self { method: parts.method, uri: origin_form(&uri), headers, names, source })
    }

    /// Returns the method, from which the route derives whether a retry is safe.
    #[must_use]
    pub const fn method(&self) -> &http::Method {
        &self.method
    }

    /// Returns the headers that are sent to backend servers.
    #[must_use]
    pub const fn headers(&self) -> &http::HeaderMap {
        &self.headers
    }

    /// Returns the fingerprint of the request's content.
    #[must_use]
    pub fn fingerprint(
        &self,
        key: &fingerprint::FingerprintKey,
    ) -> fingerprint::ContentFingerprint {
        let text = |name: &http::HeaderName| {
            let value = self.headers.get(name).map(http::HeaderValue::as_bytes);
            value.and_then(|value| str::from_utf8(value).ok()).unwrap_or_default()
        };
        let body = match &self.source {
            replay::BodySource::Buffered(buffered) => {
                fingerprint::ContentBody::Whole(buffered.as_slice())
            }
            replay::BodySource::Stream(_) => {
                let length = text(&http::header::CONTENT_LENGTH).parse().unwrap_or_default();
                fingerprint::ContentBody::Streamed(length)
            }
        };
        let target = self.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        key.fingerprint(&fingerprint::RequestContent {
            method: self.method.as_str(),
            host: text(&http::header::HOST),
            target,
            team: text(&self.names.team),
            body,
        })
    }

    /// Builds the request of one attempt.
    ///
    /// `expected_server` is sent along, so that no other server at the address runs it.
    #[must_use]
    pub fn build(
        &self,
        time_left: time::Duration,
        expected_server: Option<&str>,
    ) -> http::Request<replay::RequestBody> {
        let mut request = http::Request::new(self.source.body());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let time_left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let headers = request.headers_mut();
        headers.insert(self.names.deadline.clone(), http::HeaderValue::from(time_left_ms));
        if let Some(attempt) = &self.names.attempt {
            headers.insert(attempt.clone(), http::HeaderValue::from(next_attempt_number()));
        }
        let expected = self.names.expected_server.as_ref().zip(expected_server);
        if let Some((name, server)) = expected
            && let Ok(value) = http::HeaderValue::from_str(server)
        {
            headers.insert(name.clone(), value);
        }
        request
    }
}

/// Ids of a request, by which its response is matched to it.
#[derive(Debug)]
pub struct CorrelationIds {
    names: &'static names::HeaderNames,
    attempt: Option<http::HeaderValue>,
    request: Option<http::HeaderValue>,
}

impl CorrelationIds {
    /// Extracts the ids from the headers of a request.
    #[must_use]
    pub fn of(headers: &http::HeaderMap, names: &'static names::HeaderNames) -> Self {
        Self {
            names,
            attempt: names.attempt.as_ref().and_then(|name| headers.get(name)).cloned(),
            request: headers.get(&names.request_id).cloned(),
        }
    }

    /// Returns true if a response carries the id of another request.
    #[must_use]
    pub fn conflict_with(&self, response: &http::HeaderMap) -> bool {
        let differs = |sent: &Option<http::HeaderValue>, name: &http::HeaderName| {
            let echoed = response.get(name);
            sent.as_ref().zip(echoed).is_some_and(|(sent, echoed)| sent != echoed)
        };
        let attempt = self.names.attempt.as_ref();
        attempt.is_some_and(|name| differs(&self.attempt, name))
            || differs(&self.request, &self.names.request_id)
    }

    /// Returns true if a response carries the headers that the dialect requires of a
    /// response to this request.
    #[must_use]
    pub fn match_response<B>(&self, response: &http::Response<B>) -> bool {
        let has_request_id = response.headers().contains_key(&self.names.request_id);
        let is_matched = !self.names.echo_required || self.request.is_none() || has_request_id;
        let marker = self.names.response_marker.as_ref();
        let is_marked = marker.is_none_or(|marker| response.headers().contains_key(marker));
        is_matched && (is_marked || !response.status().is_success())
    }

    /// Returns true if a refusal is known to be the response to this request, which is one of
    /// `requests` on its connection.
    ///
    /// On a kept connection a refusal without an id may be one of an earlier request.
    #[must_use]
    pub fn match_refusal<B>(&self, response: &http::Response<B>, requests: u32) -> bool {
        let has_request_id = response.headers().contains_key(&self.names.request_id);
        !self.names.echo_required || self.request.is_none() || has_request_id || requests <= 1
    }
}

fn next_attempt_number() -> u64 {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(1);
    NEXT.fetch_add(1, atomic::Ordering::Relaxed)
}

async fn read_body(
    body: axum::body::Body,
    max_bytes: usize,
    memory: &replay::BodyMemory,
) -> Result<replay::BodySource, refusal::Refusal> {
    if body.is_end_stream() {
        return Ok(replay::BodySource::empty());
    }
    let length =
        body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if length.is_some_and(|length| length > max_bytes) {
        return Err(refuse_large_body(max_bytes));
    }
    if let Some(length) = length.filter(|length| *length > replay::MAX_BUFFERED_BYTES) {
        let permit = memory.try_reserve(replay::MAX_BUFFERED_BYTES.min(length));
        return Ok(replay::BodySource::stream(body, permit));
    }
    let buffer_bytes = length.unwrap_or(replay::MAX_BUFFERED_BYTES.min(max_bytes));
    let body_memory_full = refusal::Refusal::not_run(refusal::RefusalKind::BodyMemoryFull);
    let permit = memory.try_reserve(buffer_bytes).ok_or(body_memory_full)?;
    let source = replay::BodySource::buffer(body, buffer_bytes, permit).await;
    source.map_err(|failure| match failure {
        replay::ReadFailure::ConnectionFailed => {
            refusal::Refusal::not_run(refusal::RefusalKind::BodyBroken)
        }
        replay::ReadFailure::TooLarge if buffer_bytes == max_bytes => refuse_large_body(max_bytes),
        replay::ReadFailure::TooLarge => {
            refusal::Refusal::not_run(refusal::RefusalKind::LengthRequired(buffer_bytes))
        }
    })
}

fn refuse_large_body(max_bytes: usize) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::RefusalKind::BodyTooLarge(max_bytes as u64))
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    path.parse().unwrap_or_else(|_| http::Uri::from_static("/"))
}
