//! Runs the stand-ins as processes: `platform`, `backends` and `load`.

use std::env;
use std::error;
use std::fs;
use std::net;
use std::process;
use std::time;

use marjoramwing_object_api::listing;
use marjoramwing_objects::object;
use marjoramwing_standins::backend;
use marjoramwing_standins::caller;
use marjoramwing_standins::control;
use marjoramwing_standins::platform;
use marjoramwing_standins::report;
use marjoramwing_tables::document;

const USAGE: &str = "\
marjoramwing-standins platform ADDRESS TABLES_DIRECTORY
    serves the object API with the tables of a directory
marjoramwing-standins backends POOLS_FILE POOL SERVICE_MS ANSWER_BYTES
    serves all backend servers of one pool
marjoramwing-standins ready ADMIN_ADDRESS...
    waits until every instance is ready
marjoramwing-standins load PROFILE_FILE [--edit-route PLATFORM ROUTE] [--label TEXT]
    sends the load of a profile, edits a route half-way and prints a report
";

type AnyError = Box<dyn error::Error>;

#[tokio::main]
async fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match words[..] {
        ["platform", address, tables] => serve_platform(address, tables).await,
        ["backends", pools, pool, service_ms, answer_bytes] => {
            serve_backends(pools, pool, service_ms, answer_bytes).await
        }
        ["ready", ..] => wait_ready(&words[1..]).await,
        ["load", profile] => send_load(profile, None, "load").await,
        ["load", profile, "--edit-route", platform, route, "--label", label] => {
            send_load(profile, Some(RouteEdit { platform, route }), label).await
        }
        _ => Err(USAGE.into()),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(2)
        }
    }
}

async fn serve_platform(address: &str, tables: &str) -> Result<process::ExitCode, AnyError> {
    let server = platform::PlatformServer::default();
    for name in ["pools", "routes", "teams", "keys", "steering"] {
        let value = fs::read(format!("{tables}/{name}.json"))?;
        server.put(object::ObjectKind::Tables, name, value.into());
    }
    let listing = fs::read(format!("{tables}/instances.json"))?;
    server.set_listing(serde_json::from_slice::<listing::InstanceListing>(&listing)?);
    let listener = tokio::net::TcpListener::bind(address).await?;
    axum::serve(listener, server.router()).await?;
    Ok(process::ExitCode::SUCCESS)
}

async fn serve_backends(
    pools: &str,
    pool: &str,
    service_ms: &str,
    answer_bytes: &str,
) -> Result<process::ExitCode, AnyError> {
    let document: document::PoolsDocument = serde_json::from_slice(&fs::read(pools)?)?;
    let found = document.pools.iter().find(|row| &*row.name == pool);
    let found = found.ok_or_else(|| format!("{pools} has no pool named {pool}"))?;
    let record = backend::RunRecord::default();
    let mut servers = tokio::task::JoinSet::new();
    for row in &found.servers {
        let behaviour = backend::BackendBehaviour {
            slots: row.slots,
            service_ms: service_ms.parse()?,
            answer_bytes: answer_bytes.parse()?,
            fault: backend::AnswerFault::None,
        };
        let server = backend::BackendServer::new(record.clone(), behaviour);
        let address: net::SocketAddr = row.address.parse()?;
        let listener = tokio::net::TcpListener::bind(address).await?;
        servers.spawn(async move { axum::serve(listener, server.router()).await });
    }
    while let Some(ended) = servers.join_next().await {
        ended??;
    }
    Ok(process::ExitCode::SUCCESS)
}

/// Longest wait for all instances to be ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const READY_POLL: time::Duration = time::Duration::from_millis(100);

async fn wait_ready(addresses: &[&str]) -> Result<process::ExitCode, AnyError> {
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    for address in addresses {
        while !control::is_ready(address.parse()?).await {
            if tokio::time::Instant::now() > deadline {
                return Err(format!("{address} did not become ready; read its log").into());
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

/// A harmless edit of a route during the load.
struct RouteEdit<'a> {
    platform: &'a str,
    route: &'a str,
}

async fn edit_half_way(edit: Option<RouteEdit<'_>>, seconds: u64) -> Result<(), AnyError> {
    let Some(edit) = edit else { return Ok(()) };
    tokio::time::sleep(time::Duration::from_secs(seconds / 2)).await;
    control::edit_route(edit.platform.parse()?, edit.route).await
}

async fn send_load(
    profile: &str,
    edit: Option<RouteEdit<'_>>,
    label: &str,
) -> Result<process::ExitCode, AnyError> {
    let profile: caller::LoadProfile = serde_json::from_slice(&fs::read(profile)?)?;
    let seconds = profile.seconds;
    let (report, edited) = tokio::join!(caller::run_load(profile), edit_half_way(edit, seconds));
    edited?;
    print!("{report}");
    let served = report.total(report::CallResult::Served);
    let cut = report.total(report::CallResult::Cut);
    let lost = report.lost + report.total(report::CallResult::Failed);
    let doubled = report.doubled;
    println!("{label}: {served} served, {lost} lost, {doubled} doubled, {cut} cut");
    let clean = served > 0 && lost == 0 && doubled == 0 && cut == 0;
    Ok(if clean { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE })
}
