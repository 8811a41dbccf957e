//! Messages that open a connection to a backend server through another instance.
//!
//! After the result, the link carries the bytes of that connection and no more frames. Those of the
//! server come in [blocks](crate::block) if both ends have said so. Earlier builds say nothing, and
//! forward the bytes as they are.

use std::net;

use marjoramwing_derives as derives;

/// Asks the acceptor of a link to connect it to a backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayRequest {
    /// Address of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Whether the opener reads the server's bytes in blocks.
    #[prost(bool, tag = "2")]
    pub accepts_blocks: bool,
}

/// Result of connecting.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayResult {
    /// What became of it.
    #[prost(enumeration = "RelayOutcome", tag = "1")]
    pub outcome: i32,
    /// Whether the server's bytes come in blocks.
    #[prost(bool, tag = "2")]
    pub sends_blocks: bool,
}

/// What became of a request for a connection.
#[derives::value]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum RelayOutcome {
    /// Missing in the message.
    Unspecified = 0,
    /// The link is connected to the server.
    Connected = 1,
    /// Nothing listens at the server's address.
    Refused = 2,
    /// The acceptor does not reach the server, or has too many such connections.
    Unreachable = 3,
    /// The acceptor knows no server at the address.
    UnknownServer = 4,
}

impl RelayRequest {
    /// Creates the request for a server, whose bytes are then read in blocks if the acceptor sends them.
    #[must_use]
    pub fn new(server: net::SocketAddr) -> Self {
        Self { server: server.to_string(), accepts_blocks: true }
    }

    /// Returns the address of the server; `None` if it is not one.
    #[must_use]
    pub fn address(&self) -> Option<net::SocketAddr> {
        self.server.parse().ok()
    }
}
