//! The product's own dialect: operations as calls, and their answers.

use marjoramwing_objects::object;
use marjoramwing_objects::operation;

use crate::call;
use crate::path;
use crate::version;
use crate::watch;

/// Translates an operation.
///
/// # Panics
///
/// Never: a version makes a valid header.
#[must_use]
pub fn encode(operation: &operation::StoreOperation) -> call::StoreCall {
    let write = match operation {
        operation::StoreOperation::Read(name) => return call::StoreCall::get(path::object(name)),
        operation::StoreOperation::Write(write) => write,
    };
    let condition = match write.expected {
        Some(expected) => (http::header::IF_MATCH, version::to_entity_tag(expected)),
        None => (http::header::IF_NONE_MATCH, "*".to_owned()),
    };
    let value = http::HeaderValue::from_str(&condition.1).expect("a tag is a valid header");
    call::StoreCall {
        method: http::Method::PUT,
        path: path::object(&write.name),
        headers: vec![(condition.0, value)],
        body: write.value.clone(),
    }
}

/// Translates the answer to an operation.
///
/// # Errors
///
/// Returns a fault when the answer is not one to such an operation.
pub fn decode(
    operation: &operation::StoreOperation,
    answer: &call::CallAnswer,
) -> Result<operation::StoreAnswer, call::CallFault> {
    match operation {
        operation::StoreOperation::Read(_) => decode_read(answer),
        operation::StoreOperation::Write(_) => decode_write(answer),
    }
}

/// Translates a wait for changes.
#[must_use]
pub fn encode_watch(request: &operation::WatchRequest) -> call::StoreCall {
    call::StoreCall::get(path::watch(request))
}

/// Translates the answer to a wait for changes.
///
/// # Errors
///
/// Returns a fault when the answer is not one to such a wait.
pub fn decode_watch(
    kind: object::ObjectKind,
    answer: &call::CallAnswer,
) -> Result<operation::WatchAnswer, call::CallFault> {
    let document: watch::WatchDocument = parse(answer)?;
    Ok(document.into_answer(kind))
}

/// Parses the body of a successful answer.
///
/// # Errors
///
/// Returns a fault when the call failed or the body is another one.
pub fn parse<T: serde::de::DeserializeOwned>(
    answer: &call::CallAnswer,
) -> Result<T, call::CallFault> {
    if answer.status != http::StatusCode::OK {
        return Err(call::CallFault::Status(answer.status.as_u16()));
    }
    serde_json::from_slice(&answer.body).map_err(|_| call::CallFault::Body)
}

fn decode_read(answer: &call::CallAnswer) -> Result<operation::StoreAnswer, call::CallFault> {
    match (answer.status, told_version(answer)) {
        (http::StatusCode::OK, Some(version)) => {
            let stored = operation::StoredObject { version, value: answer.body.clone() };
            Ok(operation::StoreAnswer::Found(stored))
        }
        (http::StatusCode::NOT_FOUND, _) => Ok(operation::StoreAnswer::Missing),
        (status, _) => Err(call::CallFault::Status(status.as_u16())),
    }
}

fn decode_write(answer: &call::CallAnswer) -> Result<operation::StoreAnswer, call::CallFault> {
    match (answer.status, told_version(answer)) {
        (http::StatusCode::OK | http::StatusCode::CREATED, Some(version)) => {
            Ok(operation::StoreAnswer::Written(version))
        }
        (http::StatusCode::PRECONDITION_FAILED, current) => {
            Ok(operation::StoreAnswer::Conflict(current))
        }
        (
            http::StatusCode::TOO_MANY_REQUESTS
            | http::StatusCode::PAYLOAD_TOO_LARGE
            | http::StatusCode::BAD_REQUEST,
            _,
        ) => Ok(operation::StoreAnswer::Rejected),
        (status, _) => Err(call::CallFault::Status(status.as_u16())),
    }
}

fn told_version(answer: &call::CallAnswer) -> Option<object::ObjectVersion> {
    let tag = answer.headers.get(http::header::ETAG)?;
    version::from_entity_tag(tag.to_str().ok()?)
}
