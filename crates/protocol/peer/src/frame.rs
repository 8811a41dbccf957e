//! Codec for length-delimited frames.

use prost::Message;
use tokio_util::codec;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::message;

/// Maximum frame length in bytes; holds one stored object and its envelope.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Maximum frame length in bytes until the peer is authenticated.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 1024;
/// Bytes of the length prefix of each frame, as [`codec::LengthDelimitedCodec`] writes it.
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be read or written.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum FrameError {
    /// The connection failed or the frame is too long.
    #[display("frame could not be sent or received ({_0}); the link is closed and reopened")]
    Io(std::io::Error),
    /// The frame does not contain a valid envelope.
    #[display("frame contains no valid message ({_0}); run the same version on all instances")]
    Decode(prost::DecodeError),
}

/// Encodes and decodes envelopes as frames.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: codec::LengthDelimitedCodec,
}

impl EnvelopeCodec {
    /// Creates a codec that accepts frames up to [`MAX_HANDSHAKE_FRAME_BYTES`].
    #[must_use]
    pub fn for_handshake() -> Self {
        Self { frames: bounded_frames(MAX_HANDSHAKE_FRAME_BYTES) }
    }

    /// Raises the limit to [`MAX_FRAME_BYTES`]; called once the peer is authenticated.
    pub fn raise_frame_limit(&mut self) {
        self.frames.set_max_frame_length(MAX_FRAME_BYTES);
    }
}

fn bounded_frames(max_bytes: usize) -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec()
}

/// Returns the size of an envelope on the wire, with its length prefix.
#[must_use]
pub fn frame_bytes(envelope: &message::Envelope) -> u64 {
    u64::try_from(envelope.encoded_len() + LENGTH_BYTES).unwrap_or(u64::MAX)
}

impl Decoder for EnvelopeCodec {
    type Item = message::Envelope;
    type Error = FrameError;

    fn decode(&mut self, source: &mut bytes::BytesMut) -> Result<Option<Self::Item>, FrameError> {
        let Some(frame) = self.frames.decode(source)? else {
            return Ok(None);
        };
        let envelope = message::Envelope::decode(frame.freeze())?;
        Ok(Some(envelope))
    }
}

impl Encoder<message::Envelope> for EnvelopeCodec {
    type Error = FrameError;

    fn encode(
        &mut self,
        envelope: message::Envelope,
        target: &mut bytes::BytesMut,
    ) -> Result<(), FrameError> {
        let frame = bytes::Bytes::from(envelope.encode_to_vec());
        self.frames.encode(frame, target)?;
        Ok(())
    }
}
