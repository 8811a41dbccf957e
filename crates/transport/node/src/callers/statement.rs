//! Reads what backend servers say of themselves in the heads of their responses.

use marjoramwing_dispatch::statement;
use marjoramwing_exchange::names;

/// Reads the statements of a response's head.
pub(crate) fn read_statement<B>(
    response: &http::Response<B>,
    names: &names::HeaderNames,
) -> statement::AnswerStatement {
    statement::AnswerStatement { limit: read_limit(response.headers(), names) }
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
