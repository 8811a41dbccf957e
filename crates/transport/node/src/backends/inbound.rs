//! Reads what a backend server sends, over a direct connection or through another instance.
//!
//! Invariant: an end of the stream that the server did not cause is an error, so that a response
//! without a length does not look complete. The system closes the sockets of a relaying process that
//! ends as if it had closed them itself.

use std::io;
use std::pin;
use std::task;

use marjoramwing_derives as derives;
use marjoramwing_peer::block;
use tokio::io::AsyncRead;

/// How the bytes of the server arrive.
#[derives::value]
pub enum InboundFraming {
    /// From the server itself.
    Direct,
    /// As they are, through an instance that does not mark their end.
    ///
    /// Earlier builds relay like this. Whether the server closed the connection is not known then.
    Unmarked,
    /// In blocks, through an instance that marks their end.
    Blocks(block::BlockPosition),
}

impl InboundFraming {
    /// Blocks of which none has been read.
    pub const BLOCKS: Self = Self::Blocks(block::BlockPosition::START);

    /// Reads bytes of the server; reads none at the end that the server caused.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::UnexpectedEof`] if the connection was closed by anything else.
    pub fn poll_read(
        &mut self,
        stream: &mut tokio::net::TcpStream,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        match self {
            Self::Direct => pin::Pin::new(stream).poll_read(context, buffer),
            Self::Unmarked => poll_read_some(stream, context, buffer).map_ok(|_| ()),
            Self::Blocks(position) => poll_read_blocks(position, stream, context, buffer),
        }
    }
}

fn poll_read_blocks(
    position: &mut block::BlockPosition,
    stream: &mut tokio::net::TcpStream,
    context: &mut task::Context<'_>,
    buffer: &mut tokio::io::ReadBuf<'_>,
) -> task::Poll<io::Result<()>> {
    while position.missing_header() > 0 {
        let mut bytes = [0; block::HEADER_BYTES];
        let mut header = tokio::io::ReadBuf::new(&mut bytes[..position.missing_header()]);
        task::ready!(poll_read_some(stream, context, &mut header))?;
        for byte in header.filled() {
            *position = position.after_header(*byte);
        }
    }
    let block::BlockPosition::Payload(left) = *position else { return task::Poll::Ready(Ok(())) };
    let length = left.min(buffer.remaining());
    let mut payload = tokio::io::ReadBuf::new(buffer.initialize_unfilled_to(length));
    let read = task::ready!(poll_read_some(stream, context, &mut payload))?;
    buffer.advance(read);
    *position = position.after_payload(read);
    task::Poll::Ready(Ok(()))
}

/// Reads at least one byte if the buffer has room, and returns how many.
fn poll_read_some(
    stream: &mut tokio::net::TcpStream,
    context: &mut task::Context<'_>,
    buffer: &mut tokio::io::ReadBuf<'_>,
) -> task::Poll<io::Result<usize>> {
    let before = buffer.remaining();
    task::ready!(pin::Pin::new(stream).poll_read(context, buffer))?;
    match before - buffer.remaining() {
        0 if before > 0 => task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
        read => task::Poll::Ready(Ok(read)),
    }
}
