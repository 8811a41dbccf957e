//! Which dialect of the object API the store speaks.

use marjoramwing_derives as derives;
use marjoramwing_object_api::call;
use marjoramwing_object_api::native;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_platform::store as platform;

/// The dialects that the client speaks.
#[derives::value]
#[derive(Default)]
pub enum StoreDialect {
    /// The product's own.
    #[default]
    Native,
    /// That of the users' platform.
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
        answer: &call::CallResponse,
    ) -> Result<operation::StoreAnswer, call::CallFault> {
        match self {
            Self::Native => native::decode(operation, answer),
            Self::Platform => platform::decode(operation, answer),
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
        answer: &call::CallResponse,
    ) -> Result<operation::WatchAnswer, call::CallFault> {
        match self {
            Self::Native => native::decode_watch(kind, answer),
            Self::Platform => platform::decode_watch(kind, answer),
        }
    }

    /// Tells whether a watch begins with a list of all objects.
    pub(crate) const fn lists_first(self) -> bool {
        matches!(self, Self::Platform)
    }
}
