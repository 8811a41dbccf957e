//! Ranges of IPv6 addresses by their upper 64 bits, ten bytes each.

use crate::range;

/// Ranges of IPv6 addresses.
#[derive(Debug, Clone, Default)]
pub struct WideRanges {
    firsts: Vec<u64>,
    sites: Vec<range::SiteIndex>,
}

impl WideRanges {
    /// Packs flattened ranges.
    pub(crate) fn pack(ranges: &[range::RangeStart]) -> Self {
        Self {
            firsts: ranges.iter().map(|range| range.first).collect(),
            sites: ranges.iter().map(|range| range.site).collect(),
        }
    }

    /// Returns the site of an address, given its upper 64 bits.
    #[must_use]
    pub fn find(&self, upper: u64) -> range::SiteIndex {
        let following = self.firsts.partition_point(|first| *first <= upper);
        let index = following.checked_sub(1);
        index.map_or(range::SiteIndex::NONE, |index| self.sites[index])
    }

    /// Returns the bytes of memory that the ranges take.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.firsts.capacity() * size_of::<u64>()
            + self.sites.capacity() * size_of::<range::SiteIndex>()
    }

    /// Tells whether the invariants of the packed form hold.
    pub(crate) fn is_well_formed(&self) -> bool {
        let firsts_rise = self.firsts.windows(2).all(|pair| pair[0] < pair[1]);
        firsts_rise && self.firsts.len() == self.sites.len()
    }
}
