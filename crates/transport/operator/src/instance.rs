//! One HTTP call to an instance.

use std::net;
use std::time;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;

use crate::command;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A question to an instance.
#[derive(Debug)]
pub struct InstanceQuestion<'a> {
    /// Address of the port that answers.
    pub address: net::SocketAddr,
    /// Path and query.
    pub path: &'a str,
    /// Secret or key to send, if any.
    pub bearer: Option<&'a str>,
    /// Longest wait for the whole answer.
    pub timeout: time::Duration,
}

impl InstanceQuestion<'_> {
    /// Asks and returns the JSON of the answer.
    ///
    /// # Errors
    ///
    /// Returns what the instance refused or why there is no answer.
    pub async fn ask(&self) -> Result<serde_json::Value, command::CommandError> {
        match tokio::time::timeout(self.timeout, self.exchange()).await {
            Ok(answer) => answer,
            Err(_) => Err(self.failed("gave no answer in time; check its log and readiness")),
        }
    }

    async fn exchange(&self) -> Result<serde_json::Value, command::CommandError> {
        let mut request = http::Request::get(format!("http://{}{}", self.address, self.path));
        if let Some(bearer) = self.bearer {
            let mut value = http::HeaderValue::from_str(&format!("Bearer {bearer}"))
                .map_err(|_| self.failed("cannot be sent a secret with line breaks; correct it"))?;
            value.set_sensitive(true);
            request = request.header(http::header::AUTHORIZATION, value);
        }
        let request = request
            .body(http_body_util::Empty::<bytes::Bytes>::new())
            .map_err(|_| self.failed("has no such question; check the options"))?;
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        let answer = client.request(request).await;
        let answer = answer.map_err(|_| self.failed("cannot be reached; check that it runs"))?;
        let status = answer.status();
        let body = http_body_util::Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body =
            body.collect().await.map_err(|_| self.failed("broke off its answer; ask again"))?;
        let body = body.to_bytes();
        if status != http::StatusCode::OK {
            let reason = String::from_utf8_lossy(&body);
            return Err(self.failed(&format!("refused with status {status}: {}", reason.trim())));
        }
        serde_json::from_slice(&body).map_err(|_| self.failed("answered no JSON; check the port"))
    }

    fn failed(&self, reason: &str) -> command::CommandError {
        command::CommandError::Instance(format!("the instance at {} {reason}", self.address).into())
    }
}
