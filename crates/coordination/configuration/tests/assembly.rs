//! Texts that are assembled from parts are those that one peer sent.

use std::net;

use marjoramwing_configuration::assembly::AssemblyStep as Step;
use marjoramwing_configuration::assembly::ReceivedPart;
use marjoramwing_configuration::assembly::TextAssembly;
use marjoramwing_configuration::candidate::TableObject as Object;
use marjoramwing_testing::cases;

/// Returns a part of a text of six bytes that a peer sent.
fn part(peer: u16, version: u128, offset: u64, text: &'static str) -> ReceivedPart {
    let address = net::SocketAddr::from(([127, 0, 0, 1], peer));
    ReceivedPart { address, version, offset, total: 6, text: text.into() }
}

/// Guards against a text of parts that do not belong together.
fn check_parts(parts: &[ReceivedPart], expected: &[Step]) {
    let mut assembly = TextAssembly::default();
    let steps: Vec<_> = parts.iter().map(|part| assembly.add(Object::Keys, part)).collect();
    assert_eq!(steps, expected);
}

cases! { check_parts:
    parts_in_order => (
        &[part(1, 7, 0, "abc"), part(1, 7, 3, "de"), part(1, 7, 5, "f")],
        &[Step::Continue(3), Step::Continue(5), Step::Complete("abcdef".into())],
    );
    one_part => (&[part(1, 7, 0, "abcdef")], &[Step::Complete("abcdef".into())]);
    part_without_the_first => (&[part(1, 7, 3, "def")], &[Step::Ignored]);
    part_that_was_sent_twice => (
        &[part(1, 7, 0, "abc"), part(1, 7, 3, "d"), part(1, 7, 3, "d"), part(1, 7, 4, "ef")],
        &[Step::Continue(3), Step::Continue(4), Step::Ignored, Step::Complete("abcdef".into())],
    );
    part_of_another_peer => (
        &[part(1, 7, 0, "abc"), part(2, 7, 3, "xyz"), part(1, 7, 3, "def")],
        &[Step::Continue(3), Step::Ignored, Step::Complete("abcdef".into())],
    );
    part_of_another_version => (
        &[part(1, 7, 0, "abc"), part(1, 8, 3, "xyz")], &[Step::Continue(3), Step::Ignored],
    );
    first_part_of_another_peer_starts_again => (
        &[part(1, 7, 0, "abc"), part(2, 7, 0, "xyz"), part(2, 7, 3, "uvw"), part(1, 7, 3, "def")],
        &[Step::Continue(3), Step::Continue(3), Step::Complete("xyzuvw".into()), Step::Ignored],
    );
    part_beyond_the_end => (
        &[part(1, 7, 0, "abc"), part(1, 7, 3, "defg")], &[Step::Continue(3), Step::Ignored],
    );
    empty_part => (&[part(1, 7, 0, "")], &[Step::Ignored]);
}

/// Guards against a peer that makes an instance reserve memory for a text without end.
#[test]
fn text_of_any_length_is_not_assembled() {
    let mut endless = part(1, 7, 0, "abc");
    endless.total = u64::MAX;
    assert_eq!(TextAssembly::default().add(Object::Keys, &endless), Step::Ignored);
}

/// Texts of different objects are assembled side by side.
#[test]
fn objects_are_assembled_separately() {
    let mut assembly = TextAssembly::default();
    assert_eq!(assembly.add(Object::Keys, &part(1, 7, 0, "abc")), Step::Continue(3));
    assert_eq!(assembly.add(Object::Teams, &part(1, 7, 0, "uvw")), Step::Continue(3));
    let complete = assembly.add(Object::Keys, &part(1, 7, 3, "def"));
    assert_eq!(complete, Step::Complete("abcdef".into()));
}
