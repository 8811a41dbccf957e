//! An instance that runs as a process of its own.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::sync;

use marjoramwing_object_api::listing;

use crate::deployment;
use crate::example;

/// Operator secret of all instances.
pub const ADMIN_SECRET: &str = "process-test-admin-secret";
const PEER_SECRET: &str = "process-test-peer-secret";

/// One instance, whose process may or may not be running.
#[derive(Debug)]
pub struct InstanceProcess {
    /// Name of the instance.
    pub name: String,
    /// Region of the instance; its site and failure domain are named `{region}-a`.
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
    _ports: deployment::PortReservation,
}

/// Listening addresses of an instance.
#[derive(Debug, Clone, Copy)]
pub struct InstanceAddresses {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For peers.
    pub peers: net::SocketAddr,
    /// For operators.
    pub admin: net::SocketAddr,
}

/// Options for creating an instance.
#[derive(Debug)]
pub struct InstanceOptions<'a> {
    /// Path of the executable.
    pub binary: &'a path::Path,
    /// Directory for the settings file and the log file.
    pub directory: &'a path::Path,
    /// Name of the instance.
    pub name: &'a str,
    /// Region of the instance.
    pub region: &'a str,
    /// Listening addresses, as given in the settings.
    pub addresses: InstanceAddresses,
    /// Content of the settings file.
    pub settings: String,
    /// Reservation of the ports, kept for the lifetime of the instance.
    pub ports: deployment::PortReservation,
}

impl InstanceProcess {
    /// Reserves free ports for an instance and writes its settings file, without
    /// starting it.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be reserved or the file cannot be written.
    pub fn prepare(
        binary: &path::Path,
        directory: &path::Path,
        name: &str,
        region: &str,
        store: net::SocketAddr,
    ) -> io::Result<Self> {
        let mut ports = deployment::PortReservation::default();
        let (callers, peers, admin) = (ports.reserve(0)?, ports.reserve(0)?, ports.reserve(0)?);
        let settings = example::settings(name, region, callers, peers, admin, store);
        let addresses = InstanceAddresses { callers, peers, admin };
        Self::create(InstanceOptions {
            binary,
            directory,
            name,
            region,
            addresses,
            settings,
            ports,
        })
    }

    /// Creates an instance and writes its settings file, without starting it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn create(options: InstanceOptions<'_>) -> io::Result<Self> {
        let settings = options.directory.join(format!("{}.toml", options.name));
        fs::write(&settings, options.settings)?;
        Ok(Self {
            name: options.name.to_owned(),
            region: options.region.to_owned(),
            callers: options.addresses.callers,
            peers: options.addresses.peers,
            admin: options.addresses.admin,
            binary: options.binary.to_owned(),
            settings,
            log: options.directory.join(format!("{}.log", options.name)),
            child: None,
            _ports: options.ports,
        })
    }

    /// Sets the program of later starts, for an instance that is upgraded.
    pub fn set_binary(&mut self, binary: &path::Path) {
        binary.clone_into(&mut self.binary);
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let child = process::Command::new(&self.binary)
            .arg("serve")
            .arg("-c")
            .arg(&self.settings)
            .env("MARJORAMWING_PEER_SECRET", PEER_SECRET)
            .env("MARJORAMWING_ADMIN_SECRET", ADMIN_SECRET)
            // The template under `deploy` uses this name.
            .env("MARJORAMWING_OPERATOR_SECRET", ADMIN_SECRET)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends the process the named signal, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Panics
    ///
    /// Panics if the process was not started or the signal cannot be sent.
    pub fn signal(&self, signal: &str) {
        let child = self.child.as_ref().expect("the instance was started");
        let id = child.id().to_string();
        let sent = process::Command::new("kill").args(["-s", signal, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "cannot send signal {signal}");
    }

    /// Kills the process with SIGKILL and waits for it.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be killed.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("a child can be killed");
            child.wait().expect("a killed child exits");
        }
    }

    /// Returns the exit code if the process has exited, -1 if a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics if the state of the process cannot be read.
    pub fn exit_code(&mut self) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().expect("the state of a child can be read")?;
        Some(status.code().unwrap_or(-1))
    }

    /// Returns the content of the log file.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the entry of the instance in the platform's list of instances.
    #[must_use]
    pub fn listing_entry(&self, state: listing::ListedState) -> listing::ListedInstance {
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
