//! Checks a table independently of the builder.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_tables::site;

use crate::table;

/// A violated invariant of a table.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum TableDefect {
    /// The packed ranges are not sorted, or are malformed in another way.
    #[display("the ranges are not sorted; rebuild the table")]
    UnsortedRanges,
    /// The table does not map an address to the site of its longest matching prefix.
    #[display(
        "{address} does not map to the site of its longest matching prefix; rebuild the table"
    )]
    WrongSite {
        /// Address that was looked up.
        address: net::IpAddr,
    },
}

/// Checks that the packed ranges are well formed, and compares the sites of the first and last address of
/// every block, and of their neighbours, with a linear scan.
///
/// # Errors
///
/// Returns the first defect that is found.
pub fn verify(table: &table::BlockTable, blocks: &[site::ClientBlock]) -> Result<(), TableDefect> {
    if !table.ipv4_ranges.is_well_formed() || !table.ipv6_ranges.is_well_formed() {
        return Err(TableDefect::UnsortedRanges);
    }
    for block in blocks {
        for address in boundary_addresses(&block.prefix) {
            if table.find(address) != scan(blocks, address) {
                return Err(TableDefect::WrongSite { address });
            }
        }
    }
    Ok(())
}

/// Returns the home site of an address, found by a linear scan over the blocks; of equal prefixes,
/// the last wins.
#[must_use]
pub fn scan(blocks: &[site::ClientBlock], address: net::IpAddr) -> Option<site::SiteKey> {
    let matching = blocks.iter().filter(|block| block.prefix.contains(address));
    matching.max_by_key(|block| block.prefix.length).map(|block| block.site)
}

/// Returns the first and last address of a block and their neighbours outside it.
fn boundary_addresses(prefix: &site::AddressPrefix) -> [net::IpAddr; 4] {
    let first = prefix.first_bits();
    let last = prefix.last_bits();
    let bits = [first, last, first.wrapping_sub(1), last.wrapping_add(1)];
    bits.map(|bits| match prefix.address {
        net::IpAddr::V4(_) => net::IpAddr::V4(net::Ipv4Addr::from_bits(bits as u32)),
        net::IpAddr::V6(_) => net::IpAddr::V6(net::Ipv6Addr::from_bits(bits)),
    })
}
