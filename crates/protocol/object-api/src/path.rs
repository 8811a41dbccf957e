//! Request paths of the object API in the native dialect.

use marjoramwing_objects::object;
use marjoramwing_objects::operation;

/// Path of the list of instances and backend servers.
pub const INSTANCES: &str = "/v1/instances";

/// Returns the path of one object.
#[must_use]
pub fn object(name: &object::ObjectName) -> String {
    format!("/v1/objects/{}/{}", name.kind, name.name)
}

/// Returns the path and query of a watch, which is a long poll for changes.
#[must_use]
pub fn watch(request: &operation::WatchRequest) -> String {
    let wait_ms = request.wait.as_millis();
    format!("/v1/watch/{}?after={}&wait_ms={wait_ms}", request.kind, request.after.revision)
}
