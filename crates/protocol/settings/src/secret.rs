//! Secrets, loaded from files or environment variables.
//!
//! They are never taken from the command line.

use std::env;
use std::fmt;
use std::fs;
use std::path;
use std::sync::Arc;

use crate::fault;

const MIN_SECRET_BYTES: usize = 16;

/// Shared secret; its `Debug` output does not contain the bytes.
#[derive(Clone)]
pub struct SharedSecret(Arc<[u8]>);

impl SharedSecret {
    /// Creates a secret from its bytes without checking the length.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// Returns the bytes of the secret.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}

/// Source of a secret, with the names of the settings that configure it.
#[derive(Debug)]
pub(crate) struct SecretSource<'a> {
    pub(crate) file: Option<&'a path::Path>,
    pub(crate) env: Option<&'a Arc<str>>,
    pub(crate) file_setting: &'static str,
    pub(crate) env_setting: &'static str,
}

impl SecretSource<'_> {
    /// Returns the path for faults: that of the setting which configures the source, or of the
    /// whole table if neither or both are set.
    pub(crate) fn path(&self) -> String {
        match (self.file, self.env) {
            (Some(_), None) => format!("secrets.{}", self.file_setting),
            (None, Some(_)) => format!("secrets.{}", self.env_setting),
            _ => "secrets".to_owned(),
        }
    }

    /// Loads the secret without surrounding white space and checks its length.
    pub(crate) fn load(&self) -> Result<SharedSecret, fault::FaultKind> {
        let text = match (self.file, self.env) {
            (Some(file), None) => read_file(file)?,
            (None, Some(variable)) => read_variable(variable)?,
            _ => return Err(self.source_fault()),
        };
        let trimmed = text.trim();
        if trimmed.len() < MIN_SECRET_BYTES {
            let length = trimmed.len();
            return Err(fault::FaultKind::ShortSecret { length, min_length: MIN_SECRET_BYTES });
        }
        Ok(SharedSecret::from_bytes(trimmed.as_bytes()))
    }

    fn source_fault(&self) -> fault::FaultKind {
        fault::FaultKind::SecretSource { file: self.file_setting, env: self.env_setting }
    }
}

fn read_file(file: &path::Path) -> Result<String, fault::FaultKind> {
    fs::read_to_string(file).map_err(|error| {
        let reason = format!("{} cannot be read ({error})", file.display());
        fault::FaultKind::SecretFile(reason.into())
    })
}

fn read_variable(variable: &Arc<str>) -> Result<String, fault::FaultKind> {
    env::var(&**variable).map_err(|_| fault::FaultKind::Environment(Arc::clone(variable)))
}
