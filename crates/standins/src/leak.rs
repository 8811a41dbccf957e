//! Finds team keys in what a backend server was sent.

use marjoramwing_derives as derives;

/// Text that every demonstration key holds.
pub const KEY_MARK: &str = "demo-only-";

/// Requests that showed a key, by place.
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
    /// Returns the sum over all places.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.header + self.cookie + self.target + self.body
    }

    /// Adds the counts of another record.
    pub fn add(&mut self, other: Self) {
        self.header += other.header;
        self.cookie += other.cookie;
        self.target += other.target;
        self.body += other.body;
    }

    /// Counts each place in which one request shows a key.
    pub fn note(&mut self, head: &http::request::Parts, body: &[u8]) {
        let (cookies, others): (Vec<_>, Vec<_>) =
            head.headers.iter().partition(|(name, _)| *name == http::header::COOKIE);
        let in_header =
            others.iter().any(|(name, value)| is_key_header(name) || shows_mark(value.as_bytes()));
        self.header += u64::from(in_header);
        self.cookie += u64::from(cookies.iter().any(|(_, value)| shows_mark(value.as_bytes())));
        self.target += u64::from(shows_mark(head.uri.to_string().as_bytes()));
        self.body += u64::from(shows_mark(body));
    }
}

fn is_key_header(name: &http::HeaderName) -> bool {
    name == http::header::AUTHORIZATION || name == "x-marjoramwing-key"
}

fn shows_mark(text: &[u8]) -> bool {
    text.windows(KEY_MARK.len()).any(|part| part == KEY_MARK.as_bytes())
}
