//! The handshake of one link.

use std::time;

use futures_util::SinkExt;
use futures_util::StreamExt;
use marjoramwing_peer::frame;
use marjoramwing_peer::handshake;
use marjoramwing_peer::message;
use tokio_util::codec;

use crate::shared;

/// Longest wait for a handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A stream of envelopes.
pub type EnvelopeStream = codec::Framed<tokio::net::TcpStream, frame::EnvelopeCodec>;

/// A link whose other end holds the deployment's secret.
#[derive(Debug)]
pub struct ProvenLink {
    /// Carries the envelopes.
    pub stream: EnvelopeStream,
    /// Hello of the other end.
    pub hello: message::Hello,
}

/// Why a link could not be opened.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum LinkError {
    /// A frame could not be carried.
    Frame(frame::FrameError),
    /// The handshake failed.
    Handshake(handshake::HandshakeError),
    /// The peer closed the link or was silent.
    #[display("peer closed the link or was silent during the handshake; check that it runs")]
    Ended,
}

/// Proves the deployment's secret to a peer and checks the peer's proof.
///
/// # Errors
///
/// Returns an error when the peer does not hold the secret or is silent.
pub async fn shake_hands(
    shared: &shared::SharedTables,
    stream: tokio::net::TcpStream,
    role: handshake::LinkRole,
) -> Result<ProvenLink, LinkError> {
    let exchange = exchange_proofs(shared, stream, role);
    let timed = tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await;
    timed.unwrap_or(Err(LinkError::Ended))
}

async fn exchange_proofs(
    shared: &shared::SharedTables,
    stream: tokio::net::TcpStream,
    role: handshake::LinkRole,
) -> Result<ProvenLink, LinkError> {
    let mut stream = codec::Framed::new(stream, frame::EnvelopeCodec::for_handshake());
    let ours = make_hello(shared);
    stream.send(message::Envelope::new(message::Body::Hello(ours.clone()))).await?;
    let Some(message::Body::Hello(hello)) = receive(&mut stream).await? else {
        return Err(handshake::HandshakeError::Order.into());
    };
    handshake::check_hello(&hello)?;
    let pair = handshake::HelloPair::new(role, ours, hello.clone());
    let secret = shared.settings.peer_secret.as_bytes();
    let proof = message::Body::Proof(pair.prove(secret, role));
    stream.send(message::Envelope::new(proof)).await?;
    let Some(message::Body::Proof(proof)) = receive(&mut stream).await? else {
        return Err(handshake::HandshakeError::Order.into());
    };
    pair.verify(secret, role.other(), &proof)?;
    stream.codec_mut().allow_messages();
    Ok(ProvenLink { stream, hello })
}

async fn receive(stream: &mut EnvelopeStream) -> Result<Option<message::Body>, LinkError> {
    let envelope = stream.next().await.ok_or(LinkError::Ended)??;
    Ok(envelope.body)
}

fn make_hello(shared: &shared::SharedTables) -> message::Hello {
    let nonce: [u8; handshake::NONCE_BYTES] = rand::random();
    message::Hello {
        version: message::PROTOCOL_VERSION,
        incarnation: shared.incarnation.as_u64(),
        nonce: bytes::Bytes::copy_from_slice(&nonce),
        name: shared.settings.identity.name.to_string(),
        peer_address: shared.settings.listen.peers.to_string(),
    }
}
