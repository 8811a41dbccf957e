//! The client of the platform's object API.
//!
//! Invariant: an operation is reported as without effect only when the store
//! said so or no byte of it was sent; everything else is `Unknown`.

use std::net;
use std::time;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use marjoramwing_derives as derives;
use marjoramwing_object_api::listing;
use marjoramwing_object_api::path;
use marjoramwing_object_api::version;
use marjoramwing_object_api::watch;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;

type RequestBody = http_body_util::Full<bytes::Bytes>;
type HttpClient = legacy::Client<legacy::connect::HttpConnector, RequestBody>;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why a call gave no usable answer.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The connection could not be opened, so nothing was sent.
    #[display("object API at {address} refused the connection; check that the platform runs")]
    Unreachable {
        /// Address that was tried.
        address: net::SocketAddr,
    },
    /// No answer came in time.
    #[display("object API at {address} gave no answer in time; the call may have taken effect")]
    NoAnswer {
        /// Address that was tried.
        address: net::SocketAddr,
    },
    /// The answer is not one of the object API.
    #[display("object API at {address} answered with status {status}; check the address")]
    Status {
        /// Address that was tried.
        address: net::SocketAddr,
        /// Status of the answer.
        status: u16,
    },
}

/// A client of one object API.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: net::SocketAddr,
    timeout: time::Duration,
}

/// An answer whose body was read whole.
struct WholeAnswer {
    status: http::StatusCode,
    version: Option<object::ObjectVersion>,
    body: bytes::Bytes,
}

impl StoreClient {
    /// Makes a client that waits at most `timeout` for each call.
    #[must_use]
    pub fn new(address: net::SocketAddr, timeout: time::Duration) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http, address, timeout }
    }

    /// Carries out one operation.
    pub async fn run(&self, operation: &operation::StoreOperation) -> operation::StoreAnswer {
        let answer = match operation {
            operation::StoreOperation::Read(name) => self.read(name).await,
            operation::StoreOperation::Write(write) => self.write(write).await,
        };
        answer.unwrap_or_else(|error| match error {
            StoreError::Unreachable { .. } => operation::StoreAnswer::Rejected,
            StoreError::NoAnswer { .. } | StoreError::Status { .. } => {
                operation::StoreAnswer::Unknown
            }
        })
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer.
    pub async fn read(
        &self,
        name: &object::ObjectName,
    ) -> Result<operation::StoreAnswer, StoreError> {
        let request = self.request(http::Method::GET, &path::object(name));
        let answer = self.call(request, bytes::Bytes::new(), self.timeout).await?;
        match (answer.status, answer.version) {
            (http::StatusCode::OK, Some(version)) => {
                let stored = operation::StoredObject { version, value: answer.body };
                Ok(operation::StoreAnswer::Found(stored))
            }
            (http::StatusCode::NOT_FOUND, _) => Ok(operation::StoreAnswer::Missing),
            (status, _) => Err(self.unexpected(status)),
        }
    }

    /// Writes one object if its version is as expected.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer; the write may
    /// then have taken effect unless the error is [`StoreError::Unreachable`].
    pub async fn write(
        &self,
        write: &operation::ConditionalWrite,
    ) -> Result<operation::StoreAnswer, StoreError> {
        let request = self.request(http::Method::PUT, &path::object(&write.name));
        let request = match write.expected {
            Some(expected) => {
                request.header(http::header::IF_MATCH, version::to_entity_tag(expected))
            }
            None => request.header(http::header::IF_NONE_MATCH, "*"),
        };
        let answer = self.call(request, write.value.clone(), self.timeout).await?;
        match (answer.status, answer.version) {
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
            (status, _) => Err(self.unexpected(status)),
        }
    }

    /// Waits for changes of one kind of object.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer.
    pub async fn watch(
        &self,
        request: &operation::WatchRequest,
    ) -> Result<operation::WatchAnswer, StoreError> {
        let get = self.request(http::Method::GET, &path::watch(request));
        let answer = self.call(get, bytes::Bytes::new(), request.wait + self.timeout).await?;
        let document: watch::WatchDocument = self.parse(&answer)?;
        Ok(document.into_answer(request.kind))
    }

    /// Reads the lagging list of instances.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer.
    pub async fn list_instances(&self) -> Result<listing::InstanceListing, StoreError> {
        let get = self.request(http::Method::GET, path::INSTANCES);
        let answer = self.call(get, bytes::Bytes::new(), self.timeout).await?;
        self.parse(&answer)
    }

    fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        let uri = format!("http://{}{path}", self.address);
        http::Request::builder()
            .method(method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
    }

    async fn call(
        &self,
        request: http::request::Builder,
        body: bytes::Bytes,
        timeout: time::Duration,
    ) -> Result<WholeAnswer, StoreError> {
        let request = request
            .body(http_body_util::Full::new(body))
            .expect("paths and versions make a valid request");
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::NoAnswer { address: self.address }),
        }
    }

    async fn exchange(
        &self,
        request: http::Request<RequestBody>,
    ) -> Result<WholeAnswer, StoreError> {
        let address = self.address;
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                StoreError::Unreachable { address }
            } else {
                StoreError::NoAnswer { address }
            }
        })?;
        let status = response.status();
        let tag = response.headers().get(http::header::ETAG);
        let version = tag.and_then(|tag| version::from_entity_tag(tag.to_str().ok()?));
        let limited = http_body_util::Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = limited.collect().await.map_err(|_| StoreError::NoAnswer { address })?;
        Ok(WholeAnswer { status, version, body: body.to_bytes() })
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, answer: &WholeAnswer) -> Result<T, StoreError> {
        if answer.status != http::StatusCode::OK {
            return Err(self.unexpected(answer.status));
        }
        serde_json::from_slice(&answer.body).map_err(|_| self.unexpected(answer.status))
    }

    fn unexpected(&self, status: http::StatusCode) -> StoreError {
        StoreError::Status { address: self.address, status: status.as_u16() }
    }
}
