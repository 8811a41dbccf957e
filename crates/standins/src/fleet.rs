//! A fleet of instance processes with a stand-in platform and backend servers, for
//! process tests.
//!
//! Tests wait for conditions rather than for fixed times; the timeout only fails
//! a test that would otherwise hang.

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

/// Timeout for a condition, after which the test fails.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
const POLL_PERIOD: time::Duration = time::Duration::from_millis(10);
/// Number of backend servers of each pool.
const SERVERS_PER_POOL: usize = 3;

/// Number of fleets of this process so far, which makes directory names unique.
static FLEET_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with the description of the condition if it does not hold in time.
pub async fn wait_until(description: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting until {description}");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// A backend server and its listener.
#[derive(Debug)]
pub struct ServedBackend {
    /// The server, whose behaviour tests may change.
    pub server: backend::BackendServer,
    /// The listener; dropping it closes its connections.
    pub port: port::ServedPort,
}

/// The instances, platform and backend servers of one test.
#[derive(Debug)]
pub struct TestFleet {
    /// The platform.
    pub platform: platform::PlatformServer,
    /// The listener of the platform.
    pub platform_port: port::ServedPort,
    /// Runs counted by the backend servers.
    pub record: record::RunRecord,
    /// Servers of the pool `reads`.
    pub reads: Vec<ServedBackend>,
    /// Servers of the pool `writes`.
    pub writes: Vec<ServedBackend>,
    /// The instance processes, running or not.
    pub instances: Vec<instance::InstanceProcess>,
    /// An HTTP client that does not retry requests.
    pub http: control::HttpClient,
    binary: path::PathBuf,
    directory: path::PathBuf,
}

impl TestFleet {
    /// Starts a fleet and waits until the lookup at every instance lists all instances.
    ///
    /// # Panics
    ///
    /// Panics if a part of the fleet cannot be started.
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

    /// Starts one instance in each of two regions and waits until both are ready.
    ///
    /// # Panics
    ///
    /// Panics if a part of the fleet cannot be started.
    pub async fn start_two_regions(binary: &str, home: &str, other: &str) -> Self {
        let mut fleet = Self::prepare(binary).await;
        fleet.put_table("steering", &example::steering_with_shift(home, other, false));
        for region in [home, other] {
            fleet.add_instance_in(&format!("instance-{region}"), region);
        }
        fleet.start_all().await;
        fleet
    }

    /// Starts the platform and the backend servers, and writes the initial tables.
    async fn prepare(binary: &str) -> Self {
        let number = FLEET_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("marjoramwing-{}-{number}", process::id());
        let directory = env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("the temporary directory can be written");
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let platform = platform::PlatformServer::default();
        let platform_port = port::ServedPort::open(any_port, platform.router()).await;
        let record = record::RunRecord::default();
        let fleet = Self {
            platform,
            platform_port: platform_port.expect("a free port is available"),
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

    /// Adds an instance in the default region without listing or starting it.
    ///
    /// # Panics
    ///
    /// Panics if its ports or its settings file are not available.
    pub fn add_instance(&mut self, name: &str) -> usize {
        self.add_instance_in(name, example::REGION)
    }

    /// Adds an instance in a region without listing or starting it.
    ///
    /// # Panics
    ///
    /// Panics if its ports or its settings file are not available.
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

    /// Sets the list of instances on the platform to all of them, as live.
    pub fn list_all(&self) {
        let live = listing::ListedState::Live;
        let instances =
            self.instances.iter().map(|instance| instance.listing_entry(live)).collect();
        self.platform.set_listing(listing::InstanceListing { instances, servers: Vec::new() });
    }

    /// Waits until every instance is ready.
    ///
    /// # Panics
    ///
    /// Panics with the log of an instance that has exited.
    pub async fn wait_ready(&mut self) {
        for instance in &mut self.instances {
            let http = &self.http;
            wait_until("an instance is ready", async || {
                let exited = instance.exit_code();
                assert_eq!(exited, None, "{} exited: {}", instance.name, instance.log());
                control::is_ready(http, instance.admin).await
            })
            .await;
        }
    }

    /// Waits until the lookup at each queried instance lists exactly the expected
    /// instances.
    ///
    /// # Panics
    ///
    /// Panics if a lookup does not do so in time.
    pub async fn wait_lookup(&self, queried: &[usize], expected: &[usize]) {
        let address = |index: &usize| self.instances[*index].callers;
        let mut expected_addresses: Vec<_> = expected.iter().map(address).collect();
        expected_addresses.sort();
        for index in queried {
            let queried = vec![address(index)];
            wait_until("a lookup lists the running instances", async || {
                let cache = lookup::LookupCache::new(self.http.clone(), queried.clone());
                let mut found = cache.find(&traffic::team_load(example::TEAMS[0]), 0).await;
                found.sort();
                found == expected_addresses
            })
            .await;
        }
    }

    /// Waits until an instance has exited and returns its exit code, or -1 if a signal ended it.
    pub async fn wait_ended(&mut self, index: usize) -> i32 {
        let instance = &mut self.instances[index];
        wait_until("an instance exits", async || instance.exit_code().is_some()).await;
        instance.exit_code().unwrap_or(-1)
    }

    /// Writes a table to the platform unconditionally.
    pub fn put_table(&self, name: &str, table: &serde_json::Value) {
        let value = table.to_string().into_bytes();
        self.platform.put(object::ObjectKind::Tables, name, value.into());
    }

    /// Writes the pools table with the given servers marked as draining.
    pub fn put_pools_with_draining(&self, draining: &[net::SocketAddr]) {
        let reads: Vec<_> = self.reads.iter().map(|served| served.port.address).collect();
        let writes: Vec<_> = self.writes.iter().map(|served| served.port.address).collect();
        self.put_table("pools", &example::pools(&reads, &writes, draining));
    }

    /// Waits until every instance responds to requests of a team for a path with the
    /// given status.
    pub async fn wait_status(&self, path: &str, team: &str, status: u16) {
        for instance in &self.instances {
            wait_until("a table is applied", async || {
                self.status(instance.callers, path, team).await == Some(status)
            })
            .await;
        }
    }

    /// Sends a GET request and returns the status of the response.
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
        self.put_pools_with_draining(&[]);
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
    let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let behaviour = behaviour::BackendBehaviour { slots: example::SLOTS, ..Default::default() };
    let mut served = Vec::new();
    for _ in 0..SERVERS_PER_POOL {
        let server = backend::BackendServer::new(record.clone(), behaviour);
        let port = port::ServedPort::open(any_port, server.router()).await;
        served.push(ServedBackend { server, port: port.expect("a free port is available") });
    }
    served
}

/// Modifies the behaviour of each given backend server.
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
