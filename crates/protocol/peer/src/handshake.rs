//! Proof of the deployment's secret.
//!
//! Each end sends a hello with a fresh nonce and then an HMAC over both
//! hellos and its own role, so that a proof can be neither replayed nor
//! reflected.

use hmac::KeyInit;
use hmac::Mac;
use marjoramwing_derives as derives;
use prost::Message;

use crate::message;

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// Which end of a link a process is.
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
    /// The peer speaks another version.
    #[display("peer speaks protocol version {theirs}, this program {ours}; upgrade the older one")]
    Version {
        /// Version of this program.
        ours: u32,
        /// Version of the peer.
        theirs: u32,
    },
    /// The peer's nonce is too short.
    #[display("peer sent a nonce of {length} bytes; run one version of the program")]
    Nonce {
        /// Bytes of the nonce.
        length: usize,
    },
    /// The peer's proof is wrong.
    #[display("peer does not hold the deployment's secret; give all instances the same one")]
    Proof,
    /// A message came out of order.
    #[display("peer sent another message than the handshake's; run one version of the program")]
    Order,
}

/// Both hellos of a link.
#[derive(Debug, Clone, PartialEq)]
pub struct HelloPair {
    /// Hello of the end that opened the connection.
    pub opener: message::Hello,
    /// Hello of the end that accepted the connection.
    pub acceptor: message::Hello,
}

impl HelloPair {
    /// Pairs this end's hello with the other's.
    #[must_use]
    pub fn new(role: LinkRole, ours: message::Hello, theirs: message::Hello) -> Self {
        match role {
            LinkRole::Opener => Self { opener: ours, acceptor: theirs },
            LinkRole::Acceptor => Self { opener: theirs, acceptor: ours },
        }
    }

    /// Makes the proof of one end.
    #[must_use]
    pub fn prove(&self, secret: &[u8], role: LinkRole) -> message::Proof {
        let code = self.authenticate(secret, role).finalize().into_bytes();
        message::Proof { code: bytes::Bytes::copy_from_slice(&code) }
    }

    /// Checks the proof of one end.
    ///
    /// # Errors
    ///
    /// Returns [`HandshakeError::Proof`] when the end does not hold the secret.
    pub fn verify(
        &self,
        secret: &[u8],
        role: LinkRole,
        proof: &message::Proof,
    ) -> Result<(), HandshakeError> {
        let code = self.authenticate(secret, role);
        code.verify_slice(&proof.code).map_err(|_| HandshakeError::Proof)
    }

    fn authenticate(&self, secret: &[u8], role: LinkRole) -> HmacSha256 {
        let mut code = HmacSha256::new_from_slice(secret).expect("HMAC takes a key of any length");
        code.update(role.label());
        code.update(&self.opener.encode_length_delimited_to_vec());
        code.update(&self.acceptor.encode_length_delimited_to_vec());
        code
    }
}

/// Checks the other end's hello.
///
/// # Errors
///
/// Returns an error when the version differs or the nonce is too short.
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
