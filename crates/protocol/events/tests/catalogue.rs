//! docs/EVENTS.md lists exactly the events of the catalogue.

use std::fs;

use marjoramwing_events::catalogue;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../../docs/EVENTS.md");

#[test]
fn page_lists_every_event() {
    let page = fs::read_to_string(PAGE).unwrap();
    let rows: Vec<&str> = page.lines().filter(|line| is_row(line)).collect();
    let expected = catalogue::ALL.iter().map(|event| {
        format!("| {} | {} | {} | {} |", event.number, event.level, event.text, event.remedy)
    });
    assert_eq!(rows, expected.collect::<Vec<_>>());
}

#[test]
fn event_numbers_are_sorted() {
    assert!(catalogue::ALL.is_sorted_by_key(|event| event.number));
}

fn is_row(line: &str) -> bool {
    line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit()
}
