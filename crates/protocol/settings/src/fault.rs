//! Validation errors of the settings, each with its location and remedy.

use std::fmt;
use std::sync::Arc;

use marjoramwing_derives as derives;

/// Error in a settings file.
#[derives::record]
#[derive(derive_more::Display)]
#[display("{path}: {kind}")]
pub struct SettingsFault {
    /// Path of the faulty setting, such as `listen.peers`.
    pub path: Arc<str>,
    /// Error and remedy.
    pub kind: FaultKind,
}

/// Kind of a [`SettingsFault`]; its text contains the remedy.
#[derives::record]
#[derive(derive_more::Display)]
pub enum FaultKind {
    /// The file cannot be read.
    #[display("cannot be read ({_0}); check the path and its permissions")]
    Unreadable(Arc<str>),
    /// The file is not valid TOML or does not match the document.
    #[display("{_0}; correct the syntax or the member's name")]
    Syntax(Arc<str>),
    /// A name is invalid.
    #[display("`{_0}` is not a name; use 1 to 63 of a-z, 0-9, `-`, `_` and `.`")]
    Name(Arc<str>),
    /// An address cannot be parsed.
    #[display("`{_0}` is not an address; write an IP address and port such as 10.0.0.1:7100")]
    Address(Arc<str>),
    /// An address is a wildcard such as 0.0.0.0, which others cannot connect to.
    #[display("`{_0}` is no address that others can reach; write the instance's own IP address")]
    Unspecified(Arc<str>),
    /// Two listeners have the same address.
    #[display("is the same address as `{_0}`; give each listener its own")]
    SameAddress(&'static str),
    /// An integer is outside its range.
    #[display("{value} is out of range; use {low} to {high}")]
    Range {
        /// Configured value.
        value: u64,
        /// Minimum value.
        low: u64,
        /// Maximum value.
        high: u64,
    },
    /// A floating-point number is outside its range.
    #[display("{value} is out of range; use {low} to {high}")]
    FloatRange {
        /// Configured value.
        value: Arc<str>,
        /// Minimum value.
        low: Arc<str>,
        /// Maximum value.
        high: Arc<str>,
    },
    /// Neither or both sources of a secret are set.
    #[display("needs exactly one of `{file}` and `{env}`; set one and remove the other")]
    SecretSource {
        /// Setting with the path of the file.
        file: &'static str,
        /// Setting with the name of the environment variable.
        env: &'static str,
    },
    /// A secret's file cannot be read.
    #[display("the secret file {_0}; check the path and its permissions")]
    SecretFile(Arc<str>),
    /// A secret's environment variable is not set or is not valid Unicode.
    #[display("the environment variable `{_0}` is not set; export it before the start")]
    Environment(Arc<str>),
    /// A secret is too short.
    #[display("the secret has {length} bytes; use at least {min_length} random bytes")]
    ShortSecret {
        /// Length of the secret in bytes.
        length: usize,
        /// Minimum length in bytes.
        min_length: usize,
    },
}

/// Errors found in a settings file.
#[derives::record]
#[derive(Default)]
pub struct FaultList {
    /// Faults in the order in which the settings are checked.
    pub faults: Vec<SettingsFault>,
}

impl FaultList {
    /// Creates a list with one fault.
    #[must_use]
    pub fn one(path: &str, kind: FaultKind) -> Self {
        Self { faults: vec![SettingsFault { path: path.into(), kind }] }
    }

    /// Returns the value of a successful check; records the fault of a failed one.
    pub fn check<T>(&mut self, path: &str, result: Result<T, FaultKind>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(kind) => {
                self.faults.push(SettingsFault { path: path.into(), kind });
                None
            }
        }
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}

/// Checks that a floating-point number is within a range.
///
/// # Errors
///
/// Returns [`FaultKind::FloatRange`] if it is not.
pub fn check_float(value: f64, low: f64, high: f64) -> Result<f64, FaultKind> {
    if (low..=high).contains(&value) {
        return Ok(value);
    }
    let [value, low, high] = [value, low, high].map(|number| number.to_string().into());
    Err(FaultKind::FloatRange { value, low, high })
}
