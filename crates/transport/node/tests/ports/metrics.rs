//! docs/OPERATORS.md lists exactly the metrics of the code.

use std::fs;

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
