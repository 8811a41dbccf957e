//! Checked sites and blocks of client addresses.

use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;

use crate::fault;
use crate::name;

entity_key! {
    /// Key of a site.
    pub struct SiteKey, "site"
}

/// A place where entry instances run.
#[derives::record]
pub struct Site {
    /// Name of the site.
    pub name: name::SiteName,
    /// Region of the site.
    pub region: name::RegionName,
    /// Failure domain of the site.
    pub failure_domain: name::DomainName,
    /// Whether traffic is to leave the site.
    pub draining: bool,
}

/// A block of client addresses in CIDR form.
#[derives::value]
pub struct AddressPrefix {
    /// First address of the block.
    pub address: net::IpAddr,
    /// Number of leading bits that all addresses share.
    pub length: u8,
}

/// A block of clients and its home site.
#[derives::record]
pub struct ClientBlock {
    /// Addresses of the block.
    pub prefix: AddressPrefix,
    /// Home site of the block.
    pub site: SiteKey,
}

impl TryFrom<&Arc<str>> for AddressPrefix {
    type Error = fault::FaultKind;

    fn try_from(text: &Arc<str>) -> Result<Self, Self::Error> {
        parse_prefix(text).ok_or_else(|| fault::FaultKind::Form {
            text: Arc::clone(text),
            expected: "an address block such as 10.2.0.0/16 with no bits set after its length",
        })
    }
}

fn parse_prefix(text: &str) -> Option<AddressPrefix> {
    let (address, length) = text.split_once('/')?;
    let address: net::IpAddr = address.parse().ok()?;
    let length: u8 = length.parse().ok()?;
    let (bits, width) = match address {
        net::IpAddr::V4(v4) => (u128::from(v4.to_bits()) << 96, 32),
        net::IpAddr::V6(v6) => (v6.to_bits(), 128),
    };
    let tail = bits.checked_shl(u32::from(length)).unwrap_or(0);
    (length <= width && tail == 0).then_some(AddressPrefix { address, length })
}
