//! Checks a table's invariants, apart from the builder.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_tables::site;

use crate::table;

/// What is wrong with a table.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum TableDefect {
    /// The packed ranges are not in order.
    #[display("ranges are out of order; rebuild the table")]
    Order,
    /// An address has another site than its longest prefix says.
    #[display("{address} has another site than its longest prefix; rebuild the table")]
    Site {
        /// Address that was looked up.
        address: net::IpAddr,
    },
}

/// Checks the order of the ranges, and both ends of every block by a linear scan.
///
/// # Errors
///
/// Returns the first defect.
pub fn verify(table: &table::BlockTable, blocks: &[site::ClientBlock]) -> Result<(), TableDefect> {
    if !table.narrow.is_well_formed() || !table.wide.is_well_formed() {
        return Err(TableDefect::Order);
    }
    for block in blocks {
        for address in edges(&block.prefix) {
            if table.find(address) != scan(blocks, address) {
                return Err(TableDefect::Site { address });
            }
        }
    }
    Ok(())
}

/// Finds the home site of an address by looking at every block.
#[must_use]
pub fn scan(blocks: &[site::ClientBlock], address: net::IpAddr) -> Option<site::SiteKey> {
    let holding = blocks.iter().filter(|block| block.prefix.contains(address));
    holding.max_by_key(|block| block.prefix.length).map(|block| block.site)
}

fn edges(prefix: &site::AddressPrefix) -> [net::IpAddr; 4] {
    let first = prefix.first_bits();
    let last = prefix.last_bits();
    let bits = [first, last, first.wrapping_sub(1), last.wrapping_add(1)];
    bits.map(|bits| match prefix.address {
        net::IpAddr::V4(_) => net::IpAddr::V4(net::Ipv4Addr::from_bits(bits as u32)),
        net::IpAddr::V6(_) => net::IpAddr::V6(net::Ipv6Addr::from_bits(bits)),
    })
}
