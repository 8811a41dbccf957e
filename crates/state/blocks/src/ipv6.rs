//! Packed ranges of IPv6 addresses by their upper 64 bits, ten bytes each.

use crate::range;

/// Maps IPv6 addresses to sites by sorted ranges.
#[derive(Debug, Clone, Default)]
pub struct Ipv6Ranges {
    starts: Vec<u64>,
    sites: Vec<range::SiteIndex>,
}

impl Ipv6Ranges {
    /// Packs sorted, disjoint ranges.
    pub(crate) fn pack(ranges: &[range::RangeStart]) -> Self {
        Self {
            starts: ranges.iter().map(|range| range.first).collect(),
            sites: ranges.iter().map(|range| range.site).collect(),
        }
    }

    /// Returns the site of an address, given its upper 64 bits, or [`range::SiteIndex::NONE`]
    /// if it has none.
    #[must_use]
    pub fn find(&self, upper: u64) -> range::SiteIndex {
        let next = self.starts.partition_point(|start| *start <= upper);
        let index = next.checked_sub(1);
        index.map_or(range::SiteIndex::NONE, |index| self.sites[index])
    }

    /// Returns the heap memory of the ranges in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<u64>()
            + self.sites.capacity() * size_of::<range::SiteIndex>()
    }

    /// Returns true if the ranges are sorted and every range has a site.
    pub(crate) fn is_well_formed(&self) -> bool {
        let is_sorted = self.starts.windows(2).all(|pair| pair[0] < pair[1]);
        is_sorted && self.starts.len() == self.sites.len()
    }
}
