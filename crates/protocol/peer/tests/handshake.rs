//! The handshake rejects peers that do not hold the deployment's secret.

use marjoramwing_peer::handshake;
use marjoramwing_peer::message;

const SECRET: &[u8] = b"a-shared-secret!";

fn hello(name: &str, nonce: u8) -> message::Hello {
    message::Hello {
        version: message::PROTOCOL_VERSION,
        incarnation: 7,
        nonce: vec![nonce; handshake::NONCE_BYTES].into(),
        name: name.to_owned(),
        peer_address: "10.0.0.1:7200".to_owned(),
        purpose: message::LinkPurpose::Messages.into(),
    }
}

fn pair() -> handshake::HelloPair {
    handshake::HelloPair::new(handshake::LinkRole::Opener, hello("a", 1), hello("b", 2))
}

#[test]
fn proof_of_the_secret_is_accepted() {
    let proof = pair().prove(SECRET, handshake::LinkRole::Acceptor);
    assert_eq!(pair().verify(SECRET, handshake::LinkRole::Acceptor, &proof), Ok(()));
}

#[test]
fn proof_of_another_secret_is_refused() {
    let proof = pair().prove(b"another-secret!!", handshake::LinkRole::Acceptor);
    let verified = pair().verify(SECRET, handshake::LinkRole::Acceptor, &proof);
    assert_eq!(verified, Err(handshake::HandshakeError::Proof));
}

#[test]
fn reflected_proof_is_refused() {
    let own_proof = pair().prove(SECRET, handshake::LinkRole::Opener);
    let verified = pair().verify(SECRET, handshake::LinkRole::Acceptor, &own_proof);
    assert_eq!(verified, Err(handshake::HandshakeError::Proof));
}

#[test]
fn replayed_proof_is_refused() {
    let proof = pair().prove(SECRET, handshake::LinkRole::Acceptor);
    let later =
        handshake::HelloPair::new(handshake::LinkRole::Opener, hello("a", 3), hello("b", 2));
    let verified = later.verify(SECRET, handshake::LinkRole::Acceptor, &proof);
    assert_eq!(verified, Err(handshake::HandshakeError::Proof));
}

#[test]
fn other_version_is_refused() {
    let newer = message::Hello { version: message::PROTOCOL_VERSION + 1, ..hello("a", 1) };
    let error = handshake::check_hello(&newer).unwrap_err();
    assert!(error.to_string().contains("upgrade the older one"));
}
