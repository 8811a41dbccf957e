//! Readiness of instances and edits at the platform.

use std::error;
use std::net;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use marjoramwing_object_api::path;
use marjoramwing_objects::object;
use marjoramwing_tables::document;

/// The HTTP client of the stand-ins.
pub type HttpClient = legacy::Client<legacy::connect::HttpConnector, axum::body::Body>;

/// Makes a client that never repeats a request by itself.
#[must_use]
pub fn make_client() -> HttpClient {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    legacy::Client::builder(rt::TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Tells whether the instance with this admin address is ready.
pub async fn is_ready(admin: net::SocketAddr) -> bool {
    let Ok(uri) = format!("http://{admin}/readyz").parse() else {
        return false;
    };
    let answer = make_client().get(uri).await;
    answer.is_ok_and(|answer| answer.status() == http::StatusCode::OK)
}

/// Raises the deadline of a route by one millisecond, as an operator would.
///
/// # Errors
///
/// Returns an error when the platform does not take the edit.
pub async fn edit_route(
    platform: net::SocketAddr,
    route: &str,
) -> Result<(), Box<dyn error::Error>> {
    let http = make_client();
    let name = object::ObjectName::new(object::ObjectKind::Tables, "routes");
    let uri = format!("http://{platform}{}", path::object(&name));
    let current = http.get(uri.parse()?).await?;
    let version = current.headers().get(http::header::ETAG).cloned();
    let version = version.ok_or("the platform gave no version")?;
    let body = current.into_body().collect().await?.to_bytes();
    let mut routes: document::RoutesDocument = serde_json::from_slice(&body)?;
    let edited = routes.routes.iter_mut().find(|row| &*row.name == route);
    edited.ok_or("the platform has no such route")?.deadline_ms += 1;
    let request = http::Request::put(uri)
        .header(http::header::IF_MATCH, version)
        .body(axum::body::Body::from(serde_json::to_vec(&routes)?))?;
    let answer = http.request(request).await?;
    if answer.status().is_success() {
        return Ok(());
    }
    Err(format!("the platform refused the edit with status {}", answer.status()).into())
}
