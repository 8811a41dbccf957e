//! What is wrong with a document, where, and how to mend it.

use std::fmt;
use std::sync::Arc;

use marjoramwing_derives as derives;

/// One fault of a document.
#[derives::record]
pub struct TableFault {
    /// Path of the faulty member, such as `routes[2].pools[0]`.
    pub path: Arc<str>,
    /// What is wrong there.
    pub kind: FaultKind,
}

/// The kinds of fault that a document can have.
#[derives::record]
#[derive(derive_more::Display)]
pub enum FaultKind {
    /// The document is not the JSON that its kind asks for.
    #[display("{_0}; correct the document's syntax or member names")]
    Syntax(Arc<str>),
    /// A name is empty, too long or has characters outside the allowed set.
    #[display("`{_0}` is not a name; use 1 to 63 of a-z, 0-9, `-`, `_` and `.`")]
    Name(Arc<str>),
    /// Two rows have one name.
    #[display("`{_0}` is named twice; rename or remove one of the rows")]
    Duplicate(Arc<str>),
    /// A row names another row that does not exist.
    #[display("`{name}` is not in the `{object}` object; add it there or correct the name")]
    Unknown {
        /// Object in which the name was looked up.
        object: &'static str,
        /// Name that was not found.
        name: Arc<str>,
    },
    /// A number is outside its range.
    #[display("{value} is out of range; use {low} to {high}")]
    Range {
        /// Value that was given.
        value: Arc<str>,
        /// Smallest value.
        low: Arc<str>,
        /// Largest value.
        high: Arc<str>,
    },
    /// A text has the wrong form.
    #[display("`{text}` is not {expected}")]
    Form {
        /// Text that was given.
        text: Arc<str>,
        /// Form that is needed.
        expected: &'static str,
    },
    /// A list must not be empty.
    #[display("the list is empty; name at least one {_0}")]
    Empty(&'static str),
    /// Two members must come together.
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
    /// The faults, in document order.
    pub faults: Vec<TableFault>,
}

impl FaultList {
    /// Adds a fault at a path.
    pub fn add(&mut self, path: impl Into<Arc<str>>, kind: FaultKind) {
        self.faults.push(TableFault { path: path.into(), kind });
    }

    /// Adds the fault of a failed check and returns the checked value otherwise.
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

    /// Tells whether no fault was found.
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

/// Checks that a number lies in a range, both ends included.
///
/// # Errors
///
/// Returns [`FaultKind::Range`] when it does not.
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
