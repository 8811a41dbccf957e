//! Tests the guarantees of the platform on which other tests rely.

use std::net;

use http_body_util::BodyExt;
use marjoramwing_object_api::watch;
use marjoramwing_objects::object;
use marjoramwing_standins::control;
use marjoramwing_standins::platform;
use marjoramwing_standins::port;

const ROUTES: &str = "/v1/objects/tables/routes";

/// A listening platform and a client.
struct PlatformFixture {
    server: platform::PlatformServer,
    port: port::ServedPort,
    http: control::HttpClient,
}

impl PlatformFixture {
    async fn new() -> Self {
        let server = platform::PlatformServer::default();
        let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let port = port::ServedPort::open(any_port, server.router()).await.unwrap();
        server.put(object::ObjectKind::Tables, "routes", "1".into());
        Self { server, port, http: control::make_client() }
    }

    async fn send(&self, method: &str, path: &str, condition: &str) -> (u16, String) {
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.port.address));
        match condition {
            "" => {}
            "*" => request = request.header("if-none-match", "*"),
            tag => request = request.header("if-match", tag),
        }
        let body = if method == "PUT" { "2" } else { "" };
        let request = request.body(axum::body::Body::from(body)).unwrap();
        let response = self.http.request(request).await.unwrap();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    async fn watch(&self, after: u64) -> watch::WatchDocument {
        let path = format!("/v1/watch/tables?after={after}&wait_ms=60000");
        control::fetch(&self.http, self.port.address, &path).await.unwrap()
    }
}

#[tokio::test]
async fn write_needs_the_current_version() {
    let fixture = PlatformFixture::new().await;
    assert_eq!(fixture.send("PUT", ROUTES, "").await.0, 428);
    assert_eq!(fixture.send("PUT", ROUTES, "*").await.0, 412);
    assert_eq!(fixture.send("PUT", ROUTES, "\"2\"").await.0, 412);
    assert_eq!(fixture.send("PUT", ROUTES, "\"1\"").await.0, 200);
    assert_eq!(fixture.send("PUT", ROUTES, "\"1\"").await.0, 412);
    let counts = fixture.server.counts().total();
    assert_eq!((counts.writes, counts.conflicts), (1, 3));
}

#[tokio::test]
async fn watch_reports_a_deletion() {
    let fixture = PlatformFixture::new().await;
    let before = fixture.watch(0).await;
    assert_eq!(fixture.send("DELETE", ROUTES, "\"1\"").await.0, 200);
    let after = fixture.watch(before.revision).await;
    assert_eq!(&*after.changes[0].name, "routes");
    assert_eq!(fixture.send("GET", ROUTES, "").await.0, 404);
    assert_eq!(fixture.send("PUT", ROUTES, "*").await.0, 200);
    let recreated = fixture.watch(after.revision).await;
    assert!(recreated.changes[0].version > after.changes[0].version);
}

#[tokio::test]
async fn write_with_a_lost_response_takes_effect() {
    let fixture = PlatformFixture::new().await;
    let faults = platform::PlatformFaults { lose_answers: true, ..Default::default() };
    fixture.server.set_faults(faults);
    assert_eq!(fixture.send("PUT", ROUTES, "\"1\"").await.0, 504);
    assert_eq!(fixture.send("GET", ROUTES, "").await, (200, "2".to_owned()));
}

#[tokio::test]
async fn stale_read_returns_the_previous_version() {
    let fixture = PlatformFixture::new().await;
    fixture.send("PUT", ROUTES, "\"1\"").await;
    let faults = platform::PlatformFaults { stale_reads: true, ..Default::default() };
    fixture.server.set_faults(faults);
    assert_eq!(fixture.send("GET", ROUTES, "").await, (200, "1".to_owned()));
}

#[tokio::test]
async fn outage_ends_a_waiting_watch() {
    let fixture = PlatformFixture::new().await;
    let revision = fixture.watch(0).await.revision;
    let path = format!("/v1/watch/tables?after={revision}&wait_ms=60000");
    let waiting = fixture.send("GET", &path, "");
    let outage = async {
        while fixture.server.counts().total().watches < 2 {
            tokio::task::yield_now().await;
        }
        let faults = platform::PlatformFaults { outage: true, ..Default::default() };
        fixture.server.set_faults(faults);
    };
    let (response, ()) = tokio::join!(waiting, outage);
    assert_eq!(response.0, 503);
}

#[tokio::test]
async fn unknown_switch_is_refused_by_name() {
    let fixture = PlatformFixture::new().await;
    let set = |members| {
        control::set_switches(&fixture.http, fixture.port.address, "/control/faults", members)
    };
    let error = set("{\"outrage\": true}").await.unwrap_err();
    assert!(error.to_string().contains("unknown field `outrage`"));
    set("{\"delay_ms\": 1}").await.unwrap();
    set("{\"stale_reads\": true}").await.unwrap();
    assert_eq!(fixture.server.faults().delay_ms, 1);
}
