//! The compact table agrees with a linear scan over the blocks.

use std::net;

use marjoramwing_blocks::builder;
use marjoramwing_blocks::verifier;
use marjoramwing_entity::key::EntityKey;
use marjoramwing_tables::site;
use marjoramwing_testing::cases;
use rand::RngExt;
use rand::SeedableRng;

const SITES: usize = 110;

fn block(prefix: &str, site_index: usize) -> site::ClientBlock {
    let prefix = site::AddressPrefix::try_from(&prefix.into()).unwrap();
    site::ClientBlock { prefix, site: site::SiteKey::from_index(site_index) }
}

fn check_site(blocks: &[(&str, usize)], address: &str, expected: Option<usize>) {
    let blocks: Vec<_> =
        blocks.iter().map(|(prefix, site_index)| block(prefix, *site_index)).collect();
    let mut builder = builder::TableBuilder::default();
    for block in &blocks {
        builder.add(&block.prefix, block.site);
    }
    let table = builder.build();
    assert_eq!(verifier::verify(&table, &blocks), Ok(()));
    let found = table.find(address.parse().unwrap());
    assert_eq!(found, expected.map(site::SiteKey::from_index));
}

cases! { check_site:
    empty_table => (&[], "10.0.0.1", None);
    inside => (&[("10.0.0.0/8", 1)], "10.255.0.1", Some(1));
    outside => (&[("10.0.0.0/8", 1)], "11.0.0.0", None);
    longest_prefix_wins => (&[("10.0.0.0/8", 1), ("10.1.0.0/16", 2)], "10.1.0.0", Some(2));
    outer_block_resumes => (&[("10.0.0.0/8", 1), ("10.1.0.0/16", 2)], "10.2.0.0", Some(1));
    three_levels => (
        &[("10.0.0.0/8", 1), ("10.1.0.0/16", 2), ("10.1.255.0/24", 3)], "10.2.0.0", Some(1)
    );
    whole_space => (&[("0.0.0.0/0", 1)], "255.255.255.255", Some(1));
    last_address => (&[("255.255.255.255/32", 1)], "255.255.255.255", Some(1));
    ipv4_block_does_not_match_ipv6_address => (&[("0.0.0.0/0", 1)], "2001:db8::1", None);
    ipv6_block => (&[("2001:db8::/32", 4), ("2001:db8:1::/48", 5)], "2001:db8:1::9", Some(5));
    ipv4_mapped_address_matches_ipv4_block => (&[("10.0.0.0/8", 1)], "::ffff:10.0.0.1", Some(1));
}

fn random_blocks(seed: u64, count: usize) -> Vec<site::ClientBlock> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let random_block = |_| {
        // Short prefixes are included, so that blocks nest.
        let length = rng.random_range(6..=32_u8);
        let bits: u32 = rng.random_range(0..16) << 28 | rng.random_range(0..1 << 28);
        let bits = bits & (u32::MAX << (32 - length));
        let address = net::IpAddr::V4(net::Ipv4Addr::from_bits(bits));
        let site = site::SiteKey::from_index(rng.random_range(0..SITES));
        site::ClientBlock { prefix: site::AddressPrefix { address, length }, site }
    };
    let mut blocks: Vec<_> = (0..count).map(random_block).collect();
    blocks.sort_by_key(|block| block.prefix);
    blocks.dedup_by_key(|block| block.prefix);
    blocks
}

#[test]
fn random_tables_agree_with_a_linear_scan() {
    let mut builder = builder::TableBuilder::default();
    for seed in 0..40 {
        let blocks = random_blocks(seed, 300);
        for block in &blocks {
            builder.add(&block.prefix, block.site);
        }
        let table = builder.build();
        assert_eq!(verifier::verify(&table, &blocks), Ok(()), "seed {seed}");
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        for _ in 0..300 {
            let address = net::IpAddr::V4(net::Ipv4Addr::from_bits(rng.random()));
            assert_eq!(table.find(address), verifier::scan(&blocks, address), "seed {seed}");
        }
    }
}

#[test]
fn verifier_rejects_a_table_of_other_blocks() {
    let mut builder = builder::TableBuilder::default();
    let built = block("10.0.0.0/8", 1);
    builder.add(&built.prefix, built.site);
    let table = builder.build();
    let other = block("10.0.0.0/8", 2);
    assert!(verifier::verify(&table, &[other]).is_err());
}

/// Number of blocks that the table is designed for.
const DESIGN_BLOCKS: usize = 1_300_000;
/// Half of the 32 MB of memory that an instance may use for its control plane.
const MAX_TABLE_BYTES: usize = 16_000_000;

/// A gap follows every block, since that layout needs the most ranges.
#[test]
fn table_of_the_design_size_fits_its_share_of_memory() {
    let mut builder = builder::TableBuilder::default();
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    for number in 0..DESIGN_BLOCKS {
        let bits = (u32::try_from(number).unwrap() * 3) << 8;
        let address = net::IpAddr::V4(net::Ipv4Addr::from_bits(bits));
        let prefix = site::AddressPrefix { address, length: 24 };
        builder.add(&prefix, site::SiteKey::from_index(rng.random_range(0..SITES)));
    }
    let bytes = builder.build().memory_bytes();
    assert!(bytes <= MAX_TABLE_BYTES, "{bytes} bytes");
}
