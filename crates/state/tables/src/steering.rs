//! Validates the `steering` object: sites, regions, blocks and caps.

use std::sync::Arc;
use std::time;

use crate::builder;
use crate::document;
use crate::fault;
use crate::name;
use crate::region;
use crate::site;
use crate::team;

const MIN_LOOKUP_TTL_MS: u64 = 100;
const MAX_LOOKUP_TTL_MS: u64 = 300_000;
const MIN_SPREAD_RATE: f64 = 1.0;
const MAX_SPREAD_RATE: f64 = 1_000_000.0;
const MIN_INSTANCE_RATE: f64 = 1.0;
const MAX_INSTANCE_RATE: f64 = 1_000_000.0;

impl builder::SnapshotBuilder {
    pub(crate) fn add_steering(&mut self, raw: &document::SteeringDocument) {
        let ttl = fault::check_range(raw.lookup_ttl_ms, MIN_LOOKUP_TTL_MS, MAX_LOOKUP_TTL_MS);
        if let Some(ttl) = self.faults.check("lookup_ttl_ms", ttl) {
            self.snapshot.lookup_ttl = time::Duration::from_millis(ttl);
        }
        // The defaults of faulty rates are never used: a snapshot with faults is discarded.
        let spread = fault::check_range(raw.spread_rate, MIN_SPREAD_RATE, MAX_SPREAD_RATE);
        self.snapshot.spread_rate = self.faults.check("spread_rate", spread).unwrap_or_default();
        let rate = fault::check_range(raw.instance_rate, MIN_INSTANCE_RATE, MAX_INSTANCE_RATE);
        self.snapshot.instance_rate = self.faults.check("instance_rate", rate).unwrap_or_default();
        self.add_sites(&raw.sites);
        self.add_headrooms(&raw.headrooms);
        self.add_shifts(&raw.shifts);
        self.add_blocks(&raw.blocks);
    }

    fn add_sites(&mut self, rows: &[document::SiteDocument]) {
        for (index, row) in rows.iter().enumerate() {
            let path = format!("sites[{index}]");
            let Some(site) = self.check_site(&path, row) else { continue };
            let key = self.snapshot.sites.push(site);
            if self.site_keys.insert(Arc::clone(&row.name), key).is_some() {
                self.faults.add(path, fault::FaultKind::Duplicate(Arc::clone(&row.name)));
            }
        }
    }

    fn check_site(&mut self, path: &str, row: &document::SiteDocument) -> Option<site::Site> {
        let name = self.faults.check(format!("{path}.name"), name::SiteName::try_from(&row.name));
        let region = name::RegionName::try_from(&row.region);
        let region = self.faults.check(format!("{path}.region"), region);
        let domain = name::FailureDomainName::try_from(&row.failure_domain);
        let domain = self.faults.check(format!("{path}.failure_domain"), domain);
        let region = self.intern_region(region?);
        Some(site::Site { name: name?, region, failure_domain: domain?, draining: row.draining })
    }

    fn intern_region(&mut self, name: name::RegionName) -> region::RegionKey {
        if let Some(key) = self.region_keys.get(name.as_str()) {
            return *key;
        }
        let text = name.text();
        let key = self.snapshot.regions.push(region::Region { name, headroom: None });
        self.region_keys.insert(text, key);
        key
    }

    fn add_headrooms(&mut self, rows: &[document::HeadroomDocument]) {
        for (index, row) in rows.iter().enumerate() {
            let path = format!("headrooms[{index}]");
            let region = self.check_region(&format!("{path}.region"), &row.region);
            let limit = self.faults.check(path.clone(), team::RateLimit::new(row.rate, row.burst));
            let (Some(region), Some(limit)) = (region, limit) else { continue };
            if self.snapshot.regions[region].headroom.replace(limit).is_some() {
                self.faults.add(path, fault::FaultKind::Duplicate(Arc::clone(&row.region)));
            }
        }
    }

    fn add_shifts(&mut self, rows: &[document::ShiftDocument]) {
        for (index, row) in rows.iter().enumerate() {
            let path = format!("shifts[{index}]");
            let from = self.check_region(&format!("{path}.from"), &row.from);
            let to = self.check_region(&format!("{path}.to"), &row.to);
            let limit = self.faults.check(path.clone(), team::RateLimit::new(row.rate, row.burst));
            let (Some(from), Some(to), Some(limit)) = (from, to, limit) else { continue };
            let caps = &self.snapshot.shifts;
            // A cap from a region to itself is also reported as a duplicate.
            if from == to || caps.iter().any(|cap| cap.from == from && cap.to == to) {
                let pair = format!("{} to {}", row.from, row.to).into();
                self.faults.add(path, fault::FaultKind::Duplicate(pair));
                continue;
            }
            self.snapshot.shifts.push(region::ShiftCap { from, to, limit });
        }
    }

    fn check_region(&mut self, path: &str, name: &Arc<str>) -> Option<region::RegionKey> {
        let found = builder::find_named(&self.region_keys, "steering", name);
        self.faults.check(path, found)
    }

    fn add_blocks(&mut self, rows: &[document::BlockDocument]) {
        for (index, row) in rows.iter().enumerate() {
            let path = format!("blocks[{index}]");
            let prefix = site::AddressPrefix::try_from(&row.prefix);
            let prefix = self.faults.check(format!("{path}.prefix"), prefix);
            let found = builder::find_named(&self.site_keys, "steering", &row.site);
            let site = self.faults.check(format!("{path}.site"), found);
            let (Some(prefix), Some(site)) = (prefix, site) else { continue };
            self.snapshot.blocks.push(site::ClientBlock { prefix, site });
        }
    }
}
