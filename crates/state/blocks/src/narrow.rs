//! Ranges of IPv4 addresses, four bytes each.
//!
//! The upper 16 bits of an address choose a bucket; within it, ranges are
//! told apart by their lower 16 bits. Invariant: each bucket starts with a
//! range whose lower bits are zero.

use crate::range;

const BUCKETS: usize = 1 << 16;
const BUCKET_BITS: u32 = 16;

/// Ranges of IPv4 addresses.
#[derive(Debug, Clone)]
pub struct NarrowRanges {
    bucket_starts: Vec<u32>,
    lower_bits: Vec<u16>,
    sites: Vec<range::SiteIndex>,
}

impl NarrowRanges {
    /// Packs flattened ranges.
    pub(crate) fn pack(ranges: &[range::RangeStart]) -> Self {
        let capacity = ranges.len() + BUCKETS;
        let mut packed = Self {
            bucket_starts: Vec::with_capacity(BUCKETS + 1),
            lower_bits: Vec::with_capacity(capacity),
            sites: Vec::with_capacity(capacity),
        };
        let mut rest = ranges;
        let mut current = range::SiteIndex::NONE;
        for bucket in 0..BUCKETS as u64 {
            let in_bucket = rest.partition_point(|range| range.first >> BUCKET_BITS <= bucket);
            let (own, others) = rest.split_at(in_bucket);
            packed.push_bucket(current, own);
            current = own.last().map_or(current, |range| range.site);
            rest = others;
        }
        packed.bucket_starts.push(packed.len());
        packed.lower_bits.shrink_to_fit();
        packed.sites.shrink_to_fit();
        packed
    }

    /// Returns the site of an address.
    #[must_use]
    pub fn find(&self, address: u32) -> range::SiteIndex {
        let bucket = (address >> BUCKET_BITS) as usize;
        let start = self.bucket_starts[bucket] as usize;
        let end = self.bucket_starts[bucket + 1] as usize;
        let lower = address as u16;
        let following = self.lower_bits[start..end].partition_point(|bits| *bits <= lower);
        debug_assert!(following > 0);
        self.sites[start + following - 1]
    }

    /// Returns the bytes of memory that the ranges take.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.bucket_starts.capacity() * size_of::<u32>()
            + self.lower_bits.capacity() * size_of::<u16>()
            + self.sites.capacity() * size_of::<range::SiteIndex>()
    }

    /// Tells whether the invariants of the packed form hold.
    pub(crate) fn is_well_formed(&self) -> bool {
        let bounds_rise = self.bucket_starts.is_sorted();
        let lengths_match = self.lower_bits.len() == self.sites.len();
        let bucket_count = self.bucket_starts.len() == BUCKETS + 1;
        let buckets = self.bucket_starts.windows(2);
        let buckets_fit = buckets.into_iter().all(|bounds| {
            let bits = &self.lower_bits[bounds[0] as usize..bounds[1] as usize];
            bits.first() == Some(&0) && bits.windows(2).all(|pair| pair[0] < pair[1])
        });
        bounds_rise && lengths_match && bucket_count && buckets_fit
    }

    fn push_bucket(&mut self, carried: range::SiteIndex, own: &[range::RangeStart]) {
        self.bucket_starts.push(self.len());
        if own.first().is_none_or(|range| range.first as u16 != 0) {
            self.push(0, carried);
        }
        for range in own {
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
