//! Detects team keys in requests to backend servers.

use marjoramwing_derives as derives;

/// Text contained in every key of the demonstration and test deployments.
pub const KEY_MARKER: &str = "demo-only-";

/// Counts of requests that contained a key, by location.
#[derives::document]
#[derive(Copy, Default, Eq)]
pub struct LeakCounts {
    /// In a header other than a cookie.
    pub header: u64,
    /// In a cookie.
    pub cookie: u64,
    /// In the path or the query.
    pub target: u64,
    /// In the body.
    pub body: u64,
}

impl LeakCounts {
    /// Returns the sum over all locations.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.header + self.cookie + self.target + self.body
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: Self) {
        self.header += other.header;
        self.cookie += other.cookie;
        self.target += other.target;
        self.body += other.body;
    }

    /// Counts each location in which a request contains a key or a key header.
    pub fn record_request(&mut self, head: &http::request::Parts, body: &[u8]) {
        let (cookies, others): (Vec<_>, Vec<_>) =
            head.headers.iter().partition(|(name, _)| *name == http::header::COOKIE);
        let is_in_header = others
            .iter()
            .any(|(name, value)| is_key_header(name) || contains_marker(value.as_bytes()));
        self.header += u64::from(is_in_header);
        self.cookie +=
            u64::from(cookies.iter().any(|(_, value)| contains_marker(value.as_bytes())));
        self.target += u64::from(contains_marker(head.uri.to_string().as_bytes()));
        self.body += u64::from(contains_marker(body));
    }
}

fn is_key_header(name: &http::HeaderName) -> bool {
    name == http::header::AUTHORIZATION || name == "x-marjoramwing-key"
}

fn contains_marker(text: &[u8]) -> bool {
    text.windows(KEY_MARKER.len()).any(|part| part == KEY_MARKER.as_bytes())
}
