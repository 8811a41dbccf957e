//! Which requests have the same fingerprint.

use marjoramwing_dispatch::fingerprint;
use marjoramwing_testing::cases;

fn content() -> fingerprint::RequestContent<'static> {
    fingerprint::RequestContent {
        method: "GET",
        host: "host.example",
        target: "/sheets/5?lang=en",
        team: "lab",
        body: fingerprint::ContentBody::Whole(b"body"),
    }
}

fn key() -> fingerprint::FingerprintKey {
    fingerprint::FingerprintKey::new(b"the secret of the instances")
}

fn check_differs(change: impl FnOnce(&mut fingerprint::RequestContent<'static>)) {
    let mut changed = content();
    change(&mut changed);
    assert_ne!(key().fingerprint(&content()), key().fingerprint(&changed));
}

/// Guards against a caller that holds the requests of another one by sending the same content.
#[test]
fn teams_have_different_fingerprints() {
    check_differs(|content| content.team = "school");
}

cases! { check_differs:
    methods_differ => (|content: &mut fingerprint::RequestContent<'static>| content.method = "PUT");
    hosts_differ => (|content: &mut fingerprint::RequestContent<'static>| content.host = "other");
    queries_differ =>
        (|content: &mut fingerprint::RequestContent<'static>| content.target = "/sheets/5?lang=fr");
    bodies_differ => (|content: &mut fingerprint::RequestContent<'static>| {
        content.body = fingerprint::ContentBody::Whole(b"another");
    });
    lengths_of_streams_differ => (|content: &mut fingerprint::RequestContent<'static>| {
        content.body = fingerprint::ContentBody::Streamed(4);
    });
    parts_are_kept_apart => (|content: &mut fingerprint::RequestContent<'static>| {
        (content.host, content.target) = ("host.example/sheets", "/5?lang=en");
    });
}

#[test]
fn instances_with_one_secret_agree() {
    assert_eq!(key().fingerprint(&content()), key().fingerprint(&content()));
    let other = fingerprint::FingerprintKey::new(b"another secret");
    assert_ne!(key().fingerprint(&content()), other.fingerprint(&content()));
}

#[test]
fn text_is_read_back() {
    let known = key().fingerprint(&content());
    assert_eq!(known.to_string().parse(), Ok(known));
}

fn check_refused(text: &str) {
    let read: Result<fingerprint::ContentFingerprint, _> = text.parse();
    assert_eq!(read, Err(fingerprint::FingerprintFault));
}

cases! { check_refused:
    empty_text_is_refused => ("");
    short_text_is_refused => ("0123456789abcdef");
    sign_is_refused => ("+123456789abcdef0123456789abcdef");
    other_letters_are_refused => ("0123456789abcdef0123456789abcdeg");
}
