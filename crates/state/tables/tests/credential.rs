//! Opaque keys of the users' store are valid in any form that a request can carry.

use marjoramwing_tables::credential;
use marjoramwing_tables::document;
use marjoramwing_tables::snapshot;
use marjoramwing_testing::cases;

/// Guards against a key that is granted and never accepted, since it is longer than ours or has
/// other characters.
fn check_key(key: &str, is_valid: bool) {
    let hash = credential::KeyHash::of(key);
    let mut documents = snapshot::TableDocuments::default();
    let row = r#"{"name": "one", "rate": 5.0, "burst": 2}"#;
    documents.teams.teams.push(serde_json::from_str(row).unwrap());
    documents.keys.opaque = true;
    documents.keys.keys.push(document::KeyDocument {
        id: hash.opaque_id().into(),
        team: "one".into(),
        sha256: hash.to_string().into(),
    });
    let (tables, _) = snapshot::TableSnapshot::confine(&documents);
    let key = credential::PresentedKey::parse(key, tables.key_format);
    assert_eq!(key.and_then(|key| tables.authenticate(&key)).is_some(), is_valid);
}

cases! { check_key:
    usual_key => ("tnfzs989anu6wsjnbanf", true);
    key_of_one_character => ("x", true);
    key_with_dots_and_spaces => ("a key. of words", true);
    key_of_another_script => ("clé-ключ", true);
    key_of_257_bytes => (&"k".repeat(257), true);
    key_of_8_kilobytes => (&"k".repeat(8_192), true);
    key_without_text => ("", false);
}
