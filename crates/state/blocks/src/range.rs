//! Disjoint ranges of addresses and their flattening.
//!
//! A range ends where the next one starts; the part before the first range
//! has no site.

use marjoramwing_derives as derives;

/// Index of a site in its snapshot's table; at most 65,534 sites.
#[derives::value]
pub struct SiteIndex(u16);

impl SiteIndex {
    /// Stands for addresses without a home site.
    pub const NONE: Self = Self(u16::MAX);

    /// Makes the index of a site.
    #[must_use]
    pub const fn from_u16(index: u16) -> Self {
        Self(index)
    }

    /// Returns the index as a number.
    #[must_use]
    pub const fn as_u16(self) -> u16 {
        self.0
    }
}

/// A prefix as first and last address, and its site.
#[derives::value]
pub(crate) struct PrefixSpan {
    pub(crate) first: u64,
    pub(crate) last: u64,
    pub(crate) site: SiteIndex,
}

impl PrefixSpan {
    /// Spans the addresses that share the leading `length` of `width` bits.
    pub(crate) const fn new(first: u64, length: u32, width: u32, site: SiteIndex) -> Self {
        let free_bits = width - length;
        let tail = if free_bits == u64::BITS { u64::MAX } else { (1 << free_bits) - 1 };
        Self { first, last: first | tail, site }
    }
}

/// Start of a range and the site of its addresses.
#[derives::value]
pub struct RangeStart {
    /// First address of the range.
    pub first: u64,
    /// Site of the range.
    pub site: SiteIndex,
}

/// Flattens nested spans into disjoint ranges; the longest prefix wins.
///
/// Spans come from prefixes, so two of them are nested or disjoint. Of equal
/// spans the last added wins. Neighbouring ranges of one site become one.
pub(crate) fn flatten(spans: &mut [PrefixSpan], ranges: &mut Vec<RangeStart>) {
    ranges.clear();
    // Stable, so that of equal spans the last added is innermost.
    spans.sort_by_key(|span| (span.first, std::cmp::Reverse(span.last)));
    let mut enclosing: Vec<PrefixSpan> = Vec::new();
    for span in spans.iter() {
        close_before(span.first, &mut enclosing, ranges);
        push_range(ranges, span.first, span.site);
        enclosing.push(*span);
    }
    while let Some(span) = enclosing.pop() {
        reopen_after(&span, &enclosing, ranges);
    }
}

fn close_before(first: u64, enclosing: &mut Vec<PrefixSpan>, ranges: &mut Vec<RangeStart>) {
    while let Some(span) = enclosing.pop_if(|span| span.last < first) {
        reopen_after(&span, enclosing, ranges);
    }
}

fn reopen_after(span: &PrefixSpan, enclosing: &[PrefixSpan], ranges: &mut Vec<RangeStart>) {
    let Some(next) = span.last.checked_add(1) else { return };
    let outer = enclosing.last();
    if outer.is_some_and(|outer| outer.last < next) {
        return;
    }
    push_range(ranges, next, outer.map_or(SiteIndex::NONE, |outer| outer.site));
}

fn push_range(ranges: &mut Vec<RangeStart>, first: u64, site: SiteIndex) {
    if let Some(last) = ranges.last_mut() {
        if last.first == first {
            last.site = site;
            merge_last(ranges);
            return;
        }
        if last.site == site {
            return;
        }
    }
    ranges.push(RangeStart { first, site });
}

fn merge_last(ranges: &mut Vec<RangeStart>) {
    if let [.., before, last] = ranges[..]
        && before.site == last.site
    {
        ranges.pop();
    }
}
