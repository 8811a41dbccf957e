//! Packed ranges of IPv4 addresses, four bytes each.
//!
//! The upper 16 bits of an address select a bucket; within it, ranges are
//! sorted by the lower 16 bits of their first address. Invariant: each bucket
//! starts with a range whose lower bits are zero.

use crate::range;

const BUCKETS: usize = 1 << 16;
const BUCKET_BITS: u32 = 16;

/// Maps IPv4 addresses to sites by sorted ranges.
#[derive(Debug, Clone)]
pub struct Ipv4Ranges {
    bucket_starts: Vec<u32>,
    lower_bits: Vec<u16>,
    sites: Vec<range::SiteIndex>,
}

impl Ipv4Ranges {
    /// Packs sorted, disjoint ranges.
    pub(crate) fn pack(ranges: &[range::RangeStart]) -> Self {
        let capacity = ranges.len() + BUCKETS;
        let mut packed = Self {
            bucket_starts: Vec::with_capacity(BUCKETS + 1),
            lower_bits: Vec::with_capacity(capacity),
            sites: Vec::with_capacity(capacity),
        };
        // A range that starts after the last address belongs to no bucket and is left out.
        let mut remaining = ranges;
        let mut carried_site = range::SiteIndex::NONE;
        for bucket in 0..BUCKETS as u64 {
            let count = remaining.partition_point(|range| range.first >> BUCKET_BITS <= bucket);
            let (bucket_ranges, others) = remaining.split_at(count);
            packed.push_bucket(carried_site, bucket_ranges);
            carried_site = bucket_ranges.last().map_or(carried_site, |range| range.site);
            remaining = others;
        }
        packed.bucket_starts.push(packed.len());
        packed.lower_bits.shrink_to_fit();
        packed.sites.shrink_to_fit();
        packed
    }

    /// Returns the site of an address, or [`range::SiteIndex::NONE`] if it has none.
    #[must_use]
    pub fn find(&self, address: u32) -> range::SiteIndex {
        let bucket = (address >> BUCKET_BITS) as usize;
        let start = self.bucket_starts[bucket] as usize;
        let end = self.bucket_starts[bucket + 1] as usize;
        let lower = address as u16;
        let next = self.lower_bits[start..end].partition_point(|bits| *bits <= lower);
        debug_assert!(next > 0);
        self.sites[start + next - 1]
    }

    /// Returns the heap memory of the ranges in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.bucket_starts.capacity() * size_of::<u32>()
            + self.lower_bits.capacity() * size_of::<u16>()
            + self.sites.capacity() * size_of::<range::SiteIndex>()
    }

    /// Returns true if every bucket is present, its ranges are sorted and start with zero lower
    /// bits, and every range has a site.
    pub(crate) fn is_well_formed(&self) -> bool {
        let starts_are_sorted = self.bucket_starts.is_sorted();
        let lengths_match = self.lower_bits.len() == self.sites.len();
        let has_all_buckets = self.bucket_starts.len() == BUCKETS + 1;
        let buckets = self.bucket_starts.windows(2);
        let buckets_are_valid = buckets.into_iter().all(|bounds| {
            let bits = &self.lower_bits[bounds[0] as usize..bounds[1] as usize];
            bits.first() == Some(&0) && bits.windows(2).all(|pair| pair[0] < pair[1])
        });
        starts_are_sorted && lengths_match && has_all_buckets && buckets_are_valid
    }

    fn push_bucket(&mut self, carried_site: range::SiteIndex, ranges: &[range::RangeStart]) {
        self.bucket_starts.push(self.len());
        if ranges.first().is_none_or(|range| range.first as u16 != 0) {
            self.push(0, carried_site);
        }
        for range in ranges {
            self.push(range.first as u16, range.site);
        }
    }

    fn push(&mut self, lower: u16, site: range::SiteIndex) {
        self.lower_bits.push(lower);
        self.sites.push(site);
    }

    fn len(&self) -> u32 {
        u32::try_from(self.sites.len()).expect("IPv4 has fewer than 2^32 ranges")
    }
}
