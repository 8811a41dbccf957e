//! A fleet of real instances with stand-ins around them, for process tests.
//!
//! Tests wait for conditions; the one bound on a wait only ends a test that
//! would hang.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::time;

use marjoramwing_object_api::listing;
use marjoramwing_objects::object;

use crate::backend;
use crate::behaviour;
use crate::control;
use crate::example;
use crate::instance;
use crate::lookup;
use crate::platform;
use crate::port;
use crate::record;
use crate::traffic;

/// Longest wait for a condition before a test counts as hanging.
pub const HANG_TIMEOUT: time::Duration = time::Duration::from_secs(60);
const POLL_PERIOD: time::Duration = time::Duration::from_millis(10);
/// Backend servers of each pool.
const SERVERS: usize = 3;

static FLEETS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition never holds, naming what was waited for.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let hangs = tokio::time::Instant::now() + HANG_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < hangs, "waited in vain: {what}");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// One served backend server.
#[derive(Debug)]
pub struct ServedBackend {
    /// The server's switches.
    pub server: backend::BackendServer,
    /// The server's port; dropping it cuts its connections.
    pub port: port::ServedPort,
}

/// Instances, platform and backend servers of one test.
#[derive(Debug)]
pub struct TestFleet {
    /// The platform.
    pub platform: platform::PlatformServer,
    /// The platform's port.
    pub platform_port: port::ServedPort,
    /// What the backend servers ran.
    pub record: record::RunRecord,
    /// Servers of the pool `reads`.
    pub reads: Vec<ServedBackend>,
    /// Servers of the pool `writes`.
    pub writes: Vec<ServedBackend>,
    /// The instances.
    pub instances: Vec<instance::InstanceProcess>,
    /// A client that repeats nothing.
    pub http: control::HttpClient,
    binary: path::PathBuf,
    directory: path::PathBuf,
}

impl TestFleet {
    /// Starts a fleet and waits until every look-up names every instance.
    ///
    /// # Panics
    ///
    /// Panics if something cannot be started.
    pub async fn start(binary: &str, instances: usize) -> Self {
        let mut fleet = Self::prepare(binary).await;
        for index in 0..instances {
            fleet.add_instance(&format!("instance-{index}"));
        }
        fleet.start_all().await;
        let all: Vec<_> = (0..instances).collect();
        fleet.wait_lookup(&all, &all).await;
        fleet
    }

    /// Starts one instance in each of these regions and waits until all are ready.
    ///
    /// # Panics
    ///
    /// Panics if something cannot be started.
    pub async fn start_between(binary: &str, home: &str, other: &str) -> Self {
        let mut fleet = Self::prepare(binary).await;
        fleet.put_table("steering", &example::steering_between(home, other, false));
        for region in [home, other] {
            fleet.add_instance_in(&format!("instance-{region}"), region);
        }
        fleet.start_all().await;
        fleet
    }

    /// Starts the platform and the backend servers.
    async fn prepare(binary: &str) -> Self {
        let number = FLEETS.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("marjoramwing-{}-{number}", process::id());
        let directory = env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("the temporary directory can be written");
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let platform = platform::PlatformServer::default();
        let platform_port = port::ServedPort::open(any, platform.router()).await;
        let record = record::RunRecord::default();
        let fleet = Self {
            platform,
            platform_port: platform_port.expect("a free port can be had"),
            reads: serve_backends(&record).await,
            writes: serve_backends(&record).await,
            record,
            instances: Vec::new(),
            http: control::make_client(),
            binary: binary.into(),
            directory,
        };
        fleet.put_tables();
        fleet
    }

    async fn start_all(&mut self) {
        self.list_all();
        for index in 0..self.instances.len() {
            self.start_instance(index);
        }
        self.wait_ready().await;
    }

    /// Prepares one more instance, neither listed nor started yet.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be prepared.
    pub fn add_instance(&mut self, name: &str) -> usize {
        self.add_instance_in(name, example::REGION)
    }

    /// Prepares one more instance of a region, neither listed nor started yet.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be prepared.
    pub fn add_instance_in(&mut self, name: &str, region: &str) -> usize {
        let store = self.platform_port.address;
        let prepared =
            instance::InstanceProcess::prepare(&self.binary, &self.directory, name, region, store);
        self.instances.push(prepared.expect("an instance can be prepared"));
        self.instances.len() - 1
    }

    /// Starts a prepared, killed or stopped instance.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start_instance(&mut self, index: usize) {
        self.instances[index].start().expect("the binary can be started");
    }

    /// Lists all instances as live.
    pub fn list_all(&self) {
        let live = listing::ListedState::Live;
        let instances = self.instances.iter().map(|instance| instance.listed(live)).collect();
        self.platform.set_listing(listing::InstanceListing { instances, servers: Vec::new() });
    }

    /// Waits until every instance is ready.
    ///
    /// # Panics
    ///
    /// Panics with the log of an instance that has ended.
    pub async fn wait_ready(&mut self) {
        for instance in &mut self.instances {
            let http = &self.http;
            wait_until("an instance is ready", async || {
                let ended = instance.exit_code();
                assert_eq!(ended, None, "{} ended: {}", instance.name, instance.log());
                control::is_ready(http, instance.admin).await
            })
            .await;
        }
    }

    /// Waits until the look-up of every instance names exactly these.
    ///
    /// # Panics
    ///
    /// Panics if a look-up never does.
    pub async fn wait_lookup(&self, asked: &[usize], named: &[usize]) {
        let address = |index: &usize| self.instances[*index].callers;
        let mut wanted: Vec<_> = named.iter().map(address).collect();
        wanted.sort();
        for index in asked {
            let asked = vec![address(index)];
            wait_until("a look-up names the running instances", async || {
                let cache = lookup::LookupCache::new(self.http.clone(), asked.clone());
                let mut found = cache.find(&traffic::team_load(example::TEAMS[0]), 0).await;
                found.sort();
                found == wanted
            })
            .await;
        }
    }

    /// Waits until an instance has ended and returns its exit code.
    pub async fn wait_ended(&mut self, index: usize) -> i32 {
        let instance = &mut self.instances[index];
        wait_until("an instance ends", async || instance.exit_code().is_some()).await;
        instance.exit_code().unwrap_or(-1)
    }

    /// Writes one table to the platform without a condition.
    pub fn put_table(&self, name: &str, table: &serde_json::Value) {
        let value = table.to_string().into_bytes();
        self.platform.put(object::ObjectKind::Tables, name, value.into());
    }

    /// Writes the pools with these servers marked as draining.
    pub fn put_pools(&self, draining: &[net::SocketAddr]) {
        let reads: Vec<_> = self.reads.iter().map(|served| served.port.address).collect();
        let writes: Vec<_> = self.writes.iter().map(|served| served.port.address).collect();
        self.put_table("pools", &example::pools(&reads, &writes, draining));
    }

    /// Waits until every running instance gives a path this status to a team.
    pub async fn wait_status(&self, path: &str, team: &str, status: u16) {
        for instance in &self.instances {
            wait_until("a table is in force", async || {
                self.status(instance.callers, path, team).await == Some(status)
            })
            .await;
        }
    }

    /// Sends one read and returns the status of its answer.
    pub async fn status(&self, address: net::SocketAddr, path: &str, team: &str) -> Option<u16> {
        let request = http::Request::get(format!("http://{address}{path}"))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", example::team_key(team)))
            .body(axum::body::Body::empty())
            .ok()?;
        let response = self.http.request(request).await.ok()?;
        let status = response.status().as_u16();
        http_body_util::BodyExt::collect(response.into_body()).await.ok()?;
        Some(status)
    }

    fn put_tables(&self) {
        self.put_table("steering", &example::steering());
        self.put_pools(&[]);
        self.put_table("routes", &example::routes(&[]));
        self.put_table("teams", &example::teams());
        self.put_table("keys", &example::keys(&example::TEAMS));
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the instances are in {}", self.directory.display());
            return;
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

async fn serve_backends(record: &record::RunRecord) -> Vec<ServedBackend> {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let behaviour = behaviour::BackendBehaviour { slots: example::SLOTS, ..Default::default() };
    let mut served = Vec::new();
    for _ in 0..SERVERS {
        let server = backend::BackendServer::new(record.clone(), behaviour);
        let port = port::ServedPort::open(any, server.router()).await;
        served.push(ServedBackend { server, port: port.expect("a free port can be had") });
    }
    served
}

/// Changes the behaviour of backend servers.
pub fn change_behaviour(
    servers: &[ServedBackend],
    change: impl Fn(&mut behaviour::BackendBehaviour),
) {
    for served in servers {
        let mut behaviour = served.server.behaviour();
        change(&mut behaviour);
        served.server.set_behaviour(behaviour);
    }
}
