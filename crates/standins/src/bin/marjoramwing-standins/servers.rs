//! Commands that run until stopped.

use std::net;
use std::path;

use marjoramwing_object_api::listing;
use marjoramwing_objects::object;
use marjoramwing_standins::backend;
use marjoramwing_standins::behaviour;
use marjoramwing_standins::deployment;
use marjoramwing_standins::platform;
use marjoramwing_standins::port;
use marjoramwing_standins::record;
use marjoramwing_tables::document;

use crate::CommandError;
use crate::CommandOutcome;
use crate::options;

/// Names of the tables, each in a file `{name}.json` of the directory.
const TABLES: [&str; 5] = ["pools", "routes", "teams", "keys", "steering"];

/// Serves the object API with the tables and the list of instances of a directory.
pub(crate) async fn serve_platform(args: &[String]) -> Result<CommandOutcome, CommandError> {
    let mut flags = getopts::Options::new();
    flags.optopt("l", "listen", "IP address and port", "ADDRESS");
    flags.optopt("t", "tables", "directory with the table documents", "DIRECTORY");
    let usage = "--listen ADDRESS --tables DIRECTORY";
    let matches = match options::parse("platform", usage, flags, args)? {
        options::ParsedCommand::Matches(matches) => matches,
        options::ParsedCommand::Help(text) => return Ok(CommandOutcome::Help(text)),
    };
    let address: net::SocketAddr =
        matches.required("listen", "--listen with an IP address and port")?;
    let tables: String = matches.required("tables", "--tables with a directory")?;
    let server = platform::PlatformServer::default();
    for name in TABLES {
        let value = options::read_file(&format!("{tables}/{name}.json"))?;
        server.put(object::ObjectKind::Tables, name, value.into());
    }
    let instances = format!("{tables}/instances.json");
    server.set_listing(options::read_json::<listing::InstanceListing>(&instances)?);
    port::ServedPort::open(address, server.router()).await?.wait().await;
    Ok(CommandOutcome::Done)
}

/// Serves all backend servers of a pool.
pub(crate) async fn serve_backends(args: &[String]) -> Result<CommandOutcome, CommandError> {
    let mut flags = getopts::Options::new();
    flags.optopt("f", "pools", "file with the pools document", "FILE");
    flags.optopt("p", "pool", "pool whose servers to serve", "NAME");
    flags.optopt("", "service-ms", "service time of a request (5)", "MILLISECONDS");
    flags.optopt("", "answer-bytes", "size of a response body (1024)", "BYTES");
    let usage = "--pools FILE --pool NAME [OPTIONS]";
    let matches = match options::parse("backends", usage, flags, args)? {
        options::ParsedCommand::Matches(matches) => matches,
        options::ParsedCommand::Help(text) => return Ok(CommandOutcome::Help(text)),
    };
    let file: String = matches.required("pools", "--pools with a file")?;
    let name: String = matches.required("pool", "--pool with a name")?;
    let defaults = behaviour::BackendBehaviour::default();
    let service_ms = matches.value("service-ms", "a number of milliseconds")?;
    let answer_bytes = matches.value("answer-bytes", "a number of bytes")?;
    let pools: document::PoolsDocument = options::read_json(&file)?;
    let found = pools.pools.iter().find(|pool| *pool.name == *name);
    let pool = found.ok_or(options::FileFault::NoPool { file, pool: name })?;
    let record = record::RunRecord::default();
    let mut ports = Vec::new();
    for row in &pool.servers {
        let server_behaviour = behaviour::BackendBehaviour {
            slots: row.slots,
            service_ms: service_ms.unwrap_or(defaults.service_ms),
            answer_bytes: answer_bytes.unwrap_or(defaults.answer_bytes),
            ..defaults
        };
        let server = backend::BackendServer::new(record.clone(), server_behaviour);
        let address = matches.parse(&row.address, "an IP address and port")?;
        ports.push(port::ServedPort::open(address, server.router()).await?);
    }
    for served in ports {
        served.wait().await;
    }
    Ok(CommandOutcome::Done)
}

/// Reserves all ports of a deployment, so that the system does not assign them to
/// outgoing connections.
pub(crate) async fn reserve_ports(args: &[String]) -> Result<CommandOutcome, CommandError> {
    let matches = match options::parse("hold", "DIRECTORY", getopts::Options::new(), args)? {
        options::ParsedCommand::Matches(matches) => matches,
        options::ParsedCommand::Help(text) => return Ok(CommandOutcome::Help(text)),
    };
    let [directory] = matches.arguments() else {
        return Err(matches.usage_fault("one directory").into());
    };
    // Only the original ports are used, so the first assigned port does not matter.
    let mut rewriter = deployment::PortRewriter::new(0);
    let collected = rewriter.collect_ports(path::Path::new(directory));
    collected
        .map_err(|source| options::FileFault::Inaccessible { file: directory.clone(), source })?;
    let mut reservation = deployment::PortReservation::default();
    reservation.reserve_all(&rewriter.original_ports()).await?;
    println!("ports held");
    std::future::pending::<()>().await;
    Ok(CommandOutcome::Done)
}
