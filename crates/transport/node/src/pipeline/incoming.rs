//! The request body that a connection is receiving.

use tokio::sync::mpsc::error;

use crate::pipeline::body;

/// A request body that is still being received.
#[derive(Debug)]
pub struct IncomingBody {
    decoder: body::BodyDecoder,
    /// `None` once the reader of the body is gone.
    sender: Option<body::PartSender>,
    /// Decoded part that waits for capacity in the channel.
    pending: Option<body::BodyPart>,
    /// Whether the end of the body was sent to the reader, or is pending.
    sent_end: bool,
    /// Whether `100 Continue` has yet to be sent.
    pub sends_continue: bool,
}

impl IncomingBody {
    /// Creates a body whose parts go to `sender`.
    #[must_use]
    pub const fn new(
        decoder: body::BodyDecoder,
        sender: body::PartSender,
        sends_continue: bool,
    ) -> Self {
        Self { decoder, sender: Some(sender), pending: None, sent_end: false, sends_continue }
    }

    /// Returns true if a part waits for capacity in the channel.
    #[must_use]
    pub const fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Decodes the bytes at the start of `buffer` and sends them to the reader.
    ///
    /// Returns true once the end of the body was sent.
    ///
    /// # Errors
    ///
    /// Returns a fault when the body is malformed.
    pub fn forward(&mut self, buffer: &mut bytes::BytesMut) -> Result<bool, body::BodyFault> {
        while self.pending.is_none() {
            match self.decoder.next_part(buffer)? {
                Some(part) => self.send(body::BodyPart::Data(part)),
                None if !self.decoder.is_ended() => return Ok(false),
                None if self.sent_end => return Ok(true),
                None => {
                    self.sent_end = true;
                    self.send(body::BodyPart::End);
                }
            }
        }
        Ok(false)
    }

    /// Waits for capacity in the channel and sends the pending part.
    pub async fn send_pending(&mut self) {
        let Some(part) = &self.pending else { return };
        if let Some(sender) = &self.sender {
            // The reader of the body is gone.
            if sender.send(part.clone()).await.is_err() {
                self.sender = None;
            }
        }
        self.pending = None;
    }

    /// Sends a part, or keeps it until the channel has capacity; discards it if the reader is gone.
    fn send(&mut self, part: body::BodyPart) {
        let Some(sender) = &self.sender else { return };
        match sender.try_send(part) {
            Ok(()) => {}
            Err(error::TrySendError::Full(part)) => self.pending = Some(part),
            Err(_) => self.sender = None,
        }
    }
}
