//! Region of each failure domain.

use std::collections;

use marjoramwing_derives as derives;
use marjoramwing_tables::name;

use crate::document;
use crate::fault;

/// Maps each failure domain to its region.
#[derives::record]
#[derive(Default)]
pub struct FleetTopology {
    regions: collections::BTreeMap<name::FailureDomainName, name::RegionName>,
}

impl FleetTopology {
    /// Returns the region of a failure domain, or `None` if the settings do not list it.
    #[must_use]
    pub fn region(&self, domain: &name::FailureDomainName) -> Option<&name::RegionName> {
        self.regions.get(domain)
    }

    /// Checks the entries up to the first one with a fault.
    pub(crate) fn check(
        faults: &mut fault::FaultList,
        raw: &document::TopologyDocument,
    ) -> Option<Self> {
        let mut topology = Self::default();
        for (domain, region) in &raw.domains {
            let path = format!("topology.domains.{domain}");
            let to_fault = |_| fault::FaultKind::Name(domain.clone());
            let key =
                faults.check(&path, name::FailureDomainName::try_from(domain).map_err(to_fault));
            let to_fault = |_| fault::FaultKind::Name(region.clone());
            let region = faults.check(&path, name::RegionName::try_from(region).map_err(to_fault));
            topology.regions.insert(key?, region?);
        }
        Some(topology)
    }
}
