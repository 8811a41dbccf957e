//! Reads what backend servers say of themselves in the heads of their responses.

use marjoramwing_dispatch::statement;
use marjoramwing_exchange::names;

/// Value of the header by which a server says that it leaves; any other one says nothing.
const LEAVING: &str = "1";

/// Reads the statements of a response's head.
pub(crate) fn read_statement<B>(
    response: &http::Response<B>,
    names: &names::HeaderNames,
) -> statement::AnswerStatement {
    let headers = response.headers();
    let is_leaving = headers.get_all(&names.leaving).iter().any(|value| value == LEAVING);
    statement::AnswerStatement { is_leaving, limit: read_limit(headers, names) }
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
