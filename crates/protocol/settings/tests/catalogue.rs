//! docs/SETTINGS.md, the catalogue, the settings document and the checks are consistent.

use std::fs;

use marjoramwing_settings::catalogue;
use marjoramwing_settings::document;
use marjoramwing_settings::fault;
use marjoramwing_settings::settings;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../../docs/SETTINGS.md");

/// Document with only the required settings.
const MINIMAL: &str = r#"
[instance]
name = "a"
site = "a"
region = "a"
failure_domain = "a"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
[secrets]
"#;

fn parse_minimal() -> document::SettingsDocument {
    toml::from_str(MINIMAL).unwrap()
}

/// Returns the settings of a document as pairs of path and value.
fn flatten(document: &document::SettingsDocument) -> Vec<(String, String)> {
    let text = toml::Value::try_from(document).unwrap();
    let mut settings = Vec::new();
    for (table, value) in text.as_table().unwrap() {
        for (key, value) in value.as_table().unwrap() {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            settings.push((format!("{table}.{key}"), value));
        }
    }
    settings
}

#[test]
fn page_lists_every_setting() {
    let page = fs::read_to_string(PAGE).unwrap();
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let expected = catalogue::ALL.iter().map(|spec| {
        let range = spec.range.map_or(String::new(), |(low, high)| format!("{low} to {high}"));
        format!(
            "| `{}` | {} | {} | {range} | {} |",
            spec.path, spec.unit, spec.default, spec.description
        )
    });
    assert_eq!(rows, expected.collect::<Vec<_>>());
}

#[test]
fn catalogue_has_every_member_of_the_document() {
    let mut full = parse_minimal();
    full.secrets = document::SecretsDocument {
        peer_file: Some("a".into()),
        peer_env: Some("a".into()),
        admin_file: Some("a".into()),
        admin_env: Some("a".into()),
    };
    full.listen.directory = Some("127.0.0.1:5".into());
    full.listen.readiness = Some("127.0.0.1:6".into());
    full.stop.grace_s = Some(6.0);
    full.bounds.max_shift = Some(0.15);
    full.process.threads = Some(1);
    let mut expected: Vec<_> = flatten(&full).into_iter().map(|(path, _)| path).collect();
    let mut paths: Vec<_> = catalogue::ALL.iter().map(|spec| spec.path.to_owned()).collect();
    expected.sort();
    paths.sort();
    assert_eq!(paths, expected);
}

#[test]
fn defaults_are_those_of_the_document() {
    for (path, value) in flatten(&parse_minimal()) {
        let spec = catalogue::ALL.iter().find(|spec| spec.path == path).unwrap();
        assert!(spec.default == value || spec.default == "required", "{path}: {value}");
    }
}

#[test]
fn ranges_are_those_of_the_checks() {
    for spec in catalogue::ALL {
        let Some((low, high)) = spec.range else { continue };
        for (value, is_in_range) in [(low, true), (high, true), (low - 1, false), (high + 1, false)]
        {
            let (table, key) = spec.path.split_once('.').unwrap();
            let text = match table {
                "store" => MINIMAL.replace("[store]", &format!("[store]\n{key} = {value}")),
                _ => format!("{MINIMAL}\n[{table}]\n{key} = {value}"),
            };
            let faults = settings::InstanceSettings::try_from(text.as_str()).unwrap_err();
            let has_range_fault = faults.faults.iter().any(|fault| {
                *fault.path == *spec.path && matches!(fault.kind, fault::FaultKind::Range { .. })
            });
            assert_eq!(has_range_fault, !is_in_range, "{} = {value}", spec.path);
        }
    }
}
