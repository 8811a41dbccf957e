//! Objects as read, parsed but not yet checked against each other.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_objects::object;
use marjoramwing_tables::document;
use marjoramwing_tables::fault;

/// The objects that make up the tables.
#[derives::value]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TableObject {
    /// Routes.
    #[display("routes")]
    Routes,
    /// Pools of backend servers.
    #[display("pools")]
    Pools,
    /// Teams and their limits.
    #[display("teams")]
    Teams,
    /// Hashes of team keys.
    #[display("keys")]
    Keys,
    /// Sites and client blocks.
    #[display("steering")]
    Steering,
}

impl TableObject {
    /// All objects.
    pub const ALL: [Self; 5] = [Self::Routes, Self::Pools, Self::Teams, Self::Keys, Self::Steering];

    /// Returns the object's name in the store.
    #[must_use]
    pub fn object_name(self) -> object::ObjectName {
        object::ObjectName::new(object::ObjectKind::Tables, &self.to_string())
    }

    /// Returns the object of a name, if it is one.
    #[must_use]
    pub fn from_name(name: &object::ObjectName) -> Option<Self> {
        Self::ALL.into_iter().find(|object| object.object_name() == *name)
    }
}

/// One object as read, at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateObject {
    /// Version that was read.
    pub version: u64,
    /// Parsed document.
    pub document: CandidateDocument,
    /// Text that was read, for passing on to peers.
    pub text: bytes::Bytes,
}

/// The parsed document of one object.
#[derive(Debug, Clone, PartialEq)]
pub enum CandidateDocument {
    /// Routes.
    Routes(Arc<document::RoutesDocument>),
    /// Pools.
    Pools(Arc<document::PoolsDocument>),
    /// Teams.
    Teams(Arc<document::TeamsDocument>),
    /// Keys.
    Keys(Arc<document::KeysDocument>),
    /// Steering.
    Steering(Arc<document::SteeringDocument>),
}

impl CandidateObject {
    /// Parses the text of an object.
    ///
    /// # Errors
    ///
    /// Returns a syntax fault when the text is not the object's document.
    pub fn parse(
        object: TableObject,
        version: u64,
        text: bytes::Bytes,
    ) -> Result<Self, fault::FaultKind> {
        let document = match object {
            TableObject::Routes => CandidateDocument::Routes(parse(&text)?),
            TableObject::Pools => CandidateDocument::Pools(parse(&text)?),
            TableObject::Teams => CandidateDocument::Teams(parse(&text)?),
            TableObject::Keys => CandidateDocument::Keys(parse_keys(&text)?),
            TableObject::Steering => CandidateDocument::Steering(parse(&text)?),
        };
        Ok(Self { version, document, text })
    }
}

fn parse<T: serde::de::DeserializeOwned>(text: &[u8]) -> Result<Arc<T>, fault::FaultKind> {
    let parsed = serde_json::from_slice(text);
    parsed.map(Arc::new).map_err(|error| fault::FaultKind::Syntax(error.to_string().into()))
}

/// Parses keys without quoting the text, which may hold a key by mistake.
fn parse_keys(text: &[u8]) -> Result<Arc<document::KeysDocument>, fault::FaultKind> {
    serde_json::from_slice(text).map(Arc::new).map_err(|error| {
        let place = format!("line {}, column {}", error.line(), error.column());
        fault::FaultKind::Syntax(format!("not a keys object at {place}").into())
    })
}
