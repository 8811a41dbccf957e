//! A single attempt to send a request, and the classification of its response.

use std::net;
use std::time;

use http_body_util::BodyExt;
use marjoramwing_derives as derives;

use crate::backend;
use crate::control;
use crate::profile;

/// Timeout for receiving a complete response.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Size of the body of a request other than a GET.
const REQUEST_BODY_BYTES: usize = 256;
/// Header that allows a caller to retry a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header of a refusal that states whether the request may have run.
const OUTCOME_HEADER: &str = "marjoramwing-outcome";

/// The result of an attempt, or of a request, as seen by the caller.
#[derives::value]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallResult {
    /// The complete, expected response arrived.
    #[display("served")]
    Served,
    /// Refused because a limit was exceeded; the request did not run.
    #[display("limited")]
    Limited,
    /// Refused for another reason, stating that the request did not run.
    #[display("not-run")]
    NotRun,
    /// Refused, or answered with an unexpected status, without stating that the
    /// request did not run.
    #[display("unknown")]
    Unknown,
    /// The response was truncated.
    #[display("cut")]
    Cut,
    /// The response ended normally, but its body was short or belonged to
    /// another request.
    #[display("foreign")]
    Foreign,
    /// The connection failed or the attempt timed out after the request may have
    /// been sent.
    #[display("broken")]
    Broken,
    /// No connection was established, so the request was not sent.
    #[display("unreached")]
    Unreached,
}

impl CallResult {
    /// Returns true if the request is known not to have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Limited | Self::NotRun | Self::Unreached)
    }
}

/// A request, which may be sent in more than one attempt.
#[derive(Debug)]
pub(crate) struct CallRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) key: Option<&'a str>,
    pub(crate) shape: &'a profile::RequestShape,
}

impl CallRequest<'_> {
    /// Sends the request once and classifies the response.
    pub(crate) async fn attempt(
        &self,
        http: &control::HttpClient,
        address: net::SocketAddr,
    ) -> CallResult {
        let exchange = async {
            match http.request(self.build(address)).await {
                Ok(response) => self.classify(response).await,
                Err(error) if is_unsent(&error) => CallResult::Unreached,
                Err(_) => CallResult::Broken,
            }
        };
        tokio::time::timeout(ATTEMPT_TIMEOUT, exchange).await.unwrap_or(CallResult::Broken)
    }

    /// Returns true if a caller may retry the request after a result.
    pub(crate) const fn may_retry(&self, result: CallResult) -> bool {
        match result {
            CallResult::Served | CallResult::Limited => false,
            CallResult::NotRun | CallResult::Unreached => true,
            CallResult::Unknown | CallResult::Cut | CallResult::Foreign | CallResult::Broken => {
                !self.shape.once || self.shape.idempotency_key
            }
        }
    }

    fn build(&self, address: net::SocketAddr) -> http::Request<axum::body::Body> {
        let body = if self.shape.method == "GET" {
            axum::body::Body::empty()
        } else {
            axum::body::Body::from(vec![b'x'; REQUEST_BODY_BYTES])
        };
        let mut request = http::Request::builder()
            .method(self.shape.method.as_str())
            .uri(format!("http://{address}{}", self.shape.path))
            .header(backend::REQUEST_ID_HEADER, self.id);
        if let Some(key) = self.key {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if self.shape.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, self.id);
        }
        request.body(body).expect("the profile describes valid requests")
    }

    async fn classify(&self, response: http::Response<hyper::body::Incoming>) -> CallResult {
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return CallResult::Cut;
        };
        let outcome = head.headers.get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
        match outcome {
            Some("not-run") if head.status == http::StatusCode::TOO_MANY_REQUESTS => {
                CallResult::Limited
            }
            Some("not-run") => CallResult::NotRun,
            Some(_) => CallResult::Unknown,
            None if head.headers.contains_key(backend::SHED_HEADER) => CallResult::NotRun,
            None => self.classify_body(head.status, &body.to_bytes()),
        }
    }

    fn classify_body(&self, status: http::StatusCode, body: &[u8]) -> CallResult {
        if status != http::StatusCode::OK {
            return CallResult::Unknown;
        }
        if body == backend::expected_body(self.id, self.shape.answer_bytes) {
            CallResult::Served
        } else {
            CallResult::Foreign
        }
    }
}

/// Returns true if no byte of the request was sent.
fn is_unsent(error: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(error);
    let cause = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    error.is_connect() || cause.is_some_and(hyper::Error::is_canceled)
}
