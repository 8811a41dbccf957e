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
use marjoramwing_object_api::call;
use marjoramwing_object_api::listing;
use marjoramwing_object_api::native;
use marjoramwing_object_api::path;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_platform::store as platform;

use crate::dialect;

type RequestBody = http_body_util::Full<bytes::Bytes>;
type HttpClient = legacy::Client<legacy::connect::HttpConnector, RequestBody>;

/// Longest wait for a connection; a packet that was lost is not sent again sooner.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time after which a silent connection is probed, and between two probes.
///
/// A watch waits for long, and something between may forget its connection.
const KEEPALIVE_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Pages of one list; more than that would be a store that repeats itself.
const MAX_PAGES: usize = 1_000;
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
    /// The answer's body cannot be read.
    #[display("object API at {address} gave an answer that cannot be read; check the address")]
    Unreadable {
        /// Address that was tried.
        address: net::SocketAddr,
    },
    /// The changes asked for are no longer known.
    #[display("object API at {address} no longer knows these changes; list the objects")]
    HistoryGone {
        /// Address that was tried.
        address: net::SocketAddr,
    },
}

/// A client of one object API.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: net::SocketAddr,
    timeout: time::Duration,
    dialect: dialect::StoreDialect,
}

impl StoreClient {
    /// Makes a client that waits at most `timeout` for each call.
    #[must_use]
    pub fn new(
        address: net::SocketAddr,
        timeout: time::Duration,
        dialect: dialect::StoreDialect,
    ) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(timeout.min(CONNECT_TIMEOUT)));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_PERIOD));
        connector.set_keepalive_interval(Some(KEEPALIVE_PERIOD));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http, address, timeout, dialect }
    }

    /// Carries out one operation.
    pub async fn run(&self, operation: &operation::StoreOperation) -> operation::StoreAnswer {
        self.try_run(operation).await.unwrap_or_else(|error| match error {
            StoreError::Unreachable { .. } => operation::StoreAnswer::Rejected,
            StoreError::NoAnswer { .. }
            | StoreError::Status { .. }
            | StoreError::Unreadable { .. }
            | StoreError::HistoryGone { .. } => operation::StoreAnswer::Unknown,
        })
    }

    /// Carries out one operation, or tells why it gave no usable answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer; a write may then
    /// have taken effect unless the error is [`StoreError::Unreachable`].
    pub async fn try_run(
        &self,
        operation: &operation::StoreOperation,
    ) -> Result<operation::StoreAnswer, StoreError> {
        let answer = self.call(self.dialect.encode(operation), self.timeout).await?;
        self.dialect.decode(operation, &answer).map_err(|fault| self.unusable(fault))
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
        self.try_run(&operation::StoreOperation::Read(name.clone())).await
    }

    /// Writes one object if its version is as expected.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::try_run`] does.
    pub async fn write(
        &self,
        write: &operation::ConditionalWrite,
    ) -> Result<operation::StoreAnswer, StoreError> {
        self.try_run(&operation::StoreOperation::Write(write.clone())).await
    }

    /// Waits for changes of one kind of object.
    ///
    /// Answers at once with all objects where the changes are not known.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer.
    pub async fn watch(
        &self,
        request: &operation::WatchRequest,
    ) -> Result<operation::WatchAnswer, StoreError> {
        if self.dialect.lists_first() && request.after == 0 {
            return self.list(request.kind).await;
        }
        match self.watch_changes(request).await {
            Err(StoreError::HistoryGone { .. }) => self.list(request.kind).await,
            answer => answer,
        }
    }

    /// Waits for changes of one kind of object that are still known.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer, or
    /// [`StoreError::HistoryGone`] when it answered that it no longer knows them.
    pub async fn watch_changes(
        &self,
        request: &operation::WatchRequest,
    ) -> Result<operation::WatchAnswer, StoreError> {
        let call = self.dialect.encode_watch(request);
        let answer = self.call(call, request.wait + self.timeout).await?;
        let decoded = self.dialect.decode_watch(request.kind, &answer);
        decoded.map_err(|fault| self.unusable(fault))
    }

    /// Reads the lagging list of instances.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer.
    pub async fn list_instances(&self) -> Result<listing::InstanceListing, StoreError> {
        match self.dialect {
            dialect::StoreDialect::Platform => {
                let answer = self.list(object::ObjectKind::Instances).await?;
                Ok(platform::read_instances(&answer))
            }
            dialect::StoreDialect::Native => {
                let call = call::StoreCall::get(path::INSTANCES.to_owned());
                let answer = self.call(call, self.timeout).await?;
                native::parse(&answer).map_err(|fault| self.unusable(fault))
            }
        }
    }

    /// Reads all objects of a kind, page by page.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gave no usable answer.
    pub async fn list(
        &self,
        kind: object::ObjectKind,
    ) -> Result<operation::WatchAnswer, StoreError> {
        let mut whole: Option<operation::WatchAnswer> = None;
        let mut after = None;
        for _ in 0..MAX_PAGES {
            let call = platform::encode_list(kind, after.as_deref());
            let answer = self.call(call, self.timeout).await?;
            let page = platform::decode_list(kind, &answer);
            let page = page.map_err(|fault| self.unusable(fault))?;
            match &mut whole {
                // Changes during the list are told again by the next watch.
                Some(whole) => whole.changes.extend(page.answer.changes),
                None => whole = Some(page.answer),
            }
            after = page.next_after;
            if after.is_none() {
                break;
            }
        }
        whole.ok_or(StoreError::NoAnswer { address: self.address })
    }

    async fn call(
        &self,
        call: call::StoreCall,
        timeout: time::Duration,
    ) -> Result<call::CallResponse, StoreError> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = http::Request::builder()
            .method(call.method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json");
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(http_body_util::Full::new(call.body))
            .expect("paths and versions make a valid request");
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::NoAnswer { address: self.address }),
        }
    }

    async fn exchange(
        &self,
        request: http::Request<RequestBody>,
    ) -> Result<call::CallResponse, StoreError> {
        let address = self.address;
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                StoreError::Unreachable { address }
            } else {
                StoreError::NoAnswer { address }
            }
        })?;
        let (head, body) = response.into_parts();
        let limited = http_body_util::Limited::new(body, MAX_ANSWER_BYTES);
        let body = limited.collect().await.map_err(|_| StoreError::NoAnswer { address })?;
        Ok(call::CallResponse { status: head.status, headers: head.headers, body: body.to_bytes() })
    }

    fn unusable(&self, fault: call::CallFault) -> StoreError {
        let address = self.address;
        match fault {
            call::CallFault::Status(status) => StoreError::Status { address, status },
            call::CallFault::Body => StoreError::Unreadable { address },
            call::CallFault::HistoryGone => StoreError::HistoryGone { address },
        }
    }
}
