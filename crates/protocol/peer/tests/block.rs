//! Tests of the blocks in which a relaying instance forwards what a backend server sends.

use marjoramwing_peer::block;
use marjoramwing_testing::cases;

/// Reads a stream of blocks in parts of this size, and returns the payload and the last position.
fn read_in_parts(bytes: &[u8], part: usize) -> (Vec<u8>, block::BlockPosition) {
    let mut position = block::BlockPosition::START;
    let mut payload = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() && position != block::BlockPosition::End {
        let wanted = match position {
            block::BlockPosition::Payload(left) => left,
            _ => position.missing_header(),
        };
        let (read, after) = rest.split_at(part.min(wanted).min(rest.len()));
        rest = after;
        if position.missing_header() > 0 {
            position = read.iter().fold(position, |position, byte| position.after_header(*byte));
        } else {
            payload.extend_from_slice(read);
            position = position.after_payload(read.len());
        }
    }
    assert!(rest.is_empty(), "{} bytes behind the end mark", rest.len());
    (payload, position)
}

/// Guards against an end that is seen before or behind the end mark, wherever reads begin and end.
fn check_stream(lengths: &[usize]) {
    let mut bytes = Vec::new();
    let mut sent = Vec::new();
    for (number, length) in lengths.iter().enumerate() {
        let payload = vec![number as u8; *length];
        bytes.extend_from_slice(&block::encode_header(*length));
        bytes.extend_from_slice(&payload);
        sent.extend_from_slice(&payload);
    }
    bytes.extend_from_slice(&block::END_MARK);
    for part in [1, 2, 3, 7, 255, 256, 65_535, bytes.len()] {
        assert_eq!(read_in_parts(&bytes, part), (sent.clone(), block::BlockPosition::End));
        for cut in (0..bytes.len()).rev().step_by(bytes.len() / 64 + 1) {
            let (received, position) = read_in_parts(&bytes[..cut], part);
            assert_ne!(position, block::BlockPosition::End, "cut after {cut} bytes");
            assert!(sent.starts_with(&received));
        }
    }
}

cases! { check_stream:
    stream_without_blocks => (&[]);
    small_blocks => (&[1, 2, 1, 255, 256, 257]);
    largest_block => (&[block::MAX_BLOCK_BYTES, 1]);
}

#[test]
#[should_panic(expected = "end mark")]
fn empty_block_is_not_encoded_as_payload() {
    let _ = block::encode_header(0);
}
