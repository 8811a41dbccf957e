//! A caller's request, made ready to be sent to backend servers.
//!
//! Invariants: no backend server sees a key or a forged internal header; of a
//! body that turns out too large no part is sent.

use std::sync::atomic;
use std::time;

use http_body::Body as _;
use marjoramwing_tables::route;

use crate::backends::replay;
use crate::callers::answer;
use crate::callers::headers;

/// Header with the number of an attempt, which a backend server may echo.
pub const ATTEMPT_HEADER: http::HeaderName = http::HeaderName::from_static("marjoramwing-attempt");

/// Header with which callers number their requests.
pub const REQUEST_ID_HEADER: http::HeaderName = http::HeaderName::from_static("x-request-id");

/// A request that can be sent to several backend servers.
#[derive(Debug)]
pub struct PreparedRequest {
    method: http::Method,
    uri: http::Uri,
    headers: http::HeaderMap,
    /// Where the attempts take the body from.
    pub source: replay::BodySource,
}

impl PreparedRequest {
    /// Checks a request's body against its route, and reads it if it is small.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the body cannot be passed on safely.
    pub async fn prepare(
        request: http::Request<axum::body::Body>,
        route: &route::Route,
        team: Option<&str>,
        memory: &replay::BodyMemory,
    ) -> Result<Self, answer::Refusal> {
        let (parts, body) = request.into_parts();
        let max_bytes = usize::try_from(route.max_body_bytes).unwrap_or(usize::MAX);
        let source = read_body(body, max_bytes, memory).await?;
        let (uri, mut headers) = (parts.uri, parts.headers);
        headers::remove_hop_by_hop(&mut headers);
        headers::remove_internal(&mut headers);
        headers.remove(http::header::EXPECT);
        // A checked name is always a header.
        if let Some(value) = team.and_then(|team| http::HeaderValue::from_str(team).ok()) {
            headers.insert(headers::TEAM_HEADER, value);
        }
        let authority = uri.authority().map(http::uri::Authority::as_str);
        if let Some(host) = authority.and_then(|host| http::HeaderValue::from_str(host).ok()) {
            headers.insert(http::header::HOST, host);
        }
        Ok(Self { method: parts.method, uri: origin_form(&uri), headers, source })
    }

    /// Returns the method.
    #[must_use]
    pub const fn method(&self) -> &http::Method {
        &self.method
    }

    /// Returns the headers that backend servers see.
    #[must_use]
    pub const fn headers(&self) -> &http::HeaderMap {
        &self.headers
    }

    /// Builds the request of one attempt.
    #[must_use]
    pub fn build(&self, time_left: time::Duration) -> http::Request<replay::RequestBody> {
        let mut request = http::Request::new(self.source.body());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let headers = request.headers_mut();
        headers.insert(headers::DEADLINE_HEADER, http::HeaderValue::from(left_ms));
        headers.insert(ATTEMPT_HEADER, http::HeaderValue::from(next_attempt_number()));
        request
    }
}

/// Numbers that an answer repeats if it belongs to the request.
#[derive(Debug)]
pub struct AnswerMarks {
    attempt: Option<http::HeaderValue>,
    request: Option<http::HeaderValue>,
}

impl AnswerMarks {
    /// Remembers the numbers of a request.
    #[must_use]
    pub fn of(headers: &http::HeaderMap) -> Self {
        Self {
            attempt: headers.get(ATTEMPT_HEADER).cloned(),
            request: headers.get(REQUEST_ID_HEADER).cloned(),
        }
    }

    /// Tells whether an answer carries another request's number.
    #[must_use]
    pub fn contradict(&self, answer: &http::HeaderMap) -> bool {
        let differs = |sent: &Option<http::HeaderValue>, name: http::HeaderName| {
            let told = answer.get(name);
            sent.as_ref().zip(told).is_some_and(|(sent, told)| sent != told)
        };
        differs(&self.attempt, ATTEMPT_HEADER) || differs(&self.request, REQUEST_ID_HEADER)
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
) -> Result<replay::BodySource, answer::Refusal> {
    if body.is_end_stream() {
        return Ok(replay::BodySource::empty());
    }
    let length =
        body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if length.is_some_and(|length| length > max_bytes) {
        return Err(refuse_length(max_bytes));
    }
    if let Some(length) = length.filter(|length| *length > replay::KEPT_BYTES) {
        let share = memory.share(replay::KEPT_BYTES.min(length));
        return Ok(replay::BodySource::stream(body, share));
    }
    let kept_bytes = length.unwrap_or(replay::KEPT_BYTES.min(max_bytes));
    let full = answer::Refusal::not_run(answer::RefusalKind::BodiesFull);
    let share = memory.share(kept_bytes).ok_or(full)?;
    let read = replay::BodySource::read_whole(body, kept_bytes, share).await;
    read.map_err(|failure| match failure {
        replay::ReadFailure::Broken => answer::Refusal::not_run(answer::RefusalKind::BodyBroken),
        replay::ReadFailure::TooLong if kept_bytes == max_bytes => refuse_length(max_bytes),
        replay::ReadFailure::TooLong => {
            answer::Refusal::not_run(answer::RefusalKind::LengthRequired(kept_bytes))
        }
    })
}

fn refuse_length(max_bytes: usize) -> answer::Refusal {
    answer::Refusal::not_run(answer::RefusalKind::BodyTooLarge(max_bytes as u64))
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    path.parse().unwrap_or_else(|_| http::Uri::from_static("/"))
}
