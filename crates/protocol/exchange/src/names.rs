//! Header names of one dialect.

use crate::load;

/// Header names of one dialect, and the rules for their values.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Header with the team of a request, for backend servers.
    pub team: http::HeaderName,
    /// Header with the milliseconds left for a request, for backend servers.
    pub deadline: http::HeaderName,
    /// Whether callers may set the deadline of a request with the deadline header.
    pub caller_sets_deadline: bool,
    /// Header with the ID of a caller's request; backend servers echo it.
    pub request_id: http::HeaderName,
    /// Whether a response is invalid if it does not echo the request ID.
    pub echo_required: bool,
    /// Header with the number of an attempt, if the dialect has one; backend servers may echo
    /// it.
    pub attempt: Option<http::HeaderName>,
    /// Header with the ID of the only server that may run the request, if the dialect has one.
    pub expected_server: Option<http::HeaderName>,
    /// Response header that marks a request as shed: the backend server did not run it.
    pub shed: http::HeaderName,
    /// Statuses of a response with the shed header that count as shed.
    pub shed_statuses: &'static [http::StatusCode],
    /// Status that means, without the shed header, that another server now has the address.
    pub misdirected: Option<http::StatusCode>,
    /// Header of responses that a backend server itself made, if the dialect has one.
    pub response_marker: Option<http::HeaderName>,
    /// Response header with the load of a backend server.
    pub load: http::HeaderName,
    /// Parses a value of the load header; returns `None` if it is invalid.
    pub parse_load: fn(&str) -> Option<load::ReportedLoad>,
    /// Response header with the value `1` by which a backend server says that it leaves.
    pub leaving: http::HeaderName,
    /// Response header with the requests per second that a backend server takes from all instances.
    pub rate_limit: http::HeaderName,
    /// Cookie that identifies a session, if the dialect has one.
    pub session_cookie: Option<&'static str>,
    /// Whether the end of the connection may delimit a response body.
    pub accepts_close_delimited: bool,
    /// Whether the path as the caller sent it, escapes included, selects the route.
    pub routes_by_sent_path: bool,
    /// Whether `Retry-After` may have fractions of a second.
    pub fractional_retry_after: bool,
}

/// Header names of this project's own dialect.
pub static NATIVE: HeaderNames = HeaderNames {
    team: http::HeaderName::from_static("marjoramwing-team"),
    deadline: http::HeaderName::from_static("marjoramwing-deadline-ms"),
    caller_sets_deadline: false,
    request_id: http::HeaderName::from_static("x-request-id"),
    echo_required: false,
    attempt: Some(http::HeaderName::from_static("marjoramwing-attempt")),
    expected_server: None,
    shed: http::HeaderName::from_static("marjoramwing-shed"),
    shed_statuses: &[http::StatusCode::SERVICE_UNAVAILABLE],
    misdirected: None,
    response_marker: None,
    load: http::HeaderName::from_static("marjoramwing-load"),
    parse_load: parse_native_load,
    leaving: http::HeaderName::from_static("marjoramwing-leaving"),
    rate_limit: http::HeaderName::from_static("marjoramwing-rate-limit"),
    session_cookie: None,
    accepts_close_delimited: false,
    routes_by_sent_path: false,
    fractional_retry_after: false,
};

fn parse_native_load(text: &str) -> Option<load::ReportedLoad> {
    text.parse().ok().map(|open_requests| load::ReportedLoad { open_requests })
}
