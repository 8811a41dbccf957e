//! Measurements of traffic, summed by region and passed on.
//!
//! Each instance tells its counts to one reporter of its region; the reporter
//! tells the region's sum to the other reporters, and the traffic of each home
//! region, added up over all sums, to its own region. Which member reports is a rendezvous hash over the live members: a
//! hint only, since every receiver takes whatever sum is the newest. Ages add
//! up along the way, so that no clocks are compared.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::member;
use marjoramwing_membership::view;

use marjoramwing_entity::rendezvous;

/// Time between two reports.
pub const REPORT_PERIOD: time::Duration = time::Duration::from_secs(3);
/// Time for which an instance's counts are part of its region's sum.
const COUNT_LIFETIME: time::Duration = time::Duration::from_millis(7_500);
/// Time for which a region's sum is passed on.
const SUM_LIFETIME: time::Duration = time::Duration::from_secs(60);

/// Requests per second of the clients of one region.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionLoad {
    /// Home region of the clients.
    pub home: Arc<str>,
    /// Requests per second.
    pub rate: f64,
}

/// What all instances of one region serve.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionSum {
    /// Region of the instances.
    pub region: Arc<str>,
    /// What they serve, by home region of the clients.
    pub loads: Vec<RegionLoad>,
    /// Time since the oldest count in the sum was made.
    pub age: time::Duration,
}

/// Traffic of one region's clients, wherever served.
#[derive(Debug, Clone, PartialEq)]
pub struct HomeTraffic {
    /// Home region of the clients.
    pub home: Arc<str>,
    /// Requests per second.
    pub offered: f64,
    /// Age of what the home region itself measured.
    pub age: time::Duration,
}

/// What instances tell each other of their traffic.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportMessage {
    /// Counts of one instance, to its region's reporter.
    Counted(Vec<RegionLoad>),
    /// What one region serves, to the reporter of another.
    Summed(RegionSum),
    /// Traffic of all home regions, to the members of the reporter's region.
    Told(Vec<HomeTraffic>),
}

/// What the keeper is told.
#[derive(Debug)]
pub enum ReportEvent {
    /// The members changed.
    ViewChanged(Arc<view::MemberView>),
    /// This instance counted its traffic over the last period.
    Counted(Vec<RegionLoad>),
    /// A message of another instance.
    Received {
        /// Run of the sender's process.
        from: incarnation::Incarnation,
        /// What it sent.
        message: ReportMessage,
    },
}

/// A message that the keeper asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportAction {
    /// Peer address of the receiver.
    pub to: net::SocketAddr,
    /// What to send.
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

/// Keeps the newest counts and sums and decides whom to tell.
#[derive(Debug)]
pub struct ReportKeeper {
    name: Arc<str>,
    region: Arc<str>,
    own: incarnation::Incarnation,
    view: Arc<view::MemberView>,
    counts: collections::BTreeMap<incarnation::Incarnation, TimedCount>,
    sums: collections::BTreeMap<Arc<str>, TimedSum>,
    homes: collections::BTreeMap<Arc<str>, TimedTraffic>,
}

impl ReportKeeper {
    /// Makes the keeper of one instance.
    #[must_use]
    pub fn new(name: Arc<str>, region: Arc<str>, own: incarnation::Incarnation) -> Self {
        Self {
            name,
            region,
            own,
            view: Arc::default(),
            counts: collections::BTreeMap::new(),
            sums: collections::BTreeMap::new(),
            homes: collections::BTreeMap::new(),
        }
    }

    /// Takes in an event and adds what is to be sent.
    pub fn handle(
        &mut self,
        event: ReportEvent,
        now: entity_time::Timestamp,
        actions: &mut Vec<ReportAction>,
    ) {
        match event {
            ReportEvent::ViewChanged(view) => self.view = view,
            ReportEvent::Counted(loads) => self.report(loads, now, actions),
            ReportEvent::Received { from, message: ReportMessage::Counted(loads) } => {
                self.counts.insert(from, TimedCount { loads, received: now });
            }
            ReportEvent::Received { message: ReportMessage::Summed(sum), .. } => {
                self.keep_newer_sum(sum, now);
            }
            ReportEvent::Received { message: ReportMessage::Told(homes), .. } => {
                for traffic in homes {
                    self.keep_newer_traffic(traffic, now);
                }
            }
        }
    }

    /// Returns the newest traffic of each home region, with its age.
    #[must_use]
    pub fn homes(&self, now: entity_time::Timestamp) -> Vec<HomeTraffic> {
        self.homes.values().map(|timed| timed.aged(now)).collect()
    }

    fn report(
        &mut self,
        loads: Vec<RegionLoad>,
        now: entity_time::Timestamp,
        actions: &mut Vec<ReportAction>,
    ) {
        let reporter = self.reporter_of(&self.region);
        if let Some(reporter) = reporter.filter(|reporter| reporter.name != self.name) {
            let message = ReportMessage::Counted(loads);
            actions.push(ReportAction { to: reporter.peers, message });
            return;
        }
        self.counts.insert(self.own, TimedCount { loads, received: now });
        let sum = self.sum_up(now);
        self.tell_reporters(&sum, actions);
        self.keep_newer_sum(sum, now);
        self.add_up_homes(now);
        self.tell_region(now, actions);
    }

    fn sum_up(&mut self, now: entity_time::Timestamp) -> RegionSum {
        self.counts.retain(|_, count| now.since(count.received) <= COUNT_LIFETIME);
        let loads = add_up(self.counts.values().flat_map(|count| &count.loads));
        // Counts cover the period before they were made.
        RegionSum { region: Arc::clone(&self.region), loads, age: REPORT_PERIOD }
    }

    /// Adds up the traffic of each region that measured of late.
    fn add_up_homes(&mut self, now: entity_time::Timestamp) {
        self.sums.retain(|_, timed| timed.age(now) <= SUM_LIFETIME);
        for load in add_up(self.sums.values().flat_map(|timed| &timed.sum.loads)) {
            let Some(own) = self.sums.get(&load.home) else { continue };
            let age = own.age(now);
            let home = Arc::clone(&load.home);
            let traffic = HomeTraffic { home: load.home, offered: load.rate, age };
            self.homes.insert(home, TimedTraffic { traffic, received: now });
        }
    }

    fn tell_reporters(&self, sum: &RegionSum, actions: &mut Vec<ReportAction>) {
        for region in self.other_regions() {
            if let Some(reporter) = self.reporter_of(&region) {
                let message = ReportMessage::Summed(sum.clone());
                actions.push(ReportAction { to: reporter.peers, message });
            }
        }
    }

    fn tell_region(&self, now: entity_time::Timestamp, actions: &mut Vec<ReportAction>) {
        let homes = self.homes(now);
        for member in self.members_of(&self.region) {
            if member.name != self.name {
                let message = ReportMessage::Told(homes.clone());
                actions.push(ReportAction { to: member.peers, message });
            }
        }
    }

    fn keep_newer_sum(&mut self, sum: RegionSum, now: entity_time::Timestamp) {
        let known_age = self.sums.get(&sum.region).map(|timed| timed.age(now));
        if known_age.is_none_or(|age| sum.age < age) {
            let region = Arc::clone(&sum.region);
            self.sums.insert(region, TimedSum { sum, received: now });
        }
    }

    fn keep_newer_traffic(&mut self, traffic: HomeTraffic, now: entity_time::Timestamp) {
        let known_age = self.homes.get(&traffic.home).map(|timed| timed.aged(now).age);
        if known_age.is_none_or(|age| traffic.age < age) {
            let home = Arc::clone(&traffic.home);
            self.homes.insert(home, TimedTraffic { traffic, received: now });
        }
    }

    fn reporter_of<'a>(&'a self, region: &'a str) -> Option<&'a member::Member> {
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

/// Adds up loads by home region.
fn add_up<'a>(loads: impl Iterator<Item = &'a RegionLoad>) -> Vec<RegionLoad> {
    let mut rates: collections::BTreeMap<Arc<str>, f64> = collections::BTreeMap::new();
    for load in loads {
        *rates.entry(Arc::clone(&load.home)).or_default() += load.rate;
    }
    rates.into_iter().map(|(home, rate)| RegionLoad { home, rate }).collect()
}
