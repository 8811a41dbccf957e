//! Client of the platform's object API.
//!
//! Invariant: an operation is reported as having had no effect only if the store
//! says so or no byte of the request was sent; after any other failure its result
//! is reported as unknown.

use std::net;
use std::sync;
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
use marjoramwing_objects::position;
use marjoramwing_platform::store as platform;
use tokio::sync::watch;

use crate::dialect;

type RequestBody = http_body_util::Full<bytes::Bytes>;
type HttpClient = legacy::Client<legacy::connect::HttpConnector, RequestBody>;

/// Connect timeout; TCP does not retransmit a lost SYN within this time.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Idle time before the first TCP keepalive probe, and interval between probes.
///
/// The connection of a watch is idle for long, and a device on the path may drop
/// its connection state meanwhile.
const KEEPALIVE_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum pages of one list; a store that sends more is assumed to repeat pages.
const MAX_PAGES: usize = 1_000;
/// Times that a list is begun again because the store was restored between two of its pages.
const MAX_RESTARTS: usize = 3;
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Errors of a call to the object API.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The connection could not be opened, so nothing was sent.
    #[display("cannot connect to the object API at {address}; check that the platform runs")]
    Unreachable {
        /// Address of the object API.
        address: net::SocketAddr,
    },
    /// The request may have been sent, but a timeout, a broken connection or the size
    /// limit prevented a complete response.
    #[display("object API at {address} sent no complete response; the call may have taken effect")]
    NoResponse {
        /// Address of the object API.
        address: net::SocketAddr,
    },
    /// The response has a status that the object API does not use for this call.
    #[display(
        "object API at {address} responded with unexpected status {status}; check the address"
    )]
    Status {
        /// Address of the object API.
        address: net::SocketAddr,
        /// Status of the response.
        status: u16,
    },
    /// The body of the response cannot be parsed.
    #[display("object API at {address} sent a response that cannot be parsed; check the address")]
    Unreadable {
        /// Address of the object API.
        address: net::SocketAddr,
    },
    /// The store no longer has the changes that a watch requested.
    #[display("object API at {address} no longer has the requested changes; list the objects")]
    HistoryGone {
        /// Address of the object API.
        address: net::SocketAddr,
    },
}

/// A client of one object API; clones share its connections.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: net::SocketAddr,
    timeout: time::Duration,
    dialect: dialect::StoreDialect,
    /// Newest era that any answer stated.
    era: sync::Arc<watch::Sender<position::StoreEra>>,
}

impl StoreClient {
    /// Creates a client that waits at most `timeout` for each call; for a watch, the
    /// requested wait is added.
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
        let era = sync::Arc::new(watch::Sender::default());
        Self { http, address, timeout, dialect, era }
    }

    /// Runs one operation and maps errors to [`operation::StoreAnswer::Rejected`] if
    /// nothing was sent, or else to [`operation::StoreAnswer::Unknown`].
    pub async fn run(&self, operation: &operation::StoreOperation) -> operation::StoreAnswer {
        self.try_run(operation).await.unwrap_or_else(|error| match error {
            StoreError::Unreachable { .. } => operation::StoreAnswer::Rejected,
            StoreError::NoResponse { .. }
            | StoreError::Status { .. }
            | StoreError::Unreadable { .. }
            | StoreError::HistoryGone { .. } => operation::StoreAnswer::Unknown,
        })
    }

    /// Runs one operation.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; a write may then have taken effect
    /// unless the error is [`StoreError::Unreachable`].
    pub async fn try_run(
        &self,
        operation: &operation::StoreOperation,
    ) -> Result<operation::StoreAnswer, StoreError> {
        let response = self.call(self.dialect.encode(operation), self.timeout).await?;
        self.dialect.decode(operation, &response).map_err(|fault| self.call_error(fault))
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    pub async fn read(
        &self,
        name: &object::ObjectName,
    ) -> Result<operation::StoreAnswer, StoreError> {
        self.try_run(&operation::StoreOperation::Read(name.clone())).await
    }

    /// Writes one object if it is at the expected version.
    ///
    /// # Errors
    ///
    /// Returns an error under the conditions of [`Self::try_run`].
    pub async fn write(
        &self,
        write: &operation::ConditionalWrite,
    ) -> Result<operation::StoreAnswer, StoreError> {
        self.try_run(&operation::StoreOperation::Write(write.clone())).await
    }

    /// Waits for changes of one kind of object.
    ///
    /// Returns all objects at once if the store no longer has the requested changes,
    /// or if the dialect requires a list before the first watch.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    pub async fn watch(
        &self,
        request: &operation::WatchRequest,
    ) -> Result<operation::WatchAnswer, StoreError> {
        if self.dialect.lists_first() && request.after.is_start() {
            return self.list(request.kind, call::ListFreshness::Current).await;
        }
        match self.watch_changes(request).await {
            Err(StoreError::HistoryGone { .. }) => {
                self.list(request.kind, call::ListFreshness::Current).await
            }
            answer => answer,
        }
    }

    /// Waits for changes of one kind of object, without falling back to a list.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; [`StoreError::HistoryGone`] if the store
    /// no longer has the changes, or any call is answered in a later era, or this one in another era,
    /// than that of the requested position: the same revision then stands for other changes.
    pub async fn watch_changes(
        &self,
        request: &operation::WatchRequest,
    ) -> Result<operation::WatchAnswer, StoreError> {
        let call = self.dialect.encode_watch(request);
        // A watch of an earlier era may hang, or wait for a revision that means another change.
        let response = tokio::select! {
            biased;
            response = self.call(call, request.wait + self.timeout) => response?,
            () = self.wait_for_era_after(request.after) => {
                return Err(StoreError::HistoryGone { address: self.address });
            }
        };
        let answer = self.dialect.decode_watch(request.kind, &response);
        let answer = answer.map_err(|fault| self.call_error(fault))?;
        if !request.after.is_start() && answer.position.era != request.after.era {
            return Err(StoreError::HistoryGone { address: self.address });
        }
        Ok(answer)
    }

    /// Reads the list of instances, which may lag behind their actual state.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    pub async fn list_instances(&self) -> Result<listing::InstanceListing, StoreError> {
        match self.dialect {
            dialect::StoreDialect::Platform => {
                // The entries are only hints where to find other instances.
                let freshness = call::ListFreshness::MayBeOld;
                let answer = self.list(object::ObjectKind::Instances, freshness).await?;
                Ok(platform::parse_instances(&answer))
            }
            dialect::StoreDialect::Native => {
                let call = call::StoreCall::get(path::INSTANCES.to_owned());
                let response = self.call(call, self.timeout).await?;
                native::parse(&response).map_err(|fault| self.call_error(fault))
            }
        }
    }

    /// Reads all objects of a kind, page by page, with the list call of the platform dialect.
    ///
    /// All pages are of one era; if the store is restored meanwhile, the list is begun again.
    ///
    /// # Errors
    ///
    /// Returns an error if a call failed, or if the list has more than `MAX_PAGES` pages;
    /// [`StoreError::HistoryGone`] if the list was begun again `MAX_RESTARTS` times.
    pub async fn list(
        &self,
        kind: object::ObjectKind,
        freshness: call::ListFreshness,
    ) -> Result<operation::WatchAnswer, StoreError> {
        for _ in 0..=MAX_RESTARTS {
            if let Some(answer) = self.list_within_era(kind, freshness).await? {
                return Ok(answer);
            }
        }
        Err(StoreError::HistoryGone { address: self.address })
    }

    /// Reads all objects of a kind; returns `None` if the pages are of several eras.
    async fn list_within_era(
        &self,
        kind: object::ObjectKind,
        freshness: call::ListFreshness,
    ) -> Result<Option<operation::WatchAnswer>, StoreError> {
        let mut merged: Option<operation::WatchAnswer> = None;
        let mut after = None;
        for _ in 0..MAX_PAGES {
            let call = platform::encode_list(kind, after.as_deref(), freshness);
            let response = self.call(call, self.timeout).await?;
            let page = platform::decode_list(kind, &response);
            let page = page.map_err(|fault| self.call_error(fault))?;
            match &mut merged {
                Some(merged) if merged.position.era != page.answer.position.era => return Ok(None),
                // The revision of the first page is kept, so the next watch returns changes
                // made while listing.
                Some(merged) => merged.changes.extend(page.answer.changes),
                None => merged = Some(page.answer),
            }
            after = page.next_after;
            if after.is_none() {
                return Ok(merged);
            }
        }
        Err(StoreError::Unreadable { address: self.address })
    }

    /// Waits until an answer states a later era than that of a known position.
    async fn wait_for_era_after(&self, known: position::StorePosition) {
        let mut era = self.era.subscribe();
        if known.is_start() || era.wait_for(|era| *era > known.era).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the error of a call that got no response in time.
    #[must_use]
    pub const fn no_response(&self) -> StoreError {
        StoreError::NoResponse { address: self.address }
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
            .expect("store calls have valid paths and headers");
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(self.no_response()),
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
                StoreError::NoResponse { address }
            }
        })?;
        let (head, body) = response.into_parts();
        let mut limited = http_body_util::Limited::new(body, MAX_RESPONSE_BYTES);
        // Joined at once, since small parts that are kept one by one cost many times their length.
        let mut joined = bytes::BytesMut::new();
        while let Some(frame) = limited.frame().await {
            let frame = frame.map_err(|_| StoreError::NoResponse { address })?;
            // A frame without data holds trailers, which are not read.
            joined.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        let (status, headers, body) = (head.status, head.headers, joined.freeze());
        let response = call::CallResponse { status, headers, body };
        self.record_era(&response);
        Ok(response)
    }

    fn record_era(&self, response: &call::CallResponse) {
        let era = self.dialect.era_of(response);
        self.era.send_if_modified(|known| {
            let is_later = era > *known;
            *known = era.max(*known);
            is_later
        });
    }

    fn call_error(&self, fault: call::CallFault) -> StoreError {
        let address = self.address;
        match fault {
            call::CallFault::Status(status) => StoreError::Status { address, status },
            call::CallFault::Body => StoreError::Unreadable { address },
            call::CallFault::HistoryGone => StoreError::HistoryGone { address },
        }
    }
}
