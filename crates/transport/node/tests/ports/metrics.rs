//! docs/OPERATORS.md lists exactly the metrics and dump sections that the code defines.

use std::fs;

use marjoramwing_node::dump;
use marjoramwing_node::metrics;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../../docs/OPERATORS.md");

#[test]
fn page_lists_every_metric() {
    let page = fs::read_to_string(PAGE).unwrap();
    let rows: Vec<&str> =
        page.lines().filter(|line| line.starts_with("| `marjoramwing_")).collect();
    let expected = metrics::InstanceMetrics::new().catalogue().into_iter().map(|spec| {
        let labels = spec.labels.join(", ");
        format!("| `{}` | {} | {labels} | {} |", spec.name, spec.kind, spec.help)
    });
    assert_eq!(rows, expected.collect::<Vec<_>>());
}

#[test]
fn page_names_every_section_of_the_dump() {
    let page = fs::read_to_string(PAGE).unwrap();
    let sections: Vec<_> =
        dump::DumpSection::ALL.iter().map(|section| format!("`{section}`")).collect();
    let line = format!("The sections are {}.", sections.join(", "));
    assert!(page.contains(&line), "{line}");
}
