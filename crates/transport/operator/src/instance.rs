//! HTTP requests to an instance.

use std::net;
use std::time;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;

use crate::command;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A request without a body to a port of an instance.
#[derive(Debug)]
pub struct InstanceRequest<'a> {
    /// Method.
    pub method: http::Method,
    /// Address of the port.
    pub address: net::SocketAddr,
    /// Path and query string.
    pub path: &'a str,
    /// Secret or key to send as the bearer token, if any.
    pub bearer: Option<&'a str>,
    /// Timeout for the whole exchange.
    pub timeout: time::Duration,
}

impl InstanceRequest<'_> {
    /// Sends the request and returns the JSON of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot be reached, times out, answers with a
    /// status other than 200, or sends a body that is not JSON.
    pub async fn send(&self) -> Result<serde_json::Value, command::CommandError> {
        match tokio::time::timeout(self.timeout, self.exchange()).await {
            Ok(response) => response,
            Err(_) => Err(self.error("did not respond in time; check its log and readiness")),
        }
    }

    async fn exchange(&self) -> Result<serde_json::Value, command::CommandError> {
        let uri = format!("http://{}{}", self.address, self.path);
        let mut request = http::Request::builder().method(&self.method).uri(uri);
        if let Some(bearer) = self.bearer {
            let mut value =
                http::HeaderValue::from_str(&format!("Bearer {bearer}")).map_err(|_| {
                    self.error(
                        "was not called: the secret or key has control characters; correct it",
                    )
                })?;
            value.set_sensitive(true);
            request = request.header(http::header::AUTHORIZATION, value);
        }
        let request = request
            .body(http_body_util::Empty::<bytes::Bytes>::new())
            .map_err(|_| self.error("was not called: the path is invalid; check the options"))?;
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        let response = client.request(request).await;
        let response = response.map_err(|_| self.error("cannot be reached; check that it runs"))?;
        let status = response.status();
        let body = http_body_util::Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|_| self.error("sent an incomplete or too large response; try again"))?;
        let body = body.to_bytes();
        if status != http::StatusCode::OK {
            let reason = String::from_utf8_lossy(&body);
            return Err(
                self.error(&format!("refused the request with status {status}: {}", reason.trim()))
            );
        }
        serde_json::from_slice(&body)
            .map_err(|_| self.error("did not respond with JSON; check the port"))
    }

    fn error(&self, reason: &str) -> command::CommandError {
        command::CommandError::Instance(format!("the instance at {} {reason}", self.address).into())
    }
}
