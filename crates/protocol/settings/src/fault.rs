//! What is wrong with settings, where, and how to mend it.

use std::fmt;
use std::sync::Arc;

use marjoramwing_derives as derives;

/// One fault of a settings file.
#[derives::record]
#[derive(derive_more::Display)]
#[display("{path}: {kind}")]
pub struct SettingsFault {
    /// Path of the faulty member, such as `listen.peers`.
    pub path: Arc<str>,
    /// What is wrong there.
    pub kind: FaultKind,
}

/// The kinds of fault that settings can have.
#[derives::record]
#[derive(derive_more::Display)]
pub enum FaultKind {
    /// The file cannot be read.
    #[display("cannot be read ({_0}); check the path and its permissions")]
    Unreadable(Arc<str>),
    /// The file is not the TOML that is asked for.
    #[display("{_0}; correct the syntax or the member's name")]
    Syntax(Arc<str>),
    /// A name has a wrong form.
    #[display("`{_0}` is not a name; use 1 to 63 of a-z, 0-9, `-`, `_` and `.`")]
    Name(Arc<str>),
    /// An address has a wrong form.
    #[display("`{_0}` is not an address; write an IP address and port such as 10.0.0.1:7100")]
    Address(Arc<str>),
    /// An address names no interface, so that others cannot use it.
    #[display("`{_0}` is no address that others can reach; write the instance's own IP address")]
    Unspecified(Arc<str>),
    /// Two listeners have one address.
    #[display("is the same address as `{_0}`; give each listener its own")]
    SameAddress(&'static str),
    /// A number is outside its range.
    #[display("{value} is out of range; use {low} to {high}")]
    Range {
        /// Value that was given.
        value: u64,
        /// Smallest value.
        low: u64,
        /// Largest value.
        high: u64,
    },
    /// A number with fractions is outside its range.
    #[display("{value} is out of range; use {low} to {high}")]
    Measure {
        /// Value that was given.
        value: Arc<str>,
        /// Smallest value.
        low: Arc<str>,
        /// Largest value.
        high: Arc<str>,
    },
    /// Neither or both sources of a secret are set.
    #[display("needs exactly one of `{file}` and `{env}`; set one and remove the other")]
    SecretSource {
        /// Member that names a file.
        file: &'static str,
        /// Member that names an environment variable.
        env: &'static str,
    },
    /// The file of a secret cannot be read.
    #[display("the secret file {_0}; check the path and its permissions")]
    SecretFile(Arc<str>),
    /// An environment variable is not set.
    #[display("the environment variable `{_0}` is not set; export it before the start")]
    Environment(Arc<str>),
    /// A secret is too short.
    #[display("the secret has {length} bytes; use at least {least} random bytes")]
    ShortSecret {
        /// Bytes that the secret has.
        length: usize,
        /// Bytes that it needs.
        least: usize,
    },
}

/// All faults of a settings file.
#[derives::record]
#[derive(Default)]
pub struct FaultList {
    /// The faults, in document order.
    pub faults: Vec<SettingsFault>,
}

impl FaultList {
    /// Makes a list of one fault.
    #[must_use]
    pub fn one(path: &str, kind: FaultKind) -> Self {
        Self { faults: vec![SettingsFault { path: path.into(), kind }] }
    }

    /// Adds the fault of a failed check and returns the checked value otherwise.
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

/// Checks that a number with fractions lies in a range.
///
/// # Errors
///
/// Returns the range when it does not.
pub fn check_measure(value: f64, low: f64, high: f64) -> Result<f64, FaultKind> {
    if (low..=high).contains(&value) {
        return Ok(value);
    }
    let [value, low, high] = [value, low, high].map(|number| number.to_string().into());
    Err(FaultKind::Measure { value, low, high })
}
