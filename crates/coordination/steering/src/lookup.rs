//! The answer to one look-up.

use std::cmp;
use std::hash;
use std::net;

use marjoramwing_derives as derives;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_tables::site;
use marjoramwing_tables::snapshot;

/// What a caller tells of itself.
#[derive(Debug, Clone, Copy)]
pub struct LookupQuery<'a> {
    /// Address of the caller.
    pub client: net::IpAddr,
    /// Name that gathers one team's callers on few instances.
    pub affinity: &'a str,
}

/// How near a member is to a caller; smaller is nearer.
#[derives::value]
enum SiteDistance {
    SameSite,
    SameRegion,
    OtherRegion,
}

/// Orders the live members for a caller, the preferred first.
#[must_use]
pub fn order_members<'a>(
    tables: &snapshot::TableSnapshot,
    view: &'a view::MemberView,
    query: &LookupQuery<'_>,
) -> Vec<&'a member::Member> {
    let home = find_home(tables, query.client);
    let mut members: Vec<_> = view.live().collect();
    members.sort_by_cached_key(|member| {
        let distance = distance_from(home.map(|key| &tables.sites[key]), member);
        let weight = rendezvous_weight(query.affinity, &member.name);
        (distance, cmp::Reverse(weight))
    });
    members
}

fn find_home(tables: &snapshot::TableSnapshot, client: net::IpAddr) -> Option<site::SiteKey> {
    let blocks = tables.blocks.iter().filter(|block| contains(&block.prefix, client));
    blocks.max_by_key(|block| block.prefix.length).map(|block| block.site)
}

fn contains(prefix: &site::AddressPrefix, client: net::IpAddr) -> bool {
    let length = u32::from(prefix.length);
    match (prefix.address, client) {
        (net::IpAddr::V4(block), net::IpAddr::V4(client)) => {
            let differing = block.to_bits() ^ client.to_bits();
            differing.leading_zeros() >= length
        }
        (net::IpAddr::V6(block), net::IpAddr::V6(client)) => {
            let differing = block.to_bits() ^ client.to_bits();
            differing.leading_zeros() >= length
        }
        _ => false,
    }
}

fn distance_from(home: Option<&site::Site>, member: &member::Member) -> SiteDistance {
    let Some(home) = home else {
        return SiteDistance::OtherRegion;
    };
    if home.name.as_str() == &*member.site && !home.draining {
        SiteDistance::SameSite
    } else if home.region.as_str() == &*member.region {
        SiteDistance::SameRegion
    } else {
        SiteDistance::OtherRegion
    }
}

fn rendezvous_weight(affinity: &str, member: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hash::Hasher::write(&mut hasher, affinity.as_bytes());
    hash::Hasher::write(&mut hasher, b"\0");
    hash::Hasher::write(&mut hasher, member.as_bytes());
    hash::Hasher::finish(&hasher)
}
