//! Table objects that have been read and parsed, but not yet checked against each other.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_objects::object;
use marjoramwing_tables::document;
use marjoramwing_tables::fault;

/// One of the objects that the configuration tables are divided into, each with its own version.
///
/// If a single store object holds several of them, they all have its version; see
/// [`SelectorRules::single_object`](crate::selector::SelectorRules::single_object).
#[derives::value]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TableObject {
    /// Routes of requests to pools.
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
    /// All table objects.
    pub const ALL: [Self; 5] = [Self::Routes, Self::Pools, Self::Teams, Self::Keys, Self::Steering];

    /// Returns the object's name in the store.
    #[must_use]
    pub fn object_name(self) -> object::ObjectName {
        object::ObjectName::new(object::ObjectKind::Tables, &self.to_string())
    }

    /// Returns the table object that is stored under `name`, if any.
    #[must_use]
    pub fn from_name(name: &object::ObjectName) -> Option<Self> {
        Self::ALL.into_iter().find(|object| object.object_name() == *name)
    }
}

/// A parsed table object at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateObject {
    /// Version of the object in the store.
    pub version: u128,
    /// Parsed document.
    pub document: CandidateDocument,
    /// Original text, sent unchanged to peers that fetch the object.
    pub text: bytes::Bytes,
}

/// Parsed document of a table object.
#[derive(Debug, Clone, PartialEq)]
pub enum CandidateDocument {
    /// Document of the routes object.
    Routes(Arc<document::RoutesDocument>),
    /// Document of the pools object.
    Pools(Arc<document::PoolsDocument>),
    /// Document of the teams object.
    Teams(Arc<document::TeamsDocument>),
    /// Document of the keys object.
    Keys(Arc<document::KeysDocument>),
    /// Document of the steering object.
    Steering(Arc<document::SteeringDocument>),
}

impl CandidateObject {
    /// Parses the text of an object.
    ///
    /// # Errors
    ///
    /// Returns a syntax fault if the text is not a valid document of the object.
    pub fn parse(
        object: TableObject,
        version: u128,
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

/// Parses keys. The fault gives only the position, since the text may contain a plaintext key
/// by mistake.
fn parse_keys(text: &[u8]) -> Result<Arc<document::KeysDocument>, fault::FaultKind> {
    serde_json::from_slice(text).map(Arc::new).map_err(|error| {
        let place = format!("line {}, column {}", error.line(), error.column());
        fault::FaultKind::Syntax(format!("not a keys object at {place}").into())
    })
}
