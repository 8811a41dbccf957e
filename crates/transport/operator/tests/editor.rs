//! Edits with lost responses, concurrent edits and invalid tables.

use std::net;
use std::sync;
use std::time;

use axum::response::IntoResponse;
use marjoramwing_objects::object;
use marjoramwing_operator::command;
use marjoramwing_operator::editor;
use marjoramwing_operator::row;
use marjoramwing_standins::platform;
use marjoramwing_store_client::client;
use marjoramwing_store_client::dialect;
use marjoramwing_tables::document;

/// Fault of the first write that arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteFault {
    None,
    LostAfterEffect,
    LostBeforeEffect,
    LostWithConflict,
    LostBeforeNextEdit,
    PermanentOutage,
}

#[derive(Clone)]
struct FaultyPlatform {
    server: platform::PlatformServer,
    fault: sync::Arc<sync::Mutex<WriteFault>>,
}

const TABLES: object::ObjectKind = object::ObjectKind::Tables;

impl FaultyPlatform {
    async fn start(fault: WriteFault) -> (Self, net::SocketAddr) {
        let server = platform::PlatformServer::default();
        server.put(TABLES, "teams", team_text(5.0));
        server.put(TABLES, "steering", r#"{"sites": []}"#.into());
        let fault = sync::Arc::new(sync::Mutex::new(fault));
        let platform = Self { server, fault };
        let layer = axum::middleware::from_fn_with_state(platform.clone(), inject_fault);
        let router = platform.server.router().layer(layer);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await });
        (platform, address)
    }

    fn put_team(&self, rate: f64) {
        self.server.put(TABLES, "teams", team_text(rate));
    }
}

async fn inject_fault(
    axum::extract::State(platform): axum::extract::State<FaultyPlatform>,
    request: axum::extract::Request,
    next: axum::middleware::Next,
) -> axum::response::Response {
    if request.method() != http::Method::PUT {
        return next.run(request).await;
    }
    let fault = std::mem::replace(&mut *platform.fault.lock().unwrap(), WriteFault::None);
    match fault {
        WriteFault::None => return next.run(request).await,
        WriteFault::LostBeforeEffect => {}
        WriteFault::LostWithConflict => platform.put_team(7.0),
        WriteFault::LostAfterEffect => drop(next.run(request).await),
        WriteFault::LostBeforeNextEdit => {
            drop(next.run(request).await);
            platform.put_team(7.0);
        }
        WriteFault::PermanentOutage => {
            let faults = platform::PlatformFaults { outage: true, ..Default::default() };
            platform.server.set_faults(faults);
        }
    }
    http::StatusCode::GATEWAY_TIMEOUT.into_response()
}

fn team(rate: f64) -> document::TeamDocument {
    document::TeamDocument {
        name: "etna".into(),
        rate,
        burst: 4,
        priority: None,
        regions: Vec::new(),
    }
}

fn team_text(rate: f64) -> bytes::Bytes {
    let document = document::TeamsDocument { teams: vec![team(rate)], edit_id: None };
    serde_json::to_vec(&document).unwrap().into()
}

fn make_editor(
    address: net::SocketAddr,
    policy: editor::LostResponsePolicy,
) -> editor::TableEditor {
    let client = client::StoreClient::new(
        address,
        time::Duration::from_secs(30),
        dialect::StoreDialect::Native,
    );
    editor::TableEditor::new(client, policy)
}

fn change(rate: f64) -> row::RowChange {
    row::RowChange::Set(row::TableRow::Team(team(rate)))
}

/// Version that an edit created, or the exit status of its command.
type EditResult = Result<u128, command::CommandExit>;

#[tokio::main(flavor = "current_thread")]
async fn check_edit(fault: WriteFault, policy: editor::LostResponsePolicy, expected: EditResult) {
    let (_platform, address) = FaultyPlatform::start(fault).await;
    let written = make_editor(address, policy).apply(&change(6.0), None).await;
    let result = written.map(|written| written.version).map_err(|error| error.exit());
    assert_eq!(result, expected);
}

marjoramwing_testing::cases! { check_edit:
    response_arrives =>
        (WriteFault::None, editor::LostResponsePolicy::ReadBack, Ok(2));
    response_lost_after_effect =>
        (WriteFault::LostAfterEffect, editor::LostResponsePolicy::ReadBack, Ok(2));
    response_lost_before_effect =>
        (WriteFault::LostBeforeEffect, editor::LostResponsePolicy::ReadBack, Ok(2));
    response_lost_with_conflict =>
        (WriteFault::LostWithConflict, editor::LostResponsePolicy::ReadBack,
            Err(command::CommandExit::Conflict));
    response_lost_before_the_next_edit =>
        (WriteFault::LostBeforeNextEdit, editor::LostResponsePolicy::ReadBack,
            Err(command::CommandExit::Unknown));
    permanent_outage_makes_the_outcome_unknown =>
        (WriteFault::PermanentOutage, editor::LostResponsePolicy::ReadBack,
            Err(command::CommandExit::Unknown));
    effective_edit_is_reported_as_a_conflict_without_read_back =>
        (WriteFault::LostAfterEffect, editor::LostResponsePolicy::Retry,
            Err(command::CommandExit::Conflict));
}

#[tokio::test]
async fn lost_response_causes_one_write() {
    let (platform, address) = FaultyPlatform::start(WriteFault::LostAfterEffect).await;
    let editor = make_editor(address, editor::LostResponsePolicy::ReadBack);
    editor.apply(&change(6.0), None).await.unwrap();
    assert_eq!(platform.server.counts().total().write_calls(), 1);
}

#[tokio::test]
async fn edit_of_an_older_version_is_a_conflict() {
    let (platform, address) = FaultyPlatform::start(WriteFault::None).await;
    platform.put_team(7.0);
    let editor = make_editor(address, editor::LostResponsePolicy::ReadBack);
    let error = editor.apply(&change(6.0), Some(1)).await.unwrap_err();
    assert_eq!(error.current_version(), Some(2));
    assert_eq!(platform.server.counts().total().write_calls(), 0);
}

#[tokio::test]
async fn invalid_candidate_is_not_written() {
    let (platform, address) = FaultyPlatform::start(WriteFault::None).await;
    let editor = make_editor(address, editor::LostResponsePolicy::ReadBack);
    let route = br#"{"name": "b", "path": "b", "pools": ["none", "nor-this"], "rate": 1}"#;
    let route = row::RowTable::Routes.parse_row(route).unwrap();
    let error = editor.apply(&row::RowChange::Set(route), None).await.unwrap_err();
    assert_eq!(error.exit(), command::CommandExit::Faulty);
    insta::assert_snapshot!(error, @r"
    routes[0].path: `b` is not a path prefix that starts with `/` and has no query
    routes[0].pools[0]: `none` is not in the `pools` object; add it there or correct the name
    routes[0].pools[1]: `nor-this` is not in the `pools` object; add it there or correct the name
    routes[0].rate: `rate` needs `burst`; set both or neither
    ");
    assert_eq!(platform.server.counts().total().write_calls(), 0);
}
