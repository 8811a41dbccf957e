//! Ports of a deployment: copies of its files on others, and ports held for it.

use std::collections;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::time;

/// Address whose ports are replaced.
const LOOPBACK: &str = "127.0.0.1:";

/// Tries to hold a port before it counts as taken.
const HOLD_TRIES: u32 = 50;
/// Pause between two tries.
const HOLD_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Replaces ports by consecutive ones, in the order in which they are first met.
#[derive(Debug)]
pub struct PortPlan {
    next: u16,
    ports: collections::BTreeMap<String, u16>,
}

impl PortPlan {
    /// Makes a plan that begins at a port.
    #[must_use]
    pub const fn new(first: u16) -> Self {
        Self { next: first, ports: collections::BTreeMap::new() }
    }

    /// Copies all files of a directory and its subdirectories.
    ///
    /// # Errors
    ///
    /// Returns an error when a file cannot be read or written.
    pub fn copy(&mut self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        fs::create_dir_all(to)?;
        let mut entries = fs::read_dir(from)?.collect::<io::Result<Vec<_>>>()?;
        entries.sort_by_key(fs::DirEntry::file_name);
        for entry in entries {
            let target = to.join(entry.file_name());
            if entry.file_type()?.is_dir() {
                self.copy(&entry.path(), &target)?;
            } else {
                let text = fs::read_to_string(entry.path())?;
                fs::write(target, self.replace(&text))?;
            }
        }
        Ok(())
    }

    /// Replaces the ports of a text.
    pub fn replace(&mut self, text: &str) -> String {
        let mut parts = text.split(LOOPBACK);
        let mut replaced = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            let digits = part.bytes().take_while(u8::is_ascii_digit).count();
            let (port, rest) = part.split_at(digits);
            replaced.push_str(LOOPBACK);
            replaced.push_str(&self.port(port).to_string());
            replaced.push_str(rest);
        }
        replaced
    }

    /// Returns the ports that the read texts named.
    #[must_use]
    pub fn named_ports(&self) -> Vec<u16> {
        self.ports.keys().filter_map(|port| port.parse().ok()).collect()
    }

    /// Reads all files of a directory and its subdirectories for their ports.
    ///
    /// # Errors
    ///
    /// Returns an error when a file cannot be read.
    pub fn read(&mut self, from: &path::Path) -> io::Result<()> {
        for entry in fs::read_dir(from)? {
            let entry = entry?;
            if entry.file_type()?.is_dir() {
                self.read(&entry.path())?;
            } else {
                self.replace(&fs::read_to_string(entry.path())?);
            }
        }
        Ok(())
    }

    fn port(&mut self, old: &str) -> u16 {
        if let Some(port) = self.ports.get(old) {
            return *port;
        }
        let port = self.next;
        self.next += 1;
        self.ports.insert(old.to_owned(), port);
        port
    }
}

/// Ports that no outgoing connection can be given while they are held.
///
/// A held port is bound but not listened on, so that a process which is to
/// listen there still can, and the system gives it to nobody else.
#[derive(Debug, Default)]
pub struct PortHolder {
    sockets: Vec<tokio::net::TcpSocket>,
}

/// Ports that something else uses.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("these ports are taken: {}; free them or choose another first port", join(ports))]
pub struct TakenPorts {
    /// The ports.
    pub ports: Vec<u16>,
}

fn join(ports: &[u16]) -> String {
    let texts: Vec<_> = ports.iter().map(u16::to_string).collect();
    texts.join(", ")
}

impl PortHolder {
    /// Holds a port, any free one for 0, and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error when the port is taken.
    pub fn hold(&mut self, port: u16) -> io::Result<net::SocketAddr> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)))?;
        let address = socket.local_addr()?;
        self.sockets.push(socket);
        Ok(address)
    }

    /// Holds ports, waiting for those that short connections use.
    ///
    /// # Errors
    ///
    /// Returns the ports that stayed taken.
    pub async fn hold_all(&mut self, ports: &[u16]) -> Result<(), TakenPorts> {
        let mut left = ports.to_vec();
        for _ in 0..HOLD_TRIES {
            left.retain(|port| self.hold(*port).is_err());
            if left.is_empty() {
                return Ok(());
            }
            tokio::time::sleep(HOLD_PAUSE).await;
        }
        Err(TakenPorts { ports: left })
    }
}
