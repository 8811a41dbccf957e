//! Changes of the switches of a stand-in over its control path.

/// Replaces the given members of a document; the others keep their values.
///
/// # Errors
///
/// Returns an error if a member is unknown, which the error names, or has an
/// invalid value.
pub(crate) fn merge_members<T>(
    current: &T,
    change: serde_json::Map<String, serde_json::Value>,
) -> Result<T, serde_json::Error>
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    let mut merged = serde_json::to_value(current)?;
    if let serde_json::Value::Object(members) = &mut merged {
        members.extend(change);
    }
    serde_json::from_value(merged)
}
