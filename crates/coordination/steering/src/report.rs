//! Aggregation of traffic measurements by region.
//!
//! Each instance sends its counts to the aggregator of its region. The
//! aggregator sends the region's sum to the aggregators of the other regions,
//! and the traffic of each home region, added up over all sums, to the members
//! of its own region. Each instance selects the aggregator by rendezvous
//! hashing over the live members that it sees. Instances need not agree on the
//! aggregator, since every receiver keeps the newest sum. Messages carry ages
//! instead of timestamps, so that no clocks are compared.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::member;
use marjoramwing_membership::view;

use marjoramwing_entity::rendezvous;

/// Time between two reports of an instance's counts.
pub const REPORT_PERIOD: time::Duration = time::Duration::from_secs(3);
/// Time for which an instance's counts are included in its region's sum.
const COUNT_LIFETIME: time::Duration = time::Duration::from_millis(7_500);
/// Maximum age of a region's sum that is included in the traffic of home regions.
const SUM_LIFETIME: time::Duration = time::Duration::from_secs(60);

/// Request rate of the clients of one region.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionLoad {
    /// Home region of the clients.
    pub home: Arc<str>,
    /// Requests per second.
    pub rate: f64,
}

/// Request rates that all instances of one region serve together.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionSum {
    /// Region of the instances.
    pub region: Arc<str>,
    /// Request rates by home region of the clients.
    pub loads: Vec<RegionLoad>,
    /// Age of the sum; starts at one report period, since counts cover the last period.
    pub age: time::Duration,
}

/// Traffic of one region's clients, in whichever region they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct HomeTraffic {
    /// Home region of the clients.
    pub home: Arc<str>,
    /// Requests per second over all regions.
    pub offered: f64,
    /// Age of the home region's own sum.
    pub age: time::Duration,
}

/// Message between instances about their traffic.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportMessage {
    /// Counts of one instance, sent to its region's aggregator.
    Counted(Vec<RegionLoad>),
    /// Sum of one region, sent to the aggregators of the other regions.
    Summed(RegionSum),
    /// Traffic of all home regions, sent to the members of the aggregator's region.
    Broadcast(Vec<HomeTraffic>),
}

/// Input of the keeper.
#[derive(Debug)]
pub enum ReportEvent {
    /// The membership view changed.
    ViewChanged(Arc<view::MemberView>),
    /// The local instance counted its traffic over the last period.
    Counted(Vec<RegionLoad>),
    /// Another instance sent a message.
    Received {
        /// Incarnation of the sender.
        from: incarnation::Incarnation,
        /// The received message.
        message: ReportMessage,
    },
}

/// Message that the caller sends for the keeper.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportAction {
    /// Peer address of the receiver.
    pub to: net::SocketAddr,
    /// Message to send.
    pub message: ReportMessage,
}

#[derive(Debug)]
struct TimedCount {
    loads: Vec<RegionLoad>,
    received: entity_time::Timestamp,
}

#[derive(Debug)]
struct TimedSum {
    sum: RegionSum,
    received: entity_time::Timestamp,
}

impl TimedSum {
    fn age(&self, now: entity_time::Timestamp) -> time::Duration {
        self.sum.age + now.since(self.received)
    }
}

#[derive(Debug)]
struct TimedTraffic {
    traffic: HomeTraffic,
    received: entity_time::Timestamp,
}

impl TimedTraffic {
    fn aged(&self, now: entity_time::Timestamp) -> HomeTraffic {
        let age = self.traffic.age + now.since(self.received);
        HomeTraffic { age, ..self.traffic.clone() }
    }
}

/// Holds the newest counts, sums and traffic, and decides which messages to send.
#[derive(Debug)]
pub struct ReportKeeper {
    name: Arc<str>,
    region: Arc<str>,
    incarnation: incarnation::Incarnation,
    view: Arc<view::MemberView>,
    counts: collections::BTreeMap<incarnation::Incarnation, TimedCount>,
    sums: collections::BTreeMap<Arc<str>, TimedSum>,
    home_traffic: collections::BTreeMap<Arc<str>, TimedTraffic>,
}

impl ReportKeeper {
    /// Creates the keeper of one instance.
    #[must_use]
    pub fn new(name: Arc<str>, region: Arc<str>, incarnation: incarnation::Incarnation) -> Self {
        Self {
            name,
            region,
            incarnation,
            view: Arc::default(),
            counts: collections::BTreeMap::new(),
            sums: collections::BTreeMap::new(),
            home_traffic: collections::BTreeMap::new(),
        }
    }

    /// Handles an event and appends the messages to send.
    pub fn handle(
        &mut self,
        event: ReportEvent,
        now: entity_time::Timestamp,
        actions: &mut Vec<ReportAction>,
    ) {
        match event {
            ReportEvent::ViewChanged(view) => self.view = view,
            ReportEvent::Counted(loads) => self.report_counts(loads, now, actions),
            ReportEvent::Received { from, message: ReportMessage::Counted(loads) } => {
                self.counts.insert(from, TimedCount { loads, received: now });
            }
            ReportEvent::Received { message: ReportMessage::Summed(sum), .. } => {
                self.store_newer_sum(sum, now);
            }
            ReportEvent::Received { message: ReportMessage::Broadcast(home_traffic), .. } => {
                for traffic in home_traffic {
                    self.store_newer_traffic(traffic, now);
                }
            }
        }
    }

    /// Returns the newest traffic of each home region, with its current age.
    ///
    /// Entries are kept regardless of their age.
    #[must_use]
    pub fn home_traffic(&self, now: entity_time::Timestamp) -> Vec<HomeTraffic> {
        self.home_traffic.values().map(|timed| timed.aged(now)).collect()
    }

    /// Sends the local counts to the aggregator or, if this is the local instance or there is
    /// none, adds them to its own counts and sends the region's sum.
    fn report_counts(
        &mut self,
        loads: Vec<RegionLoad>,
        now: entity_time::Timestamp,
        actions: &mut Vec<ReportAction>,
    ) {
        let aggregator = self.aggregator_of(&self.region);
        if let Some(aggregator) = aggregator.filter(|aggregator| aggregator.name != self.name) {
            let message = ReportMessage::Counted(loads);
            actions.push(ReportAction { to: aggregator.peer_address, message });
            return;
        }
        self.counts.insert(self.incarnation, TimedCount { loads, received: now });
        let sum = self.sum_counts(now);
        self.send_sum(&sum, actions);
        self.store_newer_sum(sum, now);
        self.update_traffic(now);
        self.broadcast_traffic(now, actions);
    }

    fn sum_counts(&mut self, now: entity_time::Timestamp) -> RegionSum {
        self.counts.retain(|_, count| now.since(count.received) <= COUNT_LIFETIME);
        let loads = sum_by_home(self.counts.values().flat_map(|count| &count.loads));
        // Counts cover the period before they were reported.
        RegionSum { region: Arc::clone(&self.region), loads, age: REPORT_PERIOD }
    }

    /// Updates the traffic of each region whose own sum is recent enough.
    fn update_traffic(&mut self, now: entity_time::Timestamp) {
        self.sums.retain(|_, timed| timed.age(now) <= SUM_LIFETIME);
        for load in sum_by_home(self.sums.values().flat_map(|timed| &timed.sum.loads)) {
            let Some(own) = self.sums.get(&load.home) else { continue };
            let age = own.age(now);
            let home = Arc::clone(&load.home);
            let traffic = HomeTraffic { home: load.home, offered: load.rate, age };
            self.home_traffic.insert(home, TimedTraffic { traffic, received: now });
        }
    }

    fn send_sum(&self, sum: &RegionSum, actions: &mut Vec<ReportAction>) {
        for region in self.other_regions() {
            if let Some(aggregator) = self.aggregator_of(&region) {
                let message = ReportMessage::Summed(sum.clone());
                actions.push(ReportAction { to: aggregator.peer_address, message });
            }
        }
    }

    fn broadcast_traffic(&self, now: entity_time::Timestamp, actions: &mut Vec<ReportAction>) {
        let home_traffic = self.home_traffic(now);
        for member in self.members_of(&self.region) {
            if member.name != self.name {
                let message = ReportMessage::Broadcast(home_traffic.clone());
                actions.push(ReportAction { to: member.peer_address, message });
            }
        }
    }

    fn store_newer_sum(&mut self, sum: RegionSum, now: entity_time::Timestamp) {
        let known_age = self.sums.get(&sum.region).map(|timed| timed.age(now));
        if known_age.is_none_or(|age| sum.age < age) {
            let region = Arc::clone(&sum.region);
            self.sums.insert(region, TimedSum { sum, received: now });
        }
    }

    fn store_newer_traffic(&mut self, traffic: HomeTraffic, now: entity_time::Timestamp) {
        let known_age = self.home_traffic.get(&traffic.home).map(|timed| timed.aged(now).age);
        if known_age.is_none_or(|age| traffic.age < age) {
            let home = Arc::clone(&traffic.home);
            self.home_traffic.insert(home, TimedTraffic { traffic, received: now });
        }
    }

    fn aggregator_of<'a>(&'a self, region: &'a str) -> Option<&'a member::Member> {
        let key = rendezvous::seed_of(region);
        self.members_of(region)
            .max_by_key(|member| rendezvous::score(key, rendezvous::seed_of(&member.name)))
    }

    fn members_of<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a member::Member> {
        self.view.live().filter(move |member| &*member.region == region)
    }

    fn other_regions(&self) -> collections::BTreeSet<Arc<str>> {
        let regions = self.view.live().map(|member| Arc::clone(&member.region));
        regions.filter(|region| *region != self.region).collect()
    }
}

/// Sums loads by home region.
fn sum_by_home<'a>(loads: impl Iterator<Item = &'a RegionLoad>) -> Vec<RegionLoad> {
    let mut rates: collections::BTreeMap<Arc<str>, f64> = collections::BTreeMap::new();
    for load in loads {
        *rates.entry(Arc::clone(&load.home)).or_default() += load.rate;
    }
    rates.into_iter().map(|(home, rate)| RegionLoad { home, rate }).collect()
}
