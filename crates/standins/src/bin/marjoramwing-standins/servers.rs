//! The commands that serve until stopped.

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

use crate::CommandEnd;
use crate::CommandError;
use crate::options;

const TABLES: [&str; 5] = ["pools", "routes", "teams", "keys", "steering"];

/// Serves the object API.
pub(crate) async fn serve_platform(words: &[String]) -> Result<CommandEnd, CommandError> {
    let mut line = getopts::Options::new();
    line.optopt("l", "listen", "IP address and port", "ADDRESS");
    line.optopt("t", "tables", "directory with the table documents", "DIRECTORY");
    let brief = "--listen ADDRESS --tables DIRECTORY";
    let matches = match options::parse("platform", brief, line, words)? {
        options::ParsedLine::Matches(matches) => matches,
        options::ParsedLine::Help(text) => return Ok(CommandEnd::Help(text)),
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
    Ok(CommandEnd::Done)
}

/// Serves the backend servers of a pool.
pub(crate) async fn serve_backends(words: &[String]) -> Result<CommandEnd, CommandError> {
    let mut line = getopts::Options::new();
    line.optopt("f", "pools", "file with the pools document", "FILE");
    line.optopt("p", "pool", "pool whose servers to serve", "NAME");
    line.optopt("", "service-ms", "time that one request takes (5)", "MILLISECONDS");
    line.optopt("", "answer-bytes", "bytes of an answer's body (1024)", "BYTES");
    let brief = "--pools FILE --pool NAME [OPTIONS]";
    let matches = match options::parse("backends", brief, line, words)? {
        options::ParsedLine::Matches(matches) => matches,
        options::ParsedLine::Help(text) => return Ok(CommandEnd::Help(text)),
    };
    let file: String = matches.required("pools", "--pools with a file")?;
    let name: String = matches.required("pool", "--pool with a name")?;
    let standard = behaviour::BackendBehaviour::default();
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
            service_ms: service_ms.unwrap_or(standard.service_ms),
            answer_bytes: answer_bytes.unwrap_or(standard.answer_bytes),
            ..standard
        };
        let server = backend::BackendServer::new(record.clone(), server_behaviour);
        let address = matches.read(&row.address, "an IP address and port")?;
        ports.push(port::ServedPort::open(address, server.router()).await?);
    }
    for served in ports {
        served.wait().await;
    }
    Ok(CommandEnd::Done)
}

/// Holds all ports of a deployment against outgoing connections.
pub(crate) async fn hold_ports(words: &[String]) -> Result<CommandEnd, CommandError> {
    let matches = match options::parse("hold", "DIRECTORY", getopts::Options::new(), words)? {
        options::ParsedLine::Matches(matches) => matches,
        options::ParsedLine::Help(text) => return Ok(CommandEnd::Help(text)),
    };
    let [directory] = matches.arguments() else {
        return Err(matches.needs("one directory").into());
    };
    let mut plan = deployment::PortPlan::new(0);
    let read = plan.read(path::Path::new(directory));
    read.map_err(|source| options::FileFault::Unusable { file: directory.clone(), source })?;
    let mut holder = deployment::PortHolder::default();
    holder.hold_all(&plan.named_ports()).await?;
    println!("ports held");
    std::future::pending::<()>().await;
    Ok(CommandEnd::Done)
}
