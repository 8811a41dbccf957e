//! One real instance, run as a process of its own.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::sync;

use marjoramwing_object_api::listing;

use crate::deployment;
use crate::example;

/// Secret of the operators of a test's fleet.
pub const ADMIN_SECRET: &str = "process-test-admin-secret";
const PEER_SECRET: &str = "process-test-peer-secret";

/// One instance, which may or may not be running.
#[derive(Debug)]
pub struct InstanceProcess {
    /// Name of the instance.
    pub name: String,
    /// Region of the instance; its one site bears its name.
    pub region: String,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for peers.
    pub peers: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
    binary: path::PathBuf,
    settings: path::PathBuf,
    log: path::PathBuf,
    child: Option<process::Child>,
    _ports: deployment::PortHolder,
}

/// Where an instance listens.
#[derive(Debug, Clone, Copy)]
pub struct InstanceAddresses {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For peers.
    pub peers: net::SocketAddr,
    /// For operators.
    pub admin: net::SocketAddr,
}

/// What an instance is made from.
#[derive(Debug)]
pub struct InstancePlan<'a> {
    /// Program to run.
    pub binary: &'a path::Path,
    /// Directory for its settings and its log.
    pub directory: &'a path::Path,
    /// Name of the instance.
    pub name: &'a str,
    /// Region of the instance.
    pub region: &'a str,
    /// Where it listens.
    pub addresses: InstanceAddresses,
    /// Text of its settings.
    pub settings: String,
    /// Holds its ports while it does not run.
    pub ports: deployment::PortHolder,
}

impl InstanceProcess {
    /// Writes the settings of an instance that is not started yet.
    ///
    /// # Errors
    ///
    /// Returns an error when a port or a file cannot be had.
    pub fn prepare(
        binary: &path::Path,
        directory: &path::Path,
        name: &str,
        region: &str,
        store: net::SocketAddr,
    ) -> io::Result<Self> {
        let mut ports = deployment::PortHolder::default();
        let (callers, peers, admin) = (ports.hold(0)?, ports.hold(0)?, ports.hold(0)?);
        let settings = example::settings(name, region, callers, peers, admin, store);
        let addresses = InstanceAddresses { callers, peers, admin };
        Self::place(InstancePlan { binary, directory, name, region, addresses, settings, ports })
    }

    /// Writes the settings of an instance that is not started yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn place(plan: InstancePlan<'_>) -> io::Result<Self> {
        let settings = plan.directory.join(format!("{}.toml", plan.name));
        fs::write(&settings, plan.settings)?;
        Ok(Self {
            name: plan.name.to_owned(),
            region: plan.region.to_owned(),
            callers: plan.addresses.callers,
            peers: plan.addresses.peers,
            admin: plan.addresses.admin,
            binary: plan.binary.to_owned(),
            settings,
            log: plan.directory.join(format!("{}.log", plan.name)),
            child: None,
            _ports: plan.ports,
        })
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let child = process::Command::new(&self.binary)
            .arg("serve")
            .arg("-c")
            .arg(&self.settings)
            .env("MARJORAMWING_PEER_SECRET", PEER_SECRET)
            .env("MARJORAMWING_ADMIN_SECRET", ADMIN_SECRET)
            // The name that the deploy file's template uses.
            .env("MARJORAMWING_OPERATOR_SECRET", ADMIN_SECRET)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Panics
    ///
    /// Panics if the process does not run or the signal cannot be sent.
    pub fn signal(&self, signal: &str) {
        let child = self.child.as_ref().expect("the instance was started");
        let id = child.id().to_string();
        let sent = process::Command::new("kill").args(["-s", signal, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "cannot send {signal}");
    }

    /// Kills the process at once.
    ///
    /// # Panics
    ///
    /// Panics if the system does not let the process be killed.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("a child can be killed");
            child.wait().expect("a killed child ends");
        }
    }

    /// Tells whether the process has ended, and with which exit code.
    ///
    /// # Panics
    ///
    /// Panics if the system does not tell.
    pub fn exit_code(&mut self) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().expect("the system tells a child's state")?;
        Some(status.code().unwrap_or(-1))
    }

    /// Returns what the process has logged.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the row of the instance in the platform's list.
    #[must_use]
    pub fn listed(&self, state: listing::ListedState) -> listing::ListedInstance {
        let site: sync::Arc<str> = format!("{}-a", self.region).into();
        listing::ListedInstance {
            name: self.name.as_str().into(),
            callers: self.callers,
            peers: self.peers,
            site: sync::Arc::clone(&site),
            region: self.region.as_str().into(),
            failure_domain: site,
            state,
        }
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
