//! An HTTP client for the readiness of instances, the switches of stand-ins and
//! edits of the tables on the platform.

use std::net;
use std::time;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use marjoramwing_object_api::path;
use marjoramwing_objects::object;
use marjoramwing_tables::document;

use crate::backend;

/// Timeout for receiving a complete response from a control path.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The HTTP client of callers and control calls.
pub type HttpClient = legacy::Client<legacy::connect::HttpConnector, axum::body::Body>;

/// An error of a call to a control path.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ControlError {
    /// The call failed or timed out.
    #[display("{address} does not respond; check that it runs and read its log")]
    NoResponse {
        /// Address that was called.
        address: net::SocketAddr,
    },
    /// The call was rejected.
    #[display("{address} refused {path} with status {status}: {text}; correct the request")]
    Refused {
        /// Address that was called.
        address: net::SocketAddr,
        /// Path that was called.
        path: String,
        /// Status of the response.
        status: http::StatusCode,
        /// Body of the response.
        text: String,
    },
    /// The response is not in the expected format.
    #[display("unexpected response from {address} to {path}; check the address")]
    UnexpectedResponse {
        /// Address that was called.
        address: net::SocketAddr,
        /// Path that was called.
        path: String,
    },
    /// The table on the platform has no such row.
    #[display("the platform has no {_0}; check the name")]
    NoRow(#[error(not(source))] String),
}

/// Creates a client that does not retry requests automatically.
#[must_use]
pub fn make_client() -> HttpClient {
    make_client_from(None)
}

/// Creates such a client whose connections all use one local address.
#[must_use]
pub fn make_client_from(source: Option<net::IpAddr>) -> HttpClient {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_local_address(source);
    legacy::Client::builder(rt::TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// A successful response of a control path.
struct ControlResponse {
    /// Entity tag of the response, sent by the platform for objects.
    version: Option<http::HeaderValue>,
    body: bytes::Bytes,
}

async fn call(
    http: &HttpClient,
    address: net::SocketAddr,
    request: http::Request<axum::body::Body>,
) -> Result<ControlResponse, ControlError> {
    let path = request.uri().path().to_owned();
    let exchange = async {
        let response = http.request(request).await.ok()?;
        let (head, body) = response.into_parts();
        Some((head, body.collect().await.ok()?.to_bytes()))
    };
    let exchanged = tokio::time::timeout(CONTROL_TIMEOUT, exchange).await.ok().flatten();
    let (head, body) = exchanged.ok_or(ControlError::NoResponse { address })?;
    if head.status.is_success() {
        return Ok(ControlResponse {
            version: head.headers.get(http::header::ETAG).cloned(),
            body,
        });
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    Err(ControlError::Refused { address, path, status: head.status, text })
}

fn build(method: http::Method, address: net::SocketAddr, path: &str) -> http::request::Builder {
    http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
}

fn with_body(
    builder: http::request::Builder,
    body: impl Into<axum::body::Body>,
) -> http::Request<axum::body::Body> {
    builder.body(body.into()).expect("a control path is a valid request")
}

/// Returns the JSON document at a path.
///
/// # Errors
///
/// Returns an error if the call fails or the response is not such a document.
pub async fn fetch<T: serde::de::DeserializeOwned>(
    http: &HttpClient,
    address: net::SocketAddr,
    path: &str,
) -> Result<T, ControlError> {
    let request = with_body(build(http::Method::GET, address, path), axum::body::Body::empty());
    let response = call(http, address, request).await?;
    let unexpected = |_| ControlError::UnexpectedResponse { address, path: path.to_owned() };
    serde_json::from_slice(&response.body).map_err(unexpected)
}

/// Sets the switches of a stand-in that are given as members of a JSON object;
/// the others keep their values.
///
/// # Errors
///
/// Returns an error if the stand-in rejects them or does not respond.
pub async fn set_switches(
    http: &HttpClient,
    address: net::SocketAddr,
    path: &str,
    members: &str,
) -> Result<(), ControlError> {
    let request = with_body(build(http::Method::PUT, address, path), members.to_owned());
    call(http, address, request).await.map(|_| ())
}

/// Returns true if the instance with this admin address is ready.
pub async fn is_ready(http: &HttpClient, admin: net::SocketAddr) -> bool {
    let request = build(http::Method::GET, admin, "/readyz");
    call(http, admin, with_body(request, axum::body::Body::empty())).await.is_ok()
}

/// Reads a table from the platform, edits it and writes it back, provided that
/// its version has not changed.
///
/// # Errors
///
/// Returns an error if a call fails or the platform rejects the edit.
///
/// # Panics
///
/// Panics if the edited table cannot be serialized as JSON.
pub async fn edit_table<T>(
    http: &HttpClient,
    platform: net::SocketAddr,
    table: &str,
    edit: impl FnOnce(&mut T) -> Result<(), ControlError>,
) -> Result<(), ControlError>
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    let path = path::object(&object::ObjectName::new(object::ObjectKind::Tables, table));
    let read = with_body(build(http::Method::GET, platform, &path), axum::body::Body::empty());
    let current = call(http, platform, read).await?;
    let unexpected = || ControlError::UnexpectedResponse { address: platform, path: path.clone() };
    let version = current.version.ok_or_else(unexpected)?;
    let mut document: T = serde_json::from_slice(&current.body).map_err(|_| unexpected())?;
    edit(&mut document)?;
    let text = serde_json::to_vec(&document).expect("a table is valid JSON");
    let write = build(http::Method::PUT, platform, &path).header(http::header::IF_MATCH, version);
    call(http, platform, with_body(write, text)).await.map(|_| ())
}

/// Increases the deadline of a route by one millisecond, as a harmless edit by
/// an operator.
///
/// # Errors
///
/// Returns an error if a call fails or the platform rejects the edit.
pub async fn edit_route(
    http: &HttpClient,
    platform: net::SocketAddr,
    route: &str,
) -> Result<(), ControlError> {
    edit_table(http, platform, "routes", |routes: &mut document::RoutesDocument| {
        let row = routes.routes.iter_mut().find(|row| &*row.name == route);
        row.ok_or_else(|| ControlError::NoRow(format!("route `{route}`")))?.deadline_ms += 1;
        Ok(())
    })
    .await
}

/// Marks a backend server as draining in the pools table.
///
/// # Errors
///
/// Returns an error if a call fails or the platform rejects the edit.
pub async fn drain_server(
    http: &HttpClient,
    platform: net::SocketAddr,
    server: net::SocketAddr,
) -> Result<(), ControlError> {
    let text = server.to_string();
    edit_table(http, platform, "pools", |pools: &mut document::PoolsDocument| {
        let mut rows = pools.pools.iter_mut().flat_map(|pool| &mut pool.servers);
        let row = rows.find(|row| *row.address == *text);
        row.ok_or_else(|| ControlError::NoRow(format!("backend server {text}")))?.draining = true;
        Ok(())
    })
    .await
}

/// Returns the activity of one backend server.
///
/// # Errors
///
/// Returns an error if the call fails.
pub async fn read_activity(
    http: &HttpClient,
    server: net::SocketAddr,
) -> Result<backend::ServerActivity, ControlError> {
    fetch(http, server, "/control/activity").await
}
