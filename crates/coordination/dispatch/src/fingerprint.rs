//! Fingerprints of the content of requests, by which copies of one request are matched.
//!
//! Invariant: a fingerprint reveals neither path nor body to whoever lacks the key, and differs
//! between teams, so that no team's request is taken for another's.

use std::fmt;
use std::str;

use hmac::KeyInit;
use hmac::Mac;
use marjoramwing_derives as derives;

/// Number of hexadecimal digits of a fingerprint.
const DIGITS: usize = 32;

/// Fingerprint of the content of a request: method, host, target, team and body.
#[derives::value]
pub struct ContentFingerprint {
    high: u64,
    low: u64,
}

/// Key from which all instances derive the same fingerprints.
#[derive(Clone)]
pub struct FingerprintKey(hmac::Hmac<sha2::Sha256>);

/// Content of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a str,
    /// Host that the caller named.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Team whose key came with the request; empty on open routes.
    pub team: &'a str,
    /// Body.
    pub body: ContentBody<'a>,
}

/// Body of a request, as far as it is known when the request is sent.
#[derive(Debug, Clone, Copy)]
pub enum ContentBody<'a> {
    /// The whole body.
    Whole(&'a [u8]),
    /// A body that is read while it is sent, of which only the announced length is known.
    Streamed(u64),
}

/// Why a text is not a fingerprint.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
#[display("not a fingerprint; give the 32 hexadecimal digits that the dump or the log line shows")]
pub struct FingerprintFault;

impl FingerprintKey {
    /// Derives the key from a secret that all instances share.
    ///
    /// # Panics
    ///
    /// Never: the key of this code may have any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mut code = hmac::Hmac::new_from_slice(secret).expect("a key of any length is valid");
        code.update(b"request content");
        Self(code)
    }

    /// Returns the fingerprint of a content.
    #[must_use]
    pub fn fingerprint(&self, content: &RequestContent<'_>) -> ContentFingerprint {
        let mut code = self.0.clone();
        let texts = [content.method, content.host, content.target, content.team];
        for text in texts {
            code.update(&(text.len() as u64).to_be_bytes());
            code.update(text.as_bytes());
        }
        match content.body {
            ContentBody::Whole(bytes) => {
                code.update(&[0]);
                code.update(bytes);
            }
            ContentBody::Streamed(length) => {
                code.update(&[1]);
                code.update(&length.to_be_bytes());
            }
        }
        let bytes: [u8; 32] = code.finalize().into_bytes().into();
        let half = |start: usize| {
            bytes[start..start + 8].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        ContentFingerprint { high: half(0), low: half(8) }
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FingerprintKey(..)")
    }
}

impl ContentFingerprint {
    /// Creates a fingerprint from its two halves.
    #[must_use]
    pub const fn from_halves(high: u64, low: u64) -> Self {
        Self { high, low }
    }

    /// Returns the two halves.
    #[must_use]
    pub const fn halves(self) -> (u64, u64) {
        (self.high, self.low)
    }
}

impl fmt::Display for ContentFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.high, self.low)
    }
}

impl str::FromStr for ContentFingerprint {
    type Err = FingerprintFault;

    fn from_str(text: &str) -> Result<Self, FingerprintFault> {
        let is_hex = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_hex);
        let number = number.ok_or(FingerprintFault)?;
        Ok(Self { high: (number >> 64) as u64, low: number as u64 })
    }
}
