//! Builds a table from prefixes.
//!
//! The builder keeps its buffers between builds, so that a rebuild allocates
//! little besides the new table.

use std::net;

use marjoramwing_entity::key::EntityKey;
use marjoramwing_tables::site;

use crate::ipv4;
use crate::ipv6;
use crate::range;
use crate::table;

const IPV4_BITS: u32 = 32;
/// Only the upper 64 bits of an IPv6 address are compared; no block has a longer prefix.
const IPV6_BITS: u32 = 64;

/// Collects prefixes and builds tables from them.
#[derive(Debug, Default)]
pub struct TableBuilder {
    ipv4_spans: Vec<range::PrefixSpan>,
    ipv6_spans: Vec<range::PrefixSpan>,
    ranges: Vec<range::RangeStart>,
}

impl TableBuilder {
    /// Adds a block; of equal prefixes, the last added wins.
    ///
    /// The site's index must be at most 65,534: 65,535 means no site and is not rejected.
    ///
    /// # Panics
    ///
    /// Panics if the site's index is above 65,535.
    pub fn add(&mut self, prefix: &site::AddressPrefix, home_site: site::SiteKey) {
        let index = u16::try_from(home_site.index()).expect("the site index fits in 16 bits");
        let site = range::SiteIndex::from_u16(index);
        let length = u32::from(prefix.length);
        match prefix.address {
            net::IpAddr::V4(address) => {
                let first = u64::from(address.to_bits());
                self.ipv4_spans.push(range::PrefixSpan::new(first, length, IPV4_BITS, site));
            }
            net::IpAddr::V6(address) => {
                let first = table::upper_bits(address);
                self.ipv6_spans.push(range::PrefixSpan::new(first, length, IPV6_BITS, site));
            }
        }
    }

    /// Builds the table of all added blocks and clears the builder for the next table.
    pub fn build(&mut self) -> table::BlockTable {
        range::flatten(&mut self.ipv4_spans, &mut self.ranges);
        let ipv4_ranges = ipv4::Ipv4Ranges::pack(&self.ranges);
        range::flatten(&mut self.ipv6_spans, &mut self.ranges);
        let ipv6_ranges = ipv6::Ipv6Ranges::pack(&self.ranges);
        self.clear();
        table::BlockTable { ipv4_ranges, ipv6_ranges }
    }

    fn clear(&mut self) {
        self.ipv4_spans.clear();
        self.ipv6_spans.clear();
        self.ranges.clear();
    }
}
