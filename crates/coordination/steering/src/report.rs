//! Measurements of traffic, summed by region and passed on.
//!
//! Each instance tells its counts to one reporter of its region; the reporter
//! tells the region's sum to the other reporters, and all sums to its own
//! region. Which member reports is a rendezvous hash over the live members: a
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

use crate::rendezvous;

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

/// What instances tell each other of their traffic.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportMessage {
    /// Counts of one instance, to its region's reporter.
    Counted(Vec<RegionLoad>),
    /// Sums of regions.
    Summed(Vec<RegionSum>),
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

    fn aged(&self, now: entity_time::Timestamp) -> RegionSum {
        RegionSum { age: self.age(now), ..self.sum.clone() }
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
            ReportEvent::Received { message: ReportMessage::Summed(sums), .. } => {
                for sum in sums {
                    self.keep_newer(sum, now);
                }
            }
        }
    }

    /// Returns the newest sums of all regions, with their ages.
    #[must_use]
    pub fn sums(&self, now: entity_time::Timestamp) -> Vec<RegionSum> {
        self.sums.values().map(|timed| timed.aged(now)).collect()
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
        self.sum_up(now);
        self.tell_reporters(now, actions);
        self.tell_region(now, actions);
    }

    fn sum_up(&mut self, now: entity_time::Timestamp) {
        self.counts.retain(|_, count| now.since(count.received) <= COUNT_LIFETIME);
        let mut rates: collections::BTreeMap<Arc<str>, f64> = collections::BTreeMap::new();
        for load in self.counts.values().flat_map(|count| &count.loads) {
            *rates.entry(Arc::clone(&load.home)).or_default() += load.rate;
        }
        let loads = rates.into_iter().map(|(home, rate)| RegionLoad { home, rate });
        // Counts cover the period before they were made.
        let sum = RegionSum {
            region: Arc::clone(&self.region),
            loads: loads.collect(),
            age: REPORT_PERIOD,
        };
        self.sums.insert(Arc::clone(&self.region), TimedSum { sum, received: now });
    }

    fn tell_reporters(&self, now: entity_time::Timestamp, actions: &mut Vec<ReportAction>) {
        let Some(own) = self.sums.get(&self.region) else { return };
        let message = ReportMessage::Summed(vec![own.aged(now)]);
        for region in self.other_regions() {
            if let Some(reporter) = self.reporter_of(&region) {
                actions.push(ReportAction { to: reporter.peers, message: message.clone() });
            }
        }
    }

    fn tell_region(&self, now: entity_time::Timestamp, actions: &mut Vec<ReportAction>) {
        let known = self.sums.values().filter(|timed| timed.age(now) <= SUM_LIFETIME);
        let sums: Vec<_> = known.map(|timed| timed.aged(now)).collect();
        for member in self.members_of(&self.region) {
            if member.name != self.name {
                let message = ReportMessage::Summed(sums.clone());
                actions.push(ReportAction { to: member.peers, message });
            }
        }
    }

    fn keep_newer(&mut self, sum: RegionSum, now: entity_time::Timestamp) {
        let known_age = self.sums.get(&sum.region).map(|timed| timed.age(now));
        if known_age.is_none_or(|age| sum.age < age) {
            let region = Arc::clone(&sum.region);
            self.sums.insert(region, TimedSum { sum, received: now });
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

/// Sums what all regions serve of the clients of one region.
#[must_use]
pub fn offered_by(sums: &[RegionSum], home: &str) -> f64 {
    let loads = sums.iter().flat_map(|sum| &sum.loads);
    loads.filter(|load| &*load.home == home).map(|load| load.rate).sum()
}
