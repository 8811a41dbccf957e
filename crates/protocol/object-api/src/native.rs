//! Encodes operations and decodes their responses in the native dialect.

use marjoramwing_objects::object;
use marjoramwing_objects::operation;

use crate::call;
use crate::path;
use crate::version;
use crate::watch;

/// Encodes an operation as an HTTP request.
///
/// # Panics
///
/// Never: every entity tag of a version is a valid header value.
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
    let value =
        http::HeaderValue::from_str(&condition.1).expect("an entity tag is a valid header value");
    call::StoreCall {
        method: http::Method::PUT,
        path: path::object(&write.name),
        headers: vec![(condition.0, value)],
        body: write.value.clone(),
    }
}

/// Decodes the response to an operation.
///
/// # Errors
///
/// Returns a fault if the status or the headers are not valid for the operation.
pub fn decode(
    operation: &operation::StoreOperation,
    response: &call::CallResponse,
) -> Result<operation::StoreAnswer, call::CallFault> {
    match operation {
        operation::StoreOperation::Read(_) => decode_read(response),
        operation::StoreOperation::Write(_) => decode_write(response),
    }
}

/// Encodes a watch as an HTTP request.
#[must_use]
pub fn encode_watch(request: &operation::WatchRequest) -> call::StoreCall {
    call::StoreCall::get(path::watch(request))
}

/// Decodes the response to a watch.
///
/// # Errors
///
/// Returns a fault if the status is not 200 or the body cannot be parsed.
pub fn decode_watch(
    kind: object::ObjectKind,
    response: &call::CallResponse,
) -> Result<operation::WatchAnswer, call::CallFault> {
    let document: watch::WatchDocument = parse(response)?;
    Ok(document.into_answer(kind))
}

/// Parses the JSON body of a successful response.
///
/// # Errors
///
/// Returns a fault if the status is not 200 or the body cannot be parsed.
pub fn parse<T: serde::de::DeserializeOwned>(
    response: &call::CallResponse,
) -> Result<T, call::CallFault> {
    if response.status != http::StatusCode::OK {
        return Err(call::CallFault::Status(response.status.as_u16()));
    }
    serde_json::from_slice(&response.body).map_err(|_| call::CallFault::Body)
}

fn decode_read(response: &call::CallResponse) -> Result<operation::StoreAnswer, call::CallFault> {
    match (response.status, response_version(response)) {
        (http::StatusCode::OK, Some(version)) => {
            let stored = operation::StoredObject { version, value: response.body.clone() };
            Ok(operation::StoreAnswer::Found(stored))
        }
        (http::StatusCode::NOT_FOUND, _) => Ok(operation::StoreAnswer::Missing),
        (status, _) => Err(call::CallFault::Status(status.as_u16())),
    }
}

fn decode_write(response: &call::CallResponse) -> Result<operation::StoreAnswer, call::CallFault> {
    match (response.status, response_version(response)) {
        (http::StatusCode::OK | http::StatusCode::CREATED, Some(version)) => {
            Ok(operation::StoreAnswer::Written(version))
        }
        (http::StatusCode::PRECONDITION_FAILED, current) => {
            Ok(operation::StoreAnswer::Conflict(current))
        }
        // These statuses say that the store did not carry out the write.
        (
            http::StatusCode::TOO_MANY_REQUESTS
            | http::StatusCode::PAYLOAD_TOO_LARGE
            | http::StatusCode::BAD_REQUEST,
            _,
        ) => Ok(operation::StoreAnswer::Rejected),
        (status, _) => Err(call::CallFault::Status(status.as_u16())),
    }
}

fn response_version(response: &call::CallResponse) -> Option<object::ObjectVersion> {
    let tag = response.headers.get(http::header::ETAG)?;
    version::from_entity_tag(tag.to_str().ok()?)
}
