//! Validated sites and blocks of client addresses.

use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;

use crate::fault;
use crate::name;
use crate::region;

entity_key! {
    /// Key of a site.
    pub struct SiteKey, "site"
}

/// A location at which instances run.
#[derives::record]
pub struct Site {
    /// Name of the site.
    pub name: name::SiteName,
    /// Region of the site.
    pub region: region::RegionKey,
    /// Failure domain of the site.
    pub failure_domain: name::FailureDomainName,
    /// Whether the site is being drained, so that its instances receive no traffic.
    pub draining: bool,
}

/// A block of client addresses in CIDR notation.
#[derives::value]
pub struct AddressPrefix {
    /// First address of the block.
    pub address: net::IpAddr,
    /// Prefix length: number of leading bits that all addresses of the block share.
    pub length: u8,
}

/// A block of client addresses and its home site.
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
        parse_prefix(text).ok_or_else(|| fault::FaultKind::Malformed {
            text: Arc::clone(text),
            expected: "an address block such as 10.2.0.0/16 or 2001:db8::/48, \
                       with no bits set after its length and, for IPv6, at most 64 of them",
        })
    }
}

impl AddressPrefix {
    /// Returns true if the address is in the block; IPv4-mapped addresses are not converted.
    #[must_use]
    pub fn contains(&self, address: net::IpAddr) -> bool {
        let same_family = self.address.is_ipv4() == address.is_ipv4();
        let bits = address_bits(address);
        same_family && (self.first_bits()..=self.last_bits()).contains(&bits)
    }

    /// Returns the first address of the block as a number.
    #[must_use]
    pub fn first_bits(&self) -> u128 {
        address_bits(self.address)
    }

    /// Returns the last address of the block as a number.
    #[must_use]
    pub fn last_bits(&self) -> u128 {
        let host_bits = address_width(self.address) - u32::from(self.length);
        let host_mask = u128::MAX.checked_shr(u128::BITS - host_bits).unwrap_or(0);
        self.first_bits() | host_mask
    }
}

/// Maximum prefix length of an IPv6 block; the remaining bits identify hosts of one network.
const MAX_IPV6_LENGTH: u8 = 64;

fn parse_prefix(text: &str) -> Option<AddressPrefix> {
    let (address, length) = text.split_once('/')?;
    let prefix = AddressPrefix { address: address.parse().ok()?, length: length.parse().ok()? };
    let max_length = if prefix.address.is_ipv4() { 32 } else { MAX_IPV6_LENGTH };
    if prefix.length > max_length {
        return None;
    }
    let unset_bits = prefix.first_bits() ^ prefix.last_bits();
    let host_bits = address_width(prefix.address) - u32::from(prefix.length);
    (unset_bits.count_ones() == host_bits).then_some(prefix)
}

fn address_bits(address: net::IpAddr) -> u128 {
    match address {
        net::IpAddr::V4(address) => u128::from(address.to_bits()),
        net::IpAddr::V6(address) => address.to_bits(),
    }
}

const fn address_width(address: net::IpAddr) -> u32 {
    if address.is_ipv4() { 32 } else { 128 }
}
