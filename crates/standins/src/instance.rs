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
        let settings = directory.join(format!("{name}.toml"));
        fs::write(&settings, example::settings(name, region, callers, peers, admin, store))?;
        Ok(Self {
            name: name.to_owned(),
            region: region.to_owned(),
            callers,
            peers,
            admin,
            binary: binary.to_owned(),
            settings,
            log: directory.join(format!("{name}.log")),
            child: None,
            _ports: ports,
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
