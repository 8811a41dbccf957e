//! The handshake that authenticates a link.

use std::time;

use futures_util::SinkExt;
use futures_util::StreamExt;
use marjoramwing_peer::frame;
use marjoramwing_peer::handshake;
use marjoramwing_peer::message;
use tokio_util::codec;

use crate::shared;

/// Time limit for the whole handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A TCP stream that carries envelopes.
pub type EnvelopeStream = codec::Framed<tokio::net::TcpStream, frame::EnvelopeCodec>;

/// A link whose other end has proved that it holds the peer secret.
#[derive(Debug)]
pub struct AuthenticatedLink {
    /// Stream that carries the envelopes.
    pub stream: EnvelopeStream,
    /// `Hello` of the other end.
    pub hello: message::Hello,
}

/// Why a link could not be opened.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum LinkError {
    /// A frame could not be read or written.
    Frame(frame::FrameError),
    /// The handshake failed.
    Handshake(handshake::HandshakeError),
    /// The peer closed the link or did not answer in time.
    #[display("peer closed the link or did not answer during the handshake; check that it runs")]
    Ended,
}

/// Authenticates both ends of a link by the deployment's peer secret.
///
/// # Errors
///
/// Returns an error if the peer does not prove that it holds the secret, violates the
/// handshake, closes the link or does not answer in time.
pub async fn authenticate(
    shared: &shared::InstanceState,
    stream: tokio::net::TcpStream,
    role: handshake::LinkRole,
    purpose: message::LinkPurpose,
) -> Result<AuthenticatedLink, LinkError> {
    let exchange = exchange_proofs(shared, stream, role, purpose);
    let timed = tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await;
    timed.unwrap_or(Err(LinkError::Ended))
}

async fn exchange_proofs(
    shared: &shared::InstanceState,
    stream: tokio::net::TcpStream,
    role: handshake::LinkRole,
    purpose: message::LinkPurpose,
) -> Result<AuthenticatedLink, LinkError> {
    let mut stream = codec::Framed::new(stream, frame::EnvelopeCodec::for_handshake());
    let ours = make_hello(shared, purpose);
    stream.send(message::Envelope::new(message::Body::Hello(ours.clone()))).await?;
    let Some(message::Body::Hello(hello)) = receive(&mut stream).await? else {
        return Err(handshake::HandshakeError::UnexpectedMessage.into());
    };
    handshake::check_hello(&hello)?;
    let pair = handshake::HelloPair::new(role, ours, hello.clone());
    let secret = shared.settings.peer_secret.as_bytes();
    let proof = message::Body::Proof(pair.prove(secret, role));
    stream.send(message::Envelope::new(proof)).await?;
    let Some(message::Body::Proof(proof)) = receive(&mut stream).await? else {
        return Err(handshake::HandshakeError::UnexpectedMessage.into());
    };
    pair.verify(secret, role.other(), &proof)?;
    stream.codec_mut().raise_frame_limit();
    Ok(AuthenticatedLink { stream, hello })
}

pub(crate) async fn receive(
    stream: &mut EnvelopeStream,
) -> Result<Option<message::Body>, LinkError> {
    let envelope = stream.next().await.ok_or(LinkError::Ended)??;
    Ok(envelope.body)
}

fn make_hello(shared: &shared::InstanceState, purpose: message::LinkPurpose) -> message::Hello {
    let nonce: [u8; handshake::NONCE_BYTES] = rand::random();
    message::Hello {
        version: message::PROTOCOL_VERSION,
        incarnation: shared.incarnation.as_u64(),
        nonce: bytes::Bytes::copy_from_slice(&nonce),
        name: shared.settings.identity.name.to_string(),
        peer_address: shared.settings.listen.peers.to_string(),
        purpose: purpose.into(),
    }
}
