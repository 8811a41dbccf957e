//! Team keys: parsed from requests, stored and compared as hashes.
//!
//! Invariant: the secret text never leaves [`PresentedKey`], whose `Debug`
//! output omits it; the tables contain hashes only.

use std::borrow;
use std::cell;
use std::fmt;
use std::sync::Arc;

use marjoramwing_derives as derives;
use sha2::Digest;
use subtle::ConstantTimeEq;

use crate::fault;
use crate::name;
use crate::team;

const HASH_BYTES: usize = 32;
/// Maximum length of a presented dotted key.
const MAX_KEY_BYTES: usize = 256;

/// SHA-256 of a whole team key.
#[derives::value]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes the whole text of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two hashes in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl TryFrom<&Arc<str>> for KeyHash {
    type Error = fault::FaultKind;

    fn try_from(text: &Arc<str>) -> Result<Self, Self::Error> {
        // The text may be a key entered by mistake, so the fault does not quote it.
        parse_hash(text).ok_or_else(|| fault::FaultKind::Malformed {
            text: format!("<{} bytes>", text.len()).into(),
            expected: "a SHA-256 hash of 64 lower-case hexadecimal digits",
        })
    }
}

fn parse_hash(text: &str) -> Option<KeyHash> {
    let digits = text.as_bytes();
    if digits.len() != 2 * HASH_BYTES {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
    }
    Some(KeyHash(hash))
}

fn hex_digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}

/// Number of leading digits of the hash that identify an opaque key.
const OPAQUE_ID_DIGITS: usize = 16;

/// Format of the text of a team key.
#[derives::value]
#[derive(Default)]
pub enum KeyFormat {
    /// A public identifier, a dot and a secret.
    #[default]
    Dotted,
    /// A secret only; its identifier is derived from its hash.
    Opaque,
}

impl KeyHash {
    /// Returns the public identifier of the opaque key with this hash.
    #[must_use]
    pub fn opaque_id(&self) -> String {
        let mut id = self.to_string();
        id.truncate(OPAQUE_ID_DIGITS);
        id
    }
}

/// A key as a caller presents it.
pub struct PresentedKey<'a> {
    text: &'a str,
    id: borrow::Cow<'a, str>,
    hash: cell::OnceCell<KeyHash>,
}

impl<'a> PresentedKey<'a> {
    /// Parses a dotted key; returns `None` if the text is not one or is too long.
    #[must_use]
    pub fn parse_dotted(text: &'a str) -> Option<Self> {
        if text.len() > MAX_KEY_BYTES {
            return None;
        }
        let (id, secret) = text.split_once('.')?;
        (!id.is_empty() && !secret.is_empty()).then_some(Self {
            text,
            id: id.into(),
            hash: cell::OnceCell::new(),
        })
    }

    /// Parses an opaque key; returns `None` if the text is empty.
    ///
    /// The users' store sets no limit to its length, and the header that carries it has one.
    #[must_use]
    pub fn parse_opaque(text: &'a str) -> Option<Self> {
        if text.is_empty() {
            return None;
        }
        let hash = KeyHash::of(text);
        Some(Self { text, id: hash.opaque_id().into(), hash: cell::OnceCell::from(hash) })
    }

    /// Parses a key in the given format; returns `None` if the text is not in it.
    #[must_use]
    pub fn parse(text: &'a str, format: KeyFormat) -> Option<Self> {
        match format {
            KeyFormat::Dotted => Self::parse_dotted(text),
            KeyFormat::Opaque => Self::parse_opaque(text),
        }
    }

    /// Returns the public identifier.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the hash of the whole key, which is computed once.
    #[must_use]
    pub fn hash(&self) -> KeyHash {
        *self.hash.get_or_init(|| KeyHash::of(self.text))
    }
}

impl fmt::Debug for PresentedKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PresentedKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// A valid team key.
#[derives::record]
pub struct Credential {
    /// Public identifier of the key.
    pub id: name::KeyId,
    /// Team that the key authenticates.
    pub team: team::TeamKey,
    /// Hash of the whole key.
    pub hash: KeyHash,
}
