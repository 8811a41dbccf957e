//! Reports of what the store has confirmed about one kind of object, and their conversions.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_objects::object;
use marjoramwing_objects::position;
use marjoramwing_watches::coverage;

/// What the sender knows of the changes of one kind of object.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Coverage {
    /// Kind of the objects.
    #[prost(enumeration = "WatchedKind", tag = "1")]
    pub kind: i32,
    /// Position by which the last known change had happened.
    #[prost(message, optional, tag = "2")]
    pub changed_at: Option<Position>,
    /// Position up to which all changes are known.
    #[prost(message, optional, tag = "3")]
    pub position: Option<Position>,
    /// Time since the store has confirmed that, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Position in the history of the store.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Position {
    /// Era of the store.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Revision within the era.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Kinds of objects that instances watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WatchedKind {
    /// A kind that this version does not know.
    Unknown = 0,
    /// Configuration.
    Tables = 1,
    /// Registrations of backend servers.
    Servers = 2,
    /// Drained failure domains.
    Drains = 3,
}

/// A report about one kind of object.
#[derives::value]
pub struct KindReport {
    /// Kind of the objects.
    pub kind: object::ObjectKind,
    /// What the sender knows of their changes.
    pub report: coverage::CoverageReport,
}

/// Why a report was rejected.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
pub enum CoverageError {
    /// The kind is not one that instances watch.
    #[display("report is about a kind that is not watched; run the same version on all instances")]
    Kind,
    /// A position is missing, or the last change is after the known position.
    #[display("report has no valid positions; run the same version on all instances")]
    Position,
}

impl From<position::StorePosition> for Position {
    fn from(position: position::StorePosition) -> Self {
        Self { era: position.era.0, revision: position.revision }
    }
}

impl From<Position> for position::StorePosition {
    fn from(raw: Position) -> Self {
        Self { era: position::StoreEra(raw.era), revision: raw.revision }
    }
}

impl From<KindReport> for Coverage {
    fn from(report: KindReport) -> Self {
        let kind = match report.kind {
            object::ObjectKind::Tables => WatchedKind::Tables,
            object::ObjectKind::Servers => WatchedKind::Servers,
            object::ObjectKind::Drains => WatchedKind::Drains,
            _ => WatchedKind::Unknown,
        };
        Self {
            kind: kind.into(),
            changed_at: Some(report.report.changed_at.into()),
            position: Some(report.report.position.into()),
            age_ms: u64::try_from(report.report.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<Coverage> for KindReport {
    type Error = CoverageError;

    fn try_from(raw: Coverage) -> Result<Self, CoverageError> {
        let kind = match raw.kind() {
            WatchedKind::Tables => object::ObjectKind::Tables,
            WatchedKind::Servers => object::ObjectKind::Servers,
            WatchedKind::Drains => object::ObjectKind::Drains,
            WatchedKind::Unknown => return Err(CoverageError::Kind),
        };
        let positions = raw.changed_at.zip(raw.position);
        let (changed_at, position) = positions.ok_or(CoverageError::Position)?;
        let changed_at = position::StorePosition::from(changed_at);
        let position = position::StorePosition::from(position);
        if changed_at > position || position.is_start() {
            return Err(CoverageError::Position);
        }
        let age = time::Duration::from_millis(raw.age_ms);
        Ok(Self { kind, report: coverage::CoverageReport { changed_at, position, age } })
    }
}
