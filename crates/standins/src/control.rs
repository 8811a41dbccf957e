//! Readiness of instances, switches of stand-ins and edits at the platform.

use std::net;
use std::time;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use marjoramwing_object_api::path;
use marjoramwing_objects::object;
use marjoramwing_tables::document;

use crate::backend;

const CONTROL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The HTTP client of the stand-ins.
pub type HttpClient = legacy::Client<legacy::connect::HttpConnector, axum::body::Body>;

/// Why a call of a control path failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ControlError {
    /// Nothing answered.
    #[display("{address} does not answer; check that it runs and read its log")]
    NoAnswer {
        /// Address that was called.
        address: net::SocketAddr,
    },
    /// The call was refused.
    #[display("{address} refused {path} with status {status}: {text}; correct the request")]
    Refused {
        /// Address that was called.
        address: net::SocketAddr,
        /// Path that was called.
        path: String,
        /// Status of the answer.
        status: http::StatusCode,
        /// Body of the answer.
        text: String,
    },
    /// The answer is not as expected.
    #[display("{address} answered {path} with something else than expected; check the address")]
    BadAnswer {
        /// Address that was called.
        address: net::SocketAddr,
        /// Path that was called.
        path: String,
    },
    /// The platform has no such row.
    #[display("the platform has no {_0}; check the name")]
    NoRow(#[error(not(source))] String),
}

/// Makes a client that never repeats a request by itself.
#[must_use]
pub fn make_client() -> HttpClient {
    make_client_from(None)
}

/// Makes the same client with all its connections coming from one address.
#[must_use]
pub fn make_client_from(source: Option<net::IpAddr>) -> HttpClient {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_local_address(source);
    legacy::Client::builder(rt::TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// One answer of a control path.
struct ControlAnswer {
    version: Option<http::HeaderValue>,
    body: bytes::Bytes,
}

async fn call(
    http: &HttpClient,
    address: net::SocketAddr,
    request: http::Request<axum::body::Body>,
) -> Result<ControlAnswer, ControlError> {
    let path = request.uri().path().to_owned();
    let exchange = async {
        let response = http.request(request).await.ok()?;
        let (head, body) = response.into_parts();
        Some((head, body.collect().await.ok()?.to_bytes()))
    };
    let answered = tokio::time::timeout(CONTROL_TIMEOUT, exchange).await.ok().flatten();
    let (head, body) = answered.ok_or(ControlError::NoAnswer { address })?;
    if head.status.is_success() {
        return Ok(ControlAnswer { version: head.headers.get(http::header::ETAG).cloned(), body });
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

/// Reads the JSON answer of a path.
///
/// # Errors
///
/// Returns an error when there is no such answer.
pub async fn fetch<T: serde::de::DeserializeOwned>(
    http: &HttpClient,
    address: net::SocketAddr,
    path: &str,
) -> Result<T, ControlError> {
    let request = with_body(build(http::Method::GET, address, path), axum::body::Body::empty());
    let answer = call(http, address, request).await?;
    let bad = |_| ControlError::BadAnswer { address, path: path.to_owned() };
    serde_json::from_slice(&answer.body).map_err(bad)
}

/// Sets switches of a stand-in, given as the members of a JSON object.
///
/// # Errors
///
/// Returns an error when the stand-in does not take them.
pub async fn set_switches(
    http: &HttpClient,
    address: net::SocketAddr,
    path: &str,
    members: &str,
) -> Result<(), ControlError> {
    let request = with_body(build(http::Method::PUT, address, path), members.to_owned());
    call(http, address, request).await.map(|_| ())
}

/// Tells whether the instance with this admin address is ready.
pub async fn is_ready(http: &HttpClient, admin: net::SocketAddr) -> bool {
    let request = build(http::Method::GET, admin, "/readyz");
    call(http, admin, with_body(request, axum::body::Body::empty())).await.is_ok()
}

/// Reads a table of the platform, edits it and writes it back at its version.
///
/// # Errors
///
/// Returns an error when the platform does not take the edit.
///
/// # Panics
///
/// Panics if the edited table cannot be written as JSON.
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
    let bad = || ControlError::BadAnswer { address: platform, path: path.clone() };
    let version = current.version.ok_or_else(bad)?;
    let mut document: T = serde_json::from_slice(&current.body).map_err(|_| bad())?;
    edit(&mut document)?;
    let text = serde_json::to_vec(&document).expect("a table is valid JSON");
    let write = build(http::Method::PUT, platform, &path).header(http::header::IF_MATCH, version);
    call(http, platform, with_body(write, text)).await.map(|_| ())
}

/// Raises the deadline of a route by one millisecond, as an operator would.
///
/// # Errors
///
/// Returns an error when the platform does not take the edit.
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

/// Marks a backend server as draining, as an operator would.
///
/// # Errors
///
/// Returns an error when the platform does not take the edit.
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

/// Reads what one backend server did.
///
/// # Errors
///
/// Returns an error when the server does not answer.
pub async fn read_activity(
    http: &HttpClient,
    server: net::SocketAddr,
) -> Result<backend::ServerActivity, ControlError> {
    fetch(http, server, "/control/activity").await
}
