//! Which header says what, in one dialect.

use crate::load;

/// Header names and forms of one dialect.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Tells a backend server the team of a request.
    pub team: http::HeaderName,
    /// Tells a backend server the milliseconds left for a request.
    pub deadline: http::HeaderName,
    /// Whether a caller's deadline header bounds its request.
    pub caller_sets_deadline: bool,
    /// Numbers a caller's request; backend servers echo it.
    pub request_id: http::HeaderName,
    /// Whether an answer without the request's number belongs to no request.
    pub echo_required: bool,
    /// Numbers an attempt, if attempts are numbered; backend servers may echo it.
    pub attempt: Option<http::HeaderName>,
    /// Names the server that alone may run the request, if servers are named.
    pub expected_server: Option<http::HeaderName>,
    /// Says that a backend server did not run a request.
    pub shed: http::HeaderName,
    /// Statuses that count as shed when that header is present.
    pub shed_statuses: &'static [http::StatusCode],
    /// Status that says by itself that another server has the address.
    pub misdirected: Option<http::StatusCode>,
    /// Marks what a backend server itself answered, if anything does.
    pub answer_mark: Option<http::HeaderName>,
    /// Tells a backend server's load.
    pub load: http::HeaderName,
    /// Reads that header's value.
    pub read_load: fn(&str) -> Option<load::ReportedLoad>,
    /// Cookie that names a session, if one does.
    pub session_cookie: Option<&'static str>,
    /// Whether an answer may end with its connection.
    pub accepts_unbounded: bool,
    /// Whether a time to retry after may have fractions of a second.
    pub fractional_retry: bool,
}

/// The product's own dialect.
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
    answer_mark: None,
    load: http::HeaderName::from_static("marjoramwing-load"),
    read_load: read_native_load,
    session_cookie: None,
    accepts_unbounded: false,
    fractional_retry: false,
};

fn read_native_load(text: &str) -> Option<load::ReportedLoad> {
    text.parse().ok().map(|open| load::ReportedLoad { open })
}
