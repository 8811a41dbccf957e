//! Mutual authentication of a link by the deployment's shared secret.
//!
//! Each end sends a hello with a fresh nonce, then an HMAC over both hellos
//! and its own role. The nonces prevent replay and the role prevents
//! reflection.

use hmac::KeyInit;
use hmac::Mac;
use marjoramwing_derives as derives;
use prost::Message;

use crate::message;

/// Length of this program's nonces in bytes, and minimum length of a peer's nonce.
pub const NONCE_BYTES: usize = 16;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// Role of one end of a link.
#[derives::value]
pub enum LinkRole {
    /// The end that opened the connection.
    Opener,
    /// The end that accepted the connection.
    Acceptor,
}

impl LinkRole {
    /// Returns the role of the other end.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Opener => Self::Acceptor,
            Self::Acceptor => Self::Opener,
        }
    }

    const fn label(self) -> &'static [u8] {
        match self {
            Self::Opener => b"opener",
            Self::Acceptor => b"acceptor",
        }
    }
}

/// Why a handshake failed.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum HandshakeError {
    /// The peer uses another protocol version.
    #[display("peer uses protocol version {theirs}, this program {ours}; upgrade the older one")]
    Version {
        /// Protocol version of this program.
        ours: u32,
        /// Protocol version of the peer.
        theirs: u32,
    },
    /// The peer's nonce is too short.
    #[display("peer sent a nonce of {length} bytes; run the same version on all instances")]
    Nonce {
        /// Length of the received nonce in bytes.
        length: usize,
    },
    /// The peer's proof does not verify.
    #[display("peer does not hold the deployment's secret; give all instances the same one")]
    Proof,
    /// The peer sent a message other than the one that the handshake expects next.
    #[display(
        "peer sent an unexpected message during the handshake; run the same version on all instances"
    )]
    UnexpectedMessage,
}

/// Hellos of both ends of a link, over which the proofs are computed.
#[derive(Debug, Clone, PartialEq)]
pub struct HelloPair {
    /// Hello of the end that opened the connection.
    pub opener: message::Hello,
    /// Hello of the end that accepted the connection.
    pub acceptor: message::Hello,
}

impl HelloPair {
    /// Pairs this end's hello with the peer's, given the role of this end.
    #[must_use]
    pub fn new(role: LinkRole, ours: message::Hello, theirs: message::Hello) -> Self {
        match role {
            LinkRole::Opener => Self { opener: ours, acceptor: theirs },
            LinkRole::Acceptor => Self { opener: theirs, acceptor: ours },
        }
    }

    /// Computes the proof of the end with this role.
    #[must_use]
    pub fn prove(&self, secret: &[u8], role: LinkRole) -> message::Proof {
        let code = self.compute_mac(secret, role).finalize().into_bytes();
        message::Proof { code: bytes::Bytes::copy_from_slice(&code) }
    }

    /// Verifies the proof of the end with this role.
    ///
    /// # Errors
    ///
    /// Returns [`HandshakeError::Proof`] if the proof was not made with the secret.
    pub fn verify(
        &self,
        secret: &[u8],
        role: LinkRole,
        proof: &message::Proof,
    ) -> Result<(), HandshakeError> {
        let mac = self.compute_mac(secret, role);
        mac.verify_slice(&proof.code).map_err(|_| HandshakeError::Proof)
    }

    fn compute_mac(&self, secret: &[u8], role: LinkRole) -> HmacSha256 {
        let mut mac = HmacSha256::new_from_slice(secret).expect("HMAC takes a key of any length");
        mac.update(role.label());
        mac.update(&self.opener.encode_length_delimited_to_vec());
        mac.update(&self.acceptor.encode_length_delimited_to_vec());
        mac
    }
}

/// Checks the peer's hello.
///
/// # Errors
///
/// Returns [`HandshakeError::Version`] if the protocol version differs and
/// [`HandshakeError::Nonce`] if the nonce is too short.
pub fn check_hello(hello: &message::Hello) -> Result<(), HandshakeError> {
    if hello.version != message::PROTOCOL_VERSION {
        let ours = message::PROTOCOL_VERSION;
        return Err(HandshakeError::Version { ours, theirs: hello.version });
    }
    if hello.nonce.len() < NONCE_BYTES {
        return Err(HandshakeError::Nonce { length: hello.nonce.len() });
    }
    Ok(())
}
