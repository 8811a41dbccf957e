//! Which failure domains lie in which region.

use std::collections;

use marjoramwing_derives as derives;
use marjoramwing_tables::name;

use crate::document;
use crate::fault;

/// Region of each failure domain.
#[derives::record]
#[derive(Default)]
pub struct FleetTopology {
    regions: collections::BTreeMap<name::DomainName, name::RegionName>,
}

impl FleetTopology {
    /// Returns the region of a failure domain, if the settings tell it.
    #[must_use]
    pub fn region(&self, domain: &name::DomainName) -> Option<&name::RegionName> {
        self.regions.get(domain)
    }

    pub(crate) fn check(
        faults: &mut fault::FaultList,
        raw: &document::TopologyDocument,
    ) -> Option<Self> {
        let mut topology = Self::default();
        for (domain, region) in &raw.domains {
            let path = format!("topology.domains.{domain}");
            let wrong = |_| fault::FaultKind::Name(domain.clone());
            let key = faults.check(&path, name::DomainName::try_from(domain).map_err(wrong));
            let wrong = |_| fault::FaultKind::Name(region.clone());
            let region = faults.check(&path, name::RegionName::try_from(region).map_err(wrong));
            topology.regions.insert(key?, region?);
        }
        Some(topology)
    }
}
