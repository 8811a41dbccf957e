//! State of a TCP connection that the runtime does not report.

use std::io;
use std::mem;

/// Returns true if the peer has neither sent bytes that are still unread nor closed the
/// connection.
#[must_use]
pub fn is_idle(stream: &tokio::net::TcpStream) -> bool {
    let mut byte = [mem::MaybeUninit::uninit(); 1];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
