//! Validation errors (faults) of documents, each with its path and remedy.

use std::fmt;
use std::sync::Arc;

use marjoramwing_derives as derives;

/// One validation error of a document.
#[derives::record]
pub struct TableFault {
    /// Path of the faulty member, such as `routes[2].pools[0]`.
    pub path: Arc<str>,
    /// What is wrong there.
    pub kind: FaultKind,
}

/// Kinds of validation error; the displayed text states the remedy.
#[derives::record]
#[derive(derive_more::Display)]
pub enum FaultKind {
    /// The document is not valid JSON or has missing, unknown or mistyped members.
    #[display("{_0}; correct the document's syntax or member names")]
    Syntax(Arc<str>),
    /// A name is empty, too long or has characters outside the allowed set.
    #[display("`{}` is not a name; use 1 to 63 of a-z, 0-9, `-`, `_` and `.`", _0.escape_debug())]
    Name(Arc<str>),
    /// Two rows have the same name, identifier, address, region or pair of regions, or a cap has
    /// the same region on both sides.
    #[display("`{_0}` is named twice; rename or remove one of the rows")]
    Duplicate(Arc<str>),
    /// A row refers to a row that does not exist.
    #[display("`{name}` is not in the `{object}` object; add it there or correct the name")]
    Unknown {
        /// Object in which the name was looked up.
        object: &'static str,
        /// Name that was not found.
        name: Arc<str>,
    },
    /// A number is out of range.
    #[display("{value} is out of range; use {low} to {high}")]
    Range {
        /// Value that was given.
        value: Arc<str>,
        /// Smallest valid value.
        low: Arc<str>,
        /// Largest valid value.
        high: Arc<str>,
    },
    /// A text does not have the expected format.
    #[display("`{text}` is not {expected}")]
    Malformed {
        /// Text that was given.
        text: Arc<str>,
        /// Expected format.
        expected: &'static str,
    },
    /// A list that needs at least one entry of the given sort is empty.
    #[display("the list is empty; name at least one {_0}")]
    Empty(&'static str),
    /// Two members must be set together, but only one is set.
    #[display("`{present}` needs `{missing}`; set both or neither")]
    Incomplete {
        /// Member that is set.
        present: &'static str,
        /// Member that is not set.
        missing: &'static str,
    },
}

impl fmt::Display for TableFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.kind)
    }
}

/// All faults of one set of documents.
#[derives::record]
#[derive(Default)]
pub struct FaultList {
    /// The faults, in the order in which the documents are checked.
    pub faults: Vec<TableFault>,
}

impl FaultList {
    /// Adds a fault at a path.
    pub fn add(&mut self, path: impl Into<Arc<str>>, kind: FaultKind) {
        self.faults.push(TableFault { path: path.into(), kind });
    }

    /// Returns the value of a successful check, or adds the fault of a failed one.
    pub fn check<T>(
        &mut self,
        path: impl Into<Arc<str>>,
        result: Result<T, FaultKind>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(kind) => {
                self.add(path, kind);
                None
            }
        }
    }

    /// Returns true if there are no faults.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
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

/// What becomes of documents with faults.
#[derives::value]
#[derive(Default)]
pub enum FaultHandling {
    /// A fault rejects all documents, for tables that operators edit with this project's commands.
    #[default]
    Reject,
    /// A fault is confined to its row, for tables that the users' store has accepted as a whole.
    ///
    /// A number out of range becomes the nearest valid one. A row that cannot be used refuses its
    /// requests or is left out.
    Confine,
}

/// Returns the nearest number of an inclusive range, `low` if the value is no number.
pub fn nearest<T: PartialOrd>(value: T, low: T, high: T) -> T {
    if value > high {
        high
    } else if value >= low {
        value
    } else {
        low
    }
}

/// Checks that a number is in an inclusive range.
///
/// # Errors
///
/// Returns [`FaultKind::Range`] if it is not.
pub fn check_range<T: PartialOrd + fmt::Display + Copy>(
    value: T,
    low: T,
    high: T,
) -> Result<T, FaultKind> {
    if value >= low && value <= high {
        return Ok(value);
    }
    Err(FaultKind::Range {
        value: value.to_string().into(),
        low: low.to_string().into(),
        high: high.to_string().into(),
    })
}
