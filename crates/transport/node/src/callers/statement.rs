//! Reads what backend servers say of themselves in the heads of their responses.

use std::time;

use marjoramwing_dispatch::statement;
use marjoramwing_exchange::names;

/// Value of the header by which a server says that it leaves; any other one says nothing.
const LEAVING: &str = "1";

/// Longest time that is read, in seconds; dispatch bounds it further.
const MAX_PAUSE_SECONDS: f64 = 1e9;

/// Reads the statements of a response's head.
pub(crate) fn read_statement<B>(
    response: &http::Response<B>,
    names: &names::HeaderNames,
) -> statement::AnswerStatement {
    let headers = response.headers();
    let is_leaving = headers.get_all(&names.leaving).iter().any(|value| value == LEAVING);
    let pause = match response.status() {
        http::StatusCode::SERVICE_UNAVAILABLE => read_pause(headers),
        _ => None,
    };
    statement::AnswerStatement { is_leaving, limit: read_limit(headers, names), pause }
}

/// Reads the limit; of several values the lowest counts.
fn read_limit(headers: &http::HeaderMap, names: &names::HeaderNames) -> statement::LimitStatement {
    let mut values = headers.get_all(&names.rate_limit).iter().peekable();
    if values.peek().is_none() {
        return statement::LimitStatement::Absent;
    }
    let rates =
        values.filter_map(|value| statement::RequestRate::try_from(value.to_str().ok()?).ok());
    rates.min().map_or(statement::LimitStatement::Unreadable, statement::LimitStatement::Named)
}

/// Reads the time for which the server wants no requests; of several values the longest counts, and
/// dates are not read.
fn read_pause(headers: &http::HeaderMap) -> Option<time::Duration> {
    let values = headers.get_all(http::header::RETRY_AFTER).iter();
    let pauses = values.filter_map(|value| {
        let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
        let seconds = if seconds.is_finite() { seconds.min(MAX_PAUSE_SECONDS) } else { seconds };
        time::Duration::try_from_secs_f64(seconds).ok()
    });
    pauses.max().filter(|pause| !pause.is_zero())
}
