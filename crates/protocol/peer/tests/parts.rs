//! Texts of objects fit into frames, whole or in parts.

use marjoramwing_configuration::candidate::TableObject;
use marjoramwing_configuration::gossip;
use marjoramwing_configuration::message::ConfigurationMessage;
use marjoramwing_peer::configuration;
use marjoramwing_peer::frame;
use marjoramwing_peer::message;
use marjoramwing_testing::cases;
use prost::Message;

const WIDE_VERSION: u128 = u128::MAX / 3;

fn text(bytes: usize) -> bytes::Bytes {
    vec![b'x'; bytes].into()
}

/// Guards against a message that is larger than a frame, which closes the link that is to carry it.
fn check_frame(message: &ConfigurationMessage) {
    let raw = configuration::Configuration::from(message.clone());
    let body = Some(message::Body::Configuration(raw.clone()));
    assert!(message::Envelope { body }.encoded_len() <= frame::MAX_FRAME_BYTES);
    let decoded = configuration::Configuration::decode(&*raw.encode_to_vec()).unwrap();
    assert_eq!(ConfigurationMessage::try_from(decoded).unwrap(), *message);
}

cases! { check_frame:
    largest_whole_text => (&ConfigurationMessage::Object {
        object: TableObject::Keys, version: WIDE_VERSION, text: text(gossip::MAX_TEXT_BYTES),
    });
    largest_part => (&ConfigurationMessage::ObjectPart {
        object: TableObject::Keys, version: WIDE_VERSION, offset: u64::MAX, total: u64::MAX,
        text: text(gossip::PART_BYTES),
    });
    request_of_a_part => (&ConfigurationMessage::FetchPart {
        object: TableObject::Routes, version: 7, offset: 1 << 20,
    });
}
