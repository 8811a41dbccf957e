//! The admin port requires the operator secret, and its responses are bounded and free of
//! secrets.

use std::sync;
use std::time;

use axum::body;
use marjoramwing_configuration::configuration;
use marjoramwing_configuration::trust;
use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::quarantine;
use marjoramwing_dispatch::suspect;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_node::admin;
use marjoramwing_node::dump;
use marjoramwing_node::peers::mesh;
use marjoramwing_node::shared;
use marjoramwing_node::steering::driver;
use marjoramwing_tables::credential;
use marjoramwing_tables::snapshot;
use tokio::sync::mpsc;
use tower::ServiceExt;

use crate::harness;

/// Response of the admin port.
struct AdminResponse {
    status: u16,
    text: String,
}

fn make_shared() -> sync::Arc<shared::InstanceState> {
    sync::Arc::new(shared::InstanceState::new(harness::make_settings("")))
}

async fn send(
    shared: &sync::Arc<shared::InstanceState>,
    method: http::Method,
    path: &str,
    authorization: &str,
) -> AdminResponse {
    let request = http::Request::builder().method(method).uri(path);
    let request = request.header(http::header::AUTHORIZATION, authorization);
    let request = request.body(body::Body::empty()).unwrap();
    let response = admin::make_router(sync::Arc::clone(shared)).oneshot(request).await.unwrap();
    let status = response.status().as_u16();
    let bytes = body::to_bytes(response.into_body(), usize::MAX).await.unwrap();
    AdminResponse { status, text: String::from_utf8(bytes.to_vec()).unwrap() }
}

async fn get(shared: &sync::Arc<shared::InstanceState>, path: &str) -> AdminResponse {
    send(shared, http::Method::GET, path, &format!("Bearer {}", harness::SECRET)).await
}

#[tokio::main(flavor = "current_thread")]
async fn check_secret(authorization: &str, status: u16) {
    for path in ["/dump", "/metrics"] {
        let response = send(&make_shared(), http::Method::GET, path, authorization).await;
        assert_eq!(response.status, status, "{path}: {}", response.text);
        let is_unauthorized = response.text.contains("Authorization: Bearer SECRET");
        assert_eq!(is_unauthorized, status == 401, "{path}: {}", response.text);
    }
}

marjoramwing_testing::cases! { check_secret:
    right_secret => (&format!("Bearer {}", harness::SECRET), 200);
    scheme_in_lower_case => (&format!("bearer {}", harness::SECRET), 200);
    no_secret => ("", 401);
    wrong_secret => ("Bearer operators-secret-of-others", 401);
    start_of_the_secret => (&format!("Bearer {}", &harness::SECRET[..16]), 401);
    secret_and_more => (&format!("Bearer {}x", harness::SECRET), 401);
    secret_without_scheme => (harness::SECRET, 401);
    team_key => (&format!("Bearer {}", harness::KEY), 401);
}

/// Runs steering until the lookup table is built.
async fn build_steering(shared: &sync::Arc<shared::InstanceState>) {
    let mesh = mesh::PeerMesh::new(sync::Arc::clone(shared), mpsc::channel(1).0);
    let (_reports, events) = mpsc::channel(1);
    let driver = driver::SteeringDriver::new(sync::Arc::clone(shared), mesh, events);
    let task = tokio::spawn(driver.run());
    while shared.steering.table().is_none() {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    task.abort();
}

#[tokio::test]
async fn health_needs_no_secret() {
    let shared = make_shared();
    assert_eq!(send(&shared, http::Method::GET, "/healthz", "").await.status, 200);
    let without_tables = send(&shared, http::Method::GET, "/readyz", "").await;
    assert_eq!(without_tables.status, 503);
    assert!(without_tables.text.contains("no tables yet; check that the object API answers"));
    harness::apply_tables(&shared, "127.0.0.1:1".parse().unwrap());
    shared.require_confirmation();
    let unconfirmed = send(&shared, http::Method::GET, "/readyz", "").await;
    assert_eq!(unconfirmed.status, 503);
    shared.set_key_trust(trust::KeyTrust::Fresh);
    let without_steering = send(&shared, http::Method::GET, "/readyz", "").await;
    assert_eq!(without_steering.status, 503, "lookups are not served yet");
    build_steering(&shared).await;
    assert_eq!(send(&shared, http::Method::GET, "/readyz", "").await.status, 200);
    shared.leave();
    let leaving = send(&shared, http::Method::GET, "/readyz", "").await;
    assert_eq!(leaving.status, 503);
    assert!(leaving.text.contains("leaving; use another instance"));
}

#[tokio::main(flavor = "current_thread")]
async fn check_refused(method: http::Method, path: &str, status: u16, remedy: &str) {
    let secret = format!("Bearer {}", harness::SECRET);
    let response = send(&make_shared(), method, path, &secret).await;
    assert_eq!(response.status, status, "{}", response.text);
    assert!(response.text.contains(remedy), "{}", response.text);
}

marjoramwing_testing::cases! { check_refused:
    unknown_path => (http::Method::GET, "/state", 404, "use /dump, /metrics, /quarantine/release, /healthz or /readyz");
    other_method => (http::Method::POST, "/dump", 405, "send GET");
    unknown_section =>
        (http::Method::GET, "/dump?section=keys", 404, "use one of instance, tables, members");
}

#[tokio::test]
async fn dump_shows_neither_keys_nor_secrets() {
    let shared = make_shared();
    harness::apply_tables(&shared, "127.0.0.1:1".parse().unwrap());
    let text = get(&shared, "/dump").await.text;
    let hash = credential::KeyHash::of(harness::KEY).to_string();
    for secret in [harness::KEY, harness::SECRET, &hash] {
        assert!(!text.contains(secret), "{text}");
    }
    assert!(text.contains(r#""keys":1"#), "{text}");
    let metrics = get(&shared, "/metrics").await.text;
    assert!(!metrics.contains(harness::SECRET));
}

/// Guards against a dump that fails, or rounds, versions that JSON numbers of 64 bits cannot hold.
#[tokio::test]
async fn dump_and_metrics_show_wide_versions() {
    let shared = make_shared();
    let wide = 202_612_051_730_000_000_001;
    let versions = snapshot::TableVersions { routes: wide, pools: 7, ..Default::default() };
    let snapshot = sync::Arc::default();
    shared.apply(configuration::AppliedTables { versions, snapshot, confined: Default::default() });
    let dump = get(&shared, "/dump?section=tables").await;
    assert!(dump.text.contains(r#""routes":"202612051730000000001""#), "{}", dump.text);
    assert!(dump.text.contains(r#""pools":7"#), "{}", dump.text);
    let metrics = get(&shared, "/metrics").await;
    assert!(metrics.text.contains(r#"version{object="pools"} 7"#), "{}", metrics.text);
    let shown = r#"version{object="routes"} 202612051730000000000"#;
    assert!(metrics.text.contains(shown), "{}", metrics.text);
}

#[tokio::test]
async fn one_section_equals_its_part_of_the_whole_dump() {
    let shared = make_shared();
    let whole: serde_json::Value = serde_json::from_str(&get(&shared, "/dump").await.text).unwrap();
    for section in [dump::DumpSection::Tables, dump::DumpSection::Members] {
        let part = get(&shared, &format!("/dump?section={section}")).await.text;
        let part: serde_json::Value = serde_json::from_str(&part).unwrap();
        assert_eq!(part, whole[section.to_string()]);
    }
    assert_eq!(whole.as_object().unwrap().len(), dump::DumpSection::ALL.len());
}

#[tokio::test]
async fn long_lists_are_truncated_and_counted() {
    let shared = make_shared();
    let members = (0..dump::MAX_ROWS + 500).map(|index| member::Member {
        name: format!("member-{index}").into(),
        caller_address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
        site: "west".into(),
        region: "west".into(),
        failure_domain: "west-a".into(),
        incarnation: None,
        state: member::MemberState::Live,
    });
    shared.members.store(sync::Arc::new(view::MemberView::new(members.collect())));
    let text = get(&shared, "/dump?section=members").await.text;
    let dumped: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(dumped["total"], 1_500);
    assert_eq!(dumped["rows"].as_array().unwrap().len(), dump::MAX_ROWS);
}

/// Guards against a request that stays held although its fault was mended.
#[tokio::test]
async fn operator_releases_a_held_request() {
    let shared = make_shared();
    let key = format!("Bearer {}", harness::SECRET);
    let content = fingerprint::ContentFingerprint::from_halves(1, 2);
    let sender = suspect::SenderId::of("lab");
    let path = format!("/quarantine/release?content={content}");
    let response = send(&shared, http::Method::POST, &path, &key).await;
    assert_eq!(response.status, 404, "{}", response.text);
    for server in ["a", "b", "c"] {
        let crash = suspect::CrashId::new(server, 1);
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        shared.quarantine.record_crash(content, sender, crash, address, shared.now());
    }
    let dump = get(&shared, "/dump?section=quarantine").await;
    assert!(dump.text.contains(&content.to_string()), "{}", dump.text);
    let response = send(&shared, http::Method::POST, &path, "Bearer wrong").await;
    assert_eq!(response.status, 401, "{}", response.text);
    let response = send(&shared, http::Method::POST, &path, &key).await;
    assert_eq!(response.status, 200, "{}", response.text);
    let role = quarantine::CopyRole::Other;
    let verdict = shared.quarantine.begin_attempt(content, sender, role, shared.now());
    assert_eq!(verdict, quarantine::QuarantineVerdict::Run);
    let response = send(&shared, http::Method::POST, "/quarantine/release?content=x", &key).await;
    assert_eq!(response.status, 400, "{}", response.text);
}
