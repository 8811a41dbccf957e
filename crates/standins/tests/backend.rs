//! Tests the backend server and its record, on which other tests rely.

use std::net;

use http_body_util::BodyExt;
use marjoramwing_standins::backend;
use marjoramwing_standins::behaviour;
use marjoramwing_standins::control;
use marjoramwing_standins::port;
use marjoramwing_standins::record;

/// A listening backend server and a client.
struct BackendFixture {
    record: record::RunRecord,
    server: backend::BackendServer,
    port: port::ServedPort,
    http: control::HttpClient,
}

/// Status and body of a response; `None` if the exchange failed.
type SendResult = Option<(u16, Vec<u8>)>;

impl BackendFixture {
    async fn new(behaviour: behaviour::BackendBehaviour) -> Self {
        let record = record::RunRecord::default();
        let server = backend::BackendServer::new(record.clone(), behaviour);
        let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let port = port::ServedPort::open(any_port, server.router()).await.unwrap();
        Self { record, server, port, http: control::make_client() }
    }

    async fn send(&self, id: &str, target: &str, header: (&str, &str), body: &str) -> SendResult {
        let request = http::Request::post(format!("http://{}{target}", self.port.address))
            .header(backend::REQUEST_ID_HEADER, id)
            .header(header.0, header.1)
            .body(axum::body::Body::from(body.to_owned()))
            .unwrap();
        let response = self.http.request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body.to_vec()))
    }

    async fn send_empty(&self, id: &str) -> SendResult {
        self.send(id, "/", ("accept", "*/*"), "").await
    }

    async fn wait_in_use(&self, in_use: u32) {
        while self.server.activity().in_use != in_use {
            tokio::task::yield_now().await;
        }
    }
}

fn with_fault(fault: behaviour::AnswerFault) -> behaviour::BackendBehaviour {
    behaviour::BackendBehaviour { fault, slots: 1, ..Default::default() }
}

#[tokio::test]
async fn key_is_detected_in_every_part_of_a_request() {
    let fixture = BackendFixture::new(behaviour::BackendBehaviour::default()).await;
    let key = "team-1.demo-only-4fd2";
    fixture.send("1", "/", ("x-any", key), "").await;
    fixture.send("2", "/", ("authorization", "Basic zzzz"), "").await;
    fixture.send("3", "/", ("cookie", key), "").await;
    fixture.send("4", "/a?key=team-1.demo-only-4fd2", ("accept", "*/*"), "").await;
    fixture.send("5", "/", ("accept", "*/*"), key).await;
    fixture.send_empty("6").await;
    let leaked = fixture.record.counts().leaked_keys;
    assert_eq!((leaked.header, leaked.cookie, leaked.target, leaked.body), (2, 1, 1, 1));
}

#[tokio::test]
async fn request_beyond_the_slots_is_shed_and_not_run() {
    let fixture = BackendFixture::new(with_fault(behaviour::AnswerFault::Silent)).await;
    let shed = async {
        fixture.wait_in_use(1).await;
        fixture.send_empty("shed").await
    };
    let response = tokio::select! {
        _ = fixture.send_empty("held") => unreachable!("a silent server does not respond"),
        response = shed => response,
    };
    assert_eq!(response.map(|(status, _)| status), Some(503));
    let counts = fixture.record.counts();
    assert_eq!((counts.runs.get("held"), counts.runs.get("shed")), (Some(&1), None));
}

#[tokio::test]
async fn closed_connection_cancels_the_run() {
    let fixture = BackendFixture::new(with_fault(behaviour::AnswerFault::Silent)).await;
    tokio::select! {
        _ = fixture.send_empty("held") => unreachable!("a silent server does not respond"),
        () = fixture.wait_in_use(1) => {}
    }
    fixture.wait_in_use(0).await;
    assert_eq!(fixture.record.counts().cancelled, 1);
}

#[tokio::test]
async fn deadline_ends_the_run() {
    let slow = behaviour::BackendBehaviour { service_ms: 60_000, ..Default::default() };
    let fixture = BackendFixture::new(slow).await;
    let deadline = (backend::DEADLINE_HEADER, "1");
    assert_eq!(fixture.send("1", "/", deadline, "").await.unwrap().0, 504);
    assert_eq!(fixture.record.counts().expired, 1);
}

#[tokio::test]
async fn incomplete_responses_fail_at_the_client() {
    for fault in [behaviour::AnswerFault::Cut, behaviour::AnswerFault::Short] {
        let fixture = BackendFixture::new(with_fault(fault)).await;
        assert_eq!(fixture.send_empty("1").await, None, "{fault:?}");
        assert_eq!(fixture.record.counts().runs["1"], 1);
    }
}

#[tokio::test]
async fn crossed_response_is_that_of_the_previous_request() {
    let fixture = BackendFixture::new(with_fault(behaviour::AnswerFault::Crossed)).await;
    fixture.send_empty("1").await;
    let response = fixture.send_empty("2").await.unwrap();
    assert_eq!(response.1, backend::expected_body("1", 1_024));
}
