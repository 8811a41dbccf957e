//! Changes of a stand-in's switches over its control path.

/// Puts the given members in place of the current ones; the others stay.
///
/// # Errors
///
/// Returns an error that names the member when it is unknown or has a wrong value.
pub(crate) fn merge_members<T>(
    current: &T,
    change: serde_json::Map<String, serde_json::Value>,
) -> Result<T, serde_json::Error>
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    let mut whole = serde_json::to_value(current)?;
    if let serde_json::Value::Object(members) = &mut whole {
        members.extend(change);
    }
    serde_json::from_value(whole)
}
