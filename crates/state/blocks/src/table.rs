//! The table that maps client addresses to home sites.

use std::net;

use marjoramwing_entity::key::EntityKey;
use marjoramwing_tables::site;

use crate::ipv4;
use crate::ipv6;
use crate::range;

/// Maps client addresses of both families to home sites.
#[derive(Debug, Clone)]
pub struct BlockTable {
    pub(crate) ipv4_ranges: ipv4::Ipv4Ranges,
    pub(crate) ipv6_ranges: ipv6::Ipv6Ranges,
}

impl BlockTable {
    /// Returns the home site of an address, which is that of its longest matching prefix.
    ///
    /// IPv4-mapped IPv6 addresses are looked up as IPv4 addresses.
    #[must_use]
    pub fn find(&self, address: net::IpAddr) -> Option<site::SiteKey> {
        let index = match address.to_canonical() {
            net::IpAddr::V4(address) => self.ipv4_ranges.find(address.to_bits()),
            net::IpAddr::V6(address) => self.ipv6_ranges.find(upper_bits(address)),
        };
        (index != range::SiteIndex::NONE).then(|| site::SiteKey::from_index(index.as_u16().into()))
    }

    /// Returns the heap memory of the table in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.ipv4_ranges.memory_bytes() + self.ipv6_ranges.memory_bytes()
    }
}

/// Returns the upper 64 bits of an address.
pub(crate) fn upper_bits(address: net::Ipv6Addr) -> u64 {
    (address.to_bits() >> u64::BITS) as u64
}
