//! Builds a table from prefixes.
//!
//! The builder is cleared and reused, so that a rebuild allocates little
//! beside the new table.

use std::net;

use marjoramwing_entity::key::EntityKey;
use marjoramwing_tables::site;

use crate::narrow;
use crate::range;
use crate::table;
use crate::wide;

const NARROW_BITS: u32 = 32;
const WIDE_BITS: u32 = 64;

/// Gathers prefixes for one table after another.
#[derive(Debug, Default)]
pub struct TableBuilder {
    narrow: Vec<range::PrefixSpan>,
    wide: Vec<range::PrefixSpan>,
    ranges: Vec<range::RangeStart>,
}

impl TableBuilder {
    /// Adds a block; of equal prefixes the last added wins.
    ///
    /// # Panics
    ///
    /// Panics if the site's key is above 65,534.
    pub fn add(&mut self, prefix: &site::AddressPrefix, home: site::SiteKey) {
        let index = u16::try_from(home.index()).expect("there are fewer than 65,535 sites");
        let site = range::SiteIndex::from_u16(index);
        let length = u32::from(prefix.length);
        match prefix.address {
            net::IpAddr::V4(address) => {
                let first = u64::from(address.to_bits());
                self.narrow.push(range::PrefixSpan::new(first, length, NARROW_BITS, site));
            }
            net::IpAddr::V6(address) => {
                let first = table::upper_bits(address);
                self.wide.push(range::PrefixSpan::new(first, length, WIDE_BITS, site));
            }
        }
    }

    /// Builds the table of all added blocks and clears the builder.
    pub fn build(&mut self) -> table::BlockTable {
        range::flatten(&mut self.narrow, &mut self.ranges);
        let narrow = narrow::NarrowRanges::pack(&self.ranges);
        range::flatten(&mut self.wide, &mut self.ranges);
        let wide = wide::WideRanges::pack(&self.ranges);
        self.clear();
        table::BlockTable { narrow, wide }
    }

    fn clear(&mut self) {
        self.narrow.clear();
        self.wide.clear();
        self.ranges.clear();
    }
}
