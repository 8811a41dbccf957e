//! Versions of tables in messages, between builds that know 64 and 128 bits.

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::message;
use marjoramwing_peer::configuration;
use marjoramwing_tables::snapshot;
use marjoramwing_tables::version;
use marjoramwing_testing::cases;
use prost::Message;

/// Returns the version of a number in an era.
const fn at(number: u128, era: u128) -> u128 {
    number * version::VERSIONS_PER_NUMBER + era
}

const SMALL: u128 = at(12, 3);
const LARGEST_NARROW: u128 = at(9_223_372_035, 999_999_999);
const BY_DATE: u128 = at(202_612_051_730, 2);
const BY_NANOSECOND: u128 = at(1_765_000_000_000_000_000, 1);
const LARGEST: u128 = at(version::MAX_NUMBER, 999_999_999);

/// `Versions` of builds that know 64 bits.
#[derive(Clone, Copy, PartialEq, prost::Message)]
struct NarrowVersions {
    #[prost(uint64, tag = "1")]
    routes: u64,
    #[prost(uint64, tag = "2")]
    pools: u64,
    #[prost(uint64, tag = "3")]
    teams: u64,
    #[prost(uint64, tag = "4")]
    keys: u64,
    #[prost(uint64, tag = "5")]
    steering: u64,
}

const fn all(version: u128) -> snapshot::TableVersions {
    snapshot::TableVersions {
        routes: version,
        pools: version,
        teams: version,
        keys: version,
        steering: 0,
    }
}

fn exchange(sent: message::ConfigurationMessage) -> message::ConfigurationMessage {
    let bytes = configuration::Configuration::from(sent).encode_to_vec();
    let received = configuration::Configuration::decode(&*bytes).unwrap();
    message::ConfigurationMessage::try_from(received).unwrap()
}

/// Guards against a version that arrives as another one.
fn check_exchange(version: u128) {
    let object = candidate::TableObject::Keys;
    let text = bytes::Bytes::from_static(b"{}");
    let messages = [
        message::ConfigurationMessage::Notice { versions: all(version) },
        message::ConfigurationMessage::Fetch { object, above: version },
        message::ConfigurationMessage::Object { object, version, text },
    ];
    for sent in messages {
        assert_eq!(exchange(sent.clone()), sent);
    }
}

cases! { check_exchange:
    no_version_is_kept => (0);
    small_version_is_kept => (SMALL);
    largest_narrow_version_is_kept => (LARGEST_NARROW);
    version_by_date_is_kept => (BY_DATE);
    version_by_nanosecond_is_kept => (BY_NANOSECOND);
    largest_version_is_kept => (LARGEST);
}

/// Guards against an instance of an earlier build that takes an older configuration for a newer one, or
/// that never learns of one with a large number.
#[test]
fn earlier_builds_read_versions_in_their_order() {
    let ascending =
        [1, SMALL, LARGEST_NARROW, at(9_223_372_036, 0), BY_DATE, at(202_612_051_731, 1)];
    let read = ascending.map(|version| {
        let bytes = configuration::Versions::from(all(version)).encode_to_vec();
        NarrowVersions::decode(&*bytes).unwrap().routes
    });
    assert!(read.is_sorted_by(|left, right| left < right), "{read:?}");
    assert_eq!(read[..3], [1, SMALL as u64, LARGEST_NARROW as u64]);
}

/// Guards against a version of an earlier build that is taken for one that its sender does not have.
fn check_received(version: u128, expected: u128) {
    let routes = version::narrow(version);
    let sent = NarrowVersions { routes, pools: routes, teams: routes, keys: routes, steering: 0 };
    let received = configuration::Versions::decode(&*sent.encode_to_vec()).unwrap();
    assert_eq!(snapshot::TableVersions::from(received), all(expected));
}

cases! { check_received:
    small_version_of_an_earlier_build_is_exact => (SMALL, SMALL);
    largest_narrow_version_of_an_earlier_build_is_exact => (LARGEST_NARROW, LARGEST_NARROW);
    wide_version_of_an_earlier_build_is_of_the_first_era => (BY_DATE, at(202_612_051_730, 0));
}

#[test]
fn versions_without_a_form_of_their_own_share_the_greatest() {
    assert_eq!(version::narrow(LARGEST), u64::MAX);
    assert!(version::widen(u64::MAX) < LARGEST);
}
