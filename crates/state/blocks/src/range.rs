//! Disjoint ranges of addresses, and the flattening of nested prefixes to them.
//!
//! A range ends where the next one starts; addresses before the first range
//! have no site.

use marjoramwing_derives as derives;

/// Index of a site in its snapshot's table, at most 65,534; 65,535 is [`SiteIndex::NONE`].
#[derives::value]
pub struct SiteIndex(u16);

impl SiteIndex {
    /// Marks addresses without a home site.
    pub const NONE: Self = Self(u16::MAX);

    /// Creates the index of a site.
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

/// First and last address of a prefix, and its site.
#[derives::value]
pub(crate) struct PrefixSpan {
    pub(crate) first: u64,
    pub(crate) last: u64,
    pub(crate) site: SiteIndex,
}

impl PrefixSpan {
    /// Creates the span of the addresses that share the leading `length` of `width` bits.
    pub(crate) const fn new(first: u64, length: u32, width: u32, site: SiteIndex) -> Self {
        let host_bits = width - length;
        let host_mask = if host_bits == u64::BITS { u64::MAX } else { (1 << host_bits) - 1 };
        Self { first, last: first | host_mask, site }
    }
}

/// Start of a range and the site of its addresses.
#[derives::value]
pub struct RangeStart {
    /// First address of the range as a number; for IPv6, its upper 64 bits.
    pub first: u64,
    /// Site of the range.
    pub site: SiteIndex,
}

/// Flattens nested spans into disjoint ranges; the longest prefix wins.
///
/// Two spans are nested or disjoint, since they are made from prefixes. Of
/// equal spans, the last added wins. Adjacent ranges with the same site are merged.
pub(crate) fn flatten(spans: &mut [PrefixSpan], ranges: &mut Vec<RangeStart>) {
    ranges.clear();
    // The sort is stable, so that of equal spans the last added is the innermost.
    spans.sort_by_key(|span| (span.first, std::cmp::Reverse(span.last)));
    let mut enclosing: Vec<PrefixSpan> = Vec::new();
    for span in spans.iter() {
        close_ended_spans(span.first, &mut enclosing, ranges);
        push_range(ranges, span.first, span.site);
        enclosing.push(*span);
    }
    while let Some(span) = enclosing.pop() {
        resume_enclosing(&span, &enclosing, ranges);
    }
}

fn close_ended_spans(first: u64, enclosing: &mut Vec<PrefixSpan>, ranges: &mut Vec<RangeStart>) {
    while let Some(span) = enclosing.pop_if(|span| span.last < first) {
        resume_enclosing(&span, enclosing, ranges);
    }
}

/// Starts a range after `span`, with the site of the span that encloses it.
fn resume_enclosing(span: &PrefixSpan, enclosing: &[PrefixSpan], ranges: &mut Vec<RangeStart>) {
    let Some(next) = span.last.checked_add(1) else { return };
    let outer = enclosing.last();
    // An enclosing span with the same last address resumes its own enclosing span when it is
    // closed.
    if outer.is_some_and(|outer| outer.last < next) {
        return;
    }
    push_range(ranges, next, outer.map_or(SiteIndex::NONE, |outer| outer.site));
}

/// Starts a range; replaces one that starts at the same address, and extends the last range if it
/// has the same site.
fn push_range(ranges: &mut Vec<RangeStart>, first: u64, site: SiteIndex) {
    if let Some(last) = ranges.last_mut() {
        if last.first == first {
            last.site = site;
            merge_last_two(ranges);
            return;
        }
        if last.site == site {
            return;
        }
    }
    ranges.push(RangeStart { first, site });
}

fn merge_last_two(ranges: &mut Vec<RangeStart>) {
    if let [.., previous, last] = ranges[..]
        && previous.site == last.site
    {
        ranges.pop();
    }
}
