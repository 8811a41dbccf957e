//! Dialects of the object API.

use marjoramwing_derives as derives;
use marjoramwing_object_api::call;
use marjoramwing_object_api::native;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_platform::store as platform;

/// Dialects that the client supports.
#[derives::value]
#[derive(Default)]
pub enum StoreDialect {
    /// The dialect that this project defines.
    #[default]
    Native,
    /// The dialect of the users' platform.
    Platform,
}

impl StoreDialect {
    pub(crate) fn encode(self, operation: &operation::StoreOperation) -> call::StoreCall {
        match self {
            Self::Native => native::encode(operation),
            Self::Platform => platform::encode(operation),
        }
    }

    pub(crate) fn decode(
        self,
        operation: &operation::StoreOperation,
        response: &call::CallResponse,
    ) -> Result<operation::StoreAnswer, call::CallFault> {
        match self {
            Self::Native => native::decode(operation, response),
            Self::Platform => platform::decode(operation, response),
        }
    }

    pub(crate) fn encode_watch(self, request: &operation::WatchRequest) -> call::StoreCall {
        match self {
            Self::Native => native::encode_watch(request),
            Self::Platform => platform::encode_watch(request),
        }
    }

    pub(crate) fn decode_watch(
        self,
        kind: object::ObjectKind,
        response: &call::CallResponse,
    ) -> Result<operation::WatchAnswer, call::CallFault> {
        match self {
            Self::Native => native::decode_watch(kind, response),
            Self::Platform => platform::decode_watch(kind, response),
        }
    }

    /// Returns the era of the store that a response states; 0 if it states none.
    pub(crate) fn era_of(self, response: &call::CallResponse) -> position::StoreEra {
        match self {
            Self::Native => position::StoreEra::default(),
            Self::Platform => platform::era_of(response),
        }
    }

    /// Returns true if the objects must be listed before the first watch.
    pub(crate) const fn lists_first(self) -> bool {
        matches!(self, Self::Platform)
    }
}
