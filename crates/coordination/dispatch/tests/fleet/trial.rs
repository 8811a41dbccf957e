//! Simulation of arrivals, service times and network delays from one seed.

use std::cmp;
use std::collections;
use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::policy;
use marjoramwing_dispatch::queue;
use marjoramwing_dispatch::service;
use marjoramwing_entity::primary;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;
use rand::RngExt;
use rand::SeedableRng;

pub(crate) const SLOTS: u32 = 3;
pub(crate) const SERVERS: usize = 12;
const INSTANCE_REGIONS: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];
const REGIONS: usize = 3;
const LOCAL_DELAY_US: u64 = 1_000;
const SKEW_PERIOD_US: u64 = 20_000_000;
const DEADLINE: duration::Duration = duration::Duration::from_secs(5);

/// Parameters of a simulation.
#[derive(Clone, Copy)]
pub(crate) struct TrialSetup {
    pub(crate) policy: policy::DispatchPolicy,
    /// Offered load as a share of all slots.
    pub(crate) load: f64,
    /// Share of arrivals at the busiest instance, which changes every 20 s.
    pub(crate) skew: f64,
    /// One-way delay between regions.
    pub(crate) region_delay_us: u64,
    /// Whether servers report too few open requests.
    pub(crate) underreports: bool,
    /// Period over which requests arrive.
    pub(crate) span_us: u64,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub(crate) struct TrialCounts {
    pub(crate) requests: u64,
    pub(crate) sheds: u64,
    /// Requests that expired, or that found the queue full or no server.
    pub(crate) dropped: u64,
    pub(crate) latencies_us: Vec<u64>,
    /// Slots that were idle while requests were queued, as a share of all slot time.
    pub(crate) idle_share: f64,
}

impl TrialCounts {
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        sorted[((sorted.len() - 1) as f64 * quantile) as usize] as f64 / 1_000.0
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Deliver { request: usize, server: usize },
    Complete { request: usize, server: usize },
    Respond { request: usize, server: usize, answered: bool, open: u32 },
    Wake { instance: usize },
}

struct Request {
    instance: usize,
    arrived_us: u64,
    sent_us: u64,
}

struct Instance {
    dispatcher: service::ServiceDispatcher,
    queued: collections::HashMap<queue::TicketKey, usize>,
    wake_us: u64,
}

pub(crate) struct FleetTrial {
    setup: TrialSetup,
    instances: Vec<Instance>,
    busy: Vec<u32>,
    requests: Vec<Request>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, usize, Event)>>,
    sequence: usize,
    rng: rand_pcg::Pcg64,
    counts: TrialCounts,
    idle_slot_us: u64,
    now_us: u64,
}

pub(crate) fn address(server: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(server).unwrap()))
}

pub(crate) fn make_pool(servers: impl Iterator<Item = usize>) -> pool::Pool {
    let text = |text: &str| Arc::<str>::from(text);
    let server = |server| pool::BackendServer {
        address: address(server),
        failure_domain: name::FailureDomainName::try_from(&text("a")).unwrap(),
        slots: SLOTS,
        draining: false,
        registered: None,
    };
    let servers: primary::PrimaryMap<_, _> = servers.map(server).collect();
    pool::Pool { name: name::PoolName::try_from(&text("web")).unwrap(), servers, cold_start: None }
}

impl FleetTrial {
    pub(crate) fn run(setup: TrialSetup, seed: u64) -> TrialCounts {
        let instance = |_| {
            let mut dispatcher = service::ServiceDispatcher::new(setup.policy);
            dispatcher.set_servers(&make_pool(0..SERVERS), time::Timestamp::ZERO);
            Instance { dispatcher, queued: collections::HashMap::new(), wake_us: 0 }
        };
        let mut trial = Self {
            setup,
            instances: (0..INSTANCE_REGIONS.len()).map(instance).collect(),
            busy: vec![0; SERVERS],
            requests: Vec::new(),
            events: collections::BinaryHeap::new(),
            sequence: 0,
            rng: rand_pcg::Pcg64::seed_from_u64(seed),
            counts: TrialCounts::default(),
            idle_slot_us: 0,
            now_us: 0,
        };
        trial.schedule(0, Event::Arrive);
        while let Some(cmp::Reverse((at_us, _, event))) = trial.events.pop() {
            trial.count_idle(at_us);
            trial.now_us = at_us;
            trial.handle(event);
        }
        let slots_us = f64::from(SLOTS) * SERVERS as f64 * setup.span_us as f64;
        trial.counts.idle_share = trial.idle_slot_us as f64 / slots_us;
        trial.counts
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Deliver { request, server } => self.deliver(request, server),
            Event::Complete { request, server } => {
                let open = self.busy[server];
                self.busy[server] -= 1;
                self.respond(request, server, true, open);
            }
            Event::Respond { request, server, answered, open } => {
                self.receive(request, server, answered, open);
            }
            Event::Wake { instance } => self.dispatch_queued(instance),
        }
    }

    fn arrive(&mut self) {
        if self.now_us >= self.setup.span_us {
            return;
        }
        const MEAN_SERVICE_US: f64 = 40_000.0;
        let rate = self.setup.load * f64::from(SLOTS) * SERVERS as f64 / MEAN_SERVICE_US;
        let gap_us = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(gap_us as u64 + 1, Event::Arrive);
        let busiest = (self.now_us / SKEW_PERIOD_US) as usize * 3 % INSTANCE_REGIONS.len();
        let skewed = self.rng.random_bool(self.setup.skew);
        let instance =
            if skewed { busiest } else { self.rng.random_range(0..INSTANCE_REGIONS.len()) };
        self.counts.requests += 1;
        let (arrived_us, sent_us) = (self.now_us, self.now_us);
        self.requests.push(Request { instance, arrived_us, sent_us });
        self.request_slot(self.requests.len() - 1);
    }

    fn request_slot(&mut self, request: usize) {
        let Request { instance, arrived_us, .. } = self.requests[request];
        let slot_request = queue::SlotRequest {
            team: Arc::from("team"),
            deadline: time::Timestamp::from_micros(arrived_us) + DEADLINE,
            bytes: 0,
            excluded: Vec::new(),
            regions: None,
            session: None,
            target_time: None,
        };
        let (seed, now) = (self.rng.random(), self.now());
        match self.instances[instance].dispatcher.request_slot(slot_request, seed, now) {
            service::SlotOutcome::Granted(server) => self.send(request, server),
            service::SlotOutcome::Queued { ticket, .. } => {
                self.instances[instance].queued.insert(ticket, request);
                self.schedule_wake(instance);
            }
            service::SlotOutcome::Full
            | service::SlotOutcome::NoServer
            | service::SlotOutcome::Limited { .. }
            | service::SlotOutcome::Stopping => {
                self.counts.dropped += 1;
            }
        }
    }

    fn dispatch_queued(&mut self, instance: usize) {
        let (seed, now) = (self.rng.random(), self.now());
        let batch = self.instances[instance].dispatcher.dispatch_queued(seed, now);
        for grant in batch.granted {
            let request = self.instances[instance].queued.remove(&grant.ticket).unwrap();
            self.send(request, grant.server);
        }
        self.counts.dropped += batch.expired.len() as u64;
        self.schedule_wake(instance);
    }

    fn schedule_wake(&mut self, instance: usize) {
        let now = self.now();
        let Some(at) = self.instances[instance].dispatcher.next_wakeup(now) else { return };
        let pending_us = self.instances[instance].wake_us;
        if pending_us <= self.now_us || at.as_micros() < pending_us {
            self.instances[instance].wake_us = at.as_micros();
            self.schedule(at.as_micros() - self.now_us, Event::Wake { instance });
        }
    }

    fn send(&mut self, request: usize, address: net::SocketAddr) {
        let server = usize::from(address.port()) - 1_000;
        self.requests[request].sent_us = self.now_us;
        let delay_us = self.delay_us(request, server);
        self.schedule(delay_us, Event::Deliver { request, server });
    }

    fn deliver(&mut self, request: usize, server: usize) {
        if self.busy[server] >= SLOTS {
            self.counts.sheds += 1;
            return self.respond(request, server, false, self.busy[server]);
        }
        self.busy[server] += 1;
        let service_us = if self.rng.random_bool(0.8) { 20_000 } else { 120_000 };
        self.schedule(service_us, Event::Complete { request, server });
    }

    fn respond(&mut self, request: usize, server: usize, answered: bool, open: u32) {
        let open = if self.setup.underreports { 1 } else { open };
        let delay_us = self.delay_us(request, server);
        self.schedule(delay_us, Event::Respond { request, server, answered, open });
    }

    fn receive(&mut self, request: usize, server: usize, answered: bool, open: u32) {
        let Request { instance, arrived_us, sent_us } = self.requests[request];
        let latency = duration::Duration::from_micros(self.now_us - sent_us);
        let result = if answered {
            picker::ReportedResult::Answered(latency)
        } else {
            picker::ReportedResult::Shed
        };
        let report = picker::AttemptReport { result, open_requests: Some(open) };
        let now = self.now();
        self.instances[instance].dispatcher.release_slot(address(server), report, now);
        if answered {
            self.counts.latencies_us.push(self.now_us - arrived_us);
        } else {
            self.request_slot(request);
        }
        self.dispatch_queued(instance);
    }

    fn count_idle(&mut self, until_us: u64) {
        let queued: usize = self.instances.iter().map(|instance| instance.queued.len()).sum();
        let free: u32 = self.busy.iter().map(|busy| SLOTS - busy).sum();
        let idle = u64::from(free).min(queued as u64);
        self.idle_slot_us += idle * (until_us - self.now_us);
    }

    fn delay_us(&self, request: usize, server: usize) -> u64 {
        let region = INSTANCE_REGIONS[self.requests[request].instance];
        if region == server % REGIONS { LOCAL_DELAY_US } else { self.setup.region_delay_us }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn now(&self) -> time::Timestamp {
        time::Timestamp::from_micros(self.now_us)
    }
}
