//! Copies of a deployment on other ports, and reservation of its ports.

use std::collections;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::time;

/// Prefix of the addresses whose ports are replaced.
const LOOPBACK: &str = "127.0.0.1:";

/// Attempts to reserve a port before it counts as unavailable.
const RESERVE_ATTEMPTS: u32 = 50;
/// Delay between two attempts.
const RESERVE_DELAY: time::Duration = time::Duration::from_millis(100);

/// Replaces ports by consecutive ones, in the order of their first occurrence.
#[derive(Debug)]
pub struct PortRewriter {
    next: u16,
    /// Assigned ports by original port, as written in the files.
    ports: collections::BTreeMap<String, u16>,
}

impl PortRewriter {
    /// Creates a rewriter that assigns ports from the given one upwards.
    #[must_use]
    pub const fn new(first: u16) -> Self {
        Self { next: first, ports: collections::BTreeMap::new() }
    }

    /// Copies all files of a directory and its subdirectories, and replaces the
    /// ports in them.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or written.
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

    /// Replaces the loopback ports in a text.
    pub fn replace(&mut self, text: &str) -> String {
        let mut parts = text.split(LOOPBACK);
        let mut replaced = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            let digits = part.bytes().take_while(u8::is_ascii_digit).count();
            let (port, rest) = part.split_at(digits);
            replaced.push_str(LOOPBACK);
            replaced.push_str(&self.assign_port(port).to_string());
            replaced.push_str(rest);
        }
        replaced
    }

    /// Returns the original ports found so far.
    #[must_use]
    pub fn original_ports(&self) -> Vec<u16> {
        self.ports.keys().filter_map(|port| port.parse().ok()).collect()
    }

    /// Collects the ports in all files of a directory and its subdirectories.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read.
    pub fn collect_ports(&mut self, from: &path::Path) -> io::Result<()> {
        for entry in fs::read_dir(from)? {
            let entry = entry?;
            if entry.file_type()?.is_dir() {
                self.collect_ports(&entry.path())?;
            } else {
                self.replace(&fs::read_to_string(entry.path())?);
            }
        }
        Ok(())
    }

    fn assign_port(&mut self, old: &str) -> u16 {
        if let Some(port) = self.ports.get(old) {
            return *port;
        }
        let port = self.next;
        self.next += 1;
        self.ports.insert(old.to_owned(), port);
        port
    }
}

/// Reserved ports, which the system does not assign to outgoing connections.
///
/// A reserved port is bound with `SO_REUSEADDR` but not listened on, so that
/// another process can still listen on it.
#[derive(Debug, Default)]
pub struct PortReservation {
    sockets: Vec<tokio::net::TcpSocket>,
}

/// The error for ports that other sockets use.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("ports already in use: {}; free them or choose another first port", join(ports))]
pub struct UnavailablePorts {
    /// Numbers of the ports.
    pub ports: Vec<u16>,
}

fn join(ports: &[u16]) -> String {
    let texts: Vec<_> = ports.iter().map(u16::to_string).collect();
    texts.join(", ")
}

impl PortReservation {
    /// Reserves a port, any free one for 0, and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the port is in use.
    pub fn reserve(&mut self, port: u16) -> io::Result<net::SocketAddr> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)))?;
        let address = socket.local_addr()?;
        self.sockets.push(socket);
        Ok(address)
    }

    /// Reserves ports, and waits for those that short-lived connections still use.
    ///
    /// # Errors
    ///
    /// Returns the ports that are still in use after all attempts.
    pub async fn reserve_all(&mut self, ports: &[u16]) -> Result<(), UnavailablePorts> {
        let mut remaining = ports.to_vec();
        for _ in 0..RESERVE_ATTEMPTS {
            remaining.retain(|port| self.reserve(*port).is_err());
            if remaining.is_empty() {
                return Ok(());
            }
            tokio::time::sleep(RESERVE_DELAY).await;
        }
        Err(UnavailablePorts { ports: remaining })
    }
}
