//! Object versions as HTTP entity tags.

use marjoramwing_objects::object;

/// Formats a version as a strong entity tag.
#[must_use]
pub fn to_entity_tag(version: object::ObjectVersion) -> String {
    format!("\"{version}\"")
}

/// Parses a version from a strong entity tag; returns `None` for any other tag.
#[must_use]
pub fn from_entity_tag(tag: &str) -> Option<object::ObjectVersion> {
    let digits = tag.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(object::ObjectVersion)
}
