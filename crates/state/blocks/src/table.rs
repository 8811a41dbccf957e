//! The whole table from client addresses to home sites.

use std::net;

use marjoramwing_entity::key::EntityKey;
use marjoramwing_tables::site;

use crate::narrow;
use crate::range;
use crate::wide;

/// Finds the home site of a client address.
#[derive(Debug, Clone)]
pub struct BlockTable {
    pub(crate) narrow: narrow::NarrowRanges,
    pub(crate) wide: wide::WideRanges,
}

impl BlockTable {
    /// Returns the home site of an address: that of its longest prefix.
    #[must_use]
    pub fn find(&self, address: net::IpAddr) -> Option<site::SiteKey> {
        let index = match address.to_canonical() {
            net::IpAddr::V4(address) => self.narrow.find(address.to_bits()),
            net::IpAddr::V6(address) => self.wide.find(upper_bits(address)),
        };
        (index != range::SiteIndex::NONE).then(|| site::SiteKey::from_index(index.as_u16().into()))
    }

    /// Returns the bytes of memory that the table takes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.narrow.memory_bytes() + self.wide.memory_bytes()
    }
}

/// Returns the upper 64 bits of an address.
pub(crate) fn upper_bits(address: net::Ipv6Addr) -> u64 {
    (address.to_bits() >> u64::BITS) as u64
}
