//! A fleet that meets one deadly request, and requests that run beside it.
//!
//! Guards against server after server ended by one request, on fleets of all sizes in force, with
//! links between instances as slow as 60 ms, and against other requests that are held for it.

use std::collections;
use std::time as duration;

use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::quarantine;
use marjoramwing_dispatch::suspect;
use marjoramwing_entity::time;
use marjoramwing_testing::cases;
use rand::RngExt;
use rand::SeedableRng;

use quarantine::CopyRole;
use quarantine::QuarantineVerdict;

/// One-way delay between two instances.
const DELAYS_MS: std::ops::Range<u64> = 1..60;
/// Time from the start of a deadly request to the end of its server.
const DEADLY_RUN_MS: std::ops::Range<u64> = 20..70;
/// Time that other requests take.
const RUN_MS: std::ops::Range<u64> = 200..900;
/// Time after which an instance knows why an attempt broke off.
const PROBE_MS: u64 = 60;
/// Copies are sent for this time; the rest shows what comes after.
const COPIES_END_MS: u64 = 60_000;
const END_MS: u64 = 70_000;
/// Requests that run beside the deadly one, at each server.
const SLOTS: usize = 9;

const DEADLY: u64 = 0;

#[derive(Clone, Copy)]
struct Copy {
    instance: usize,
    content: u64,
    role: CopyRole,
}

enum Event {
    Arrive(Copy),
    Report(usize, suspect::SuspectReport),
    /// A server ends, and with it the copies that run there.
    End(usize),
    Answer(Copy, usize),
    Witness(Copy, suspect::CrashId),
    /// An instance sends all it knows to a random other one.
    Repair(usize),
}

struct SimulatedFleet {
    instances: Vec<quarantine::RequestQuarantine>,
    events: collections::BTreeMap<(u64, u64), Event>,
    number: u64,
    /// What runs at each server, and the number of its run.
    servers: Vec<(Vec<Copy>, u64)>,
    ended: usize,
    /// Other requests that were refused since they were held.
    held: usize,
    asked: usize,
    /// Share of the reports that are lost.
    loss: f64,
    rng: rand_pcg::Pcg64Mcg,
}

fn sender() -> suspect::SenderId {
    suspect::SenderId::of("team")
}

fn content(number: u64) -> fingerprint::ContentFingerprint {
    fingerprint::ContentFingerprint::from_halves(number, number)
}

impl SimulatedFleet {
    fn new(size: usize, servers: usize, loss: f64, seed: u64) -> Self {
        let names = (0..size).map(|index| format!("edge-{index}"));
        Self {
            instances: names.map(|name| quarantine::RequestQuarantine::new(&name)).collect(),
            events: collections::BTreeMap::new(),
            number: 0,
            servers: vec![(Vec::new(), 0); servers],
            ended: 0,
            held: 0,
            asked: 0,
            loss,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.events.insert((at_ms, self.number), event);
    }

    /// Schedules the deadly copies and others, of which a tenth have one of ten popular contents.
    fn schedule(&mut self, deadly_per_s: u64, others_per_s: u64) {
        for (rate, is_deadly) in [(deadly_per_s, true), (others_per_s, false)] {
            for index in 0..rate * COPIES_END_MS / 1_000 {
                let at_ms = self.rng.random_range(0..COPIES_END_MS);
                let content = match (is_deadly, self.rng.random_range(0..10)) {
                    (true, _) => DEADLY,
                    (false, 0) => 1 + index % 10,
                    (false, _) => 1_000 + index,
                };
                let instance = self.rng.random_range(0..self.instances.len());
                self.push(at_ms, Event::Arrive(Copy { instance, content, role: CopyRole::Other }));
            }
        }
    }

    fn run(&mut self) {
        for instance in 0..self.instances.len() {
            self.push(0, Event::Repair(instance));
        }
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms >= END_MS {
                return;
            }
            self.handle(event, at_ms);
        }
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        let now = time::Timestamp::from_millis(now_ms);
        match event {
            Event::Arrive(copy) => self.arrive(copy, now_ms),
            Event::Report(instance, report) => {
                self.instances[instance].record_report(&report, now);
            }
            Event::End(server) => {
                let (copies, run) = std::mem::take(&mut self.servers[server]);
                self.servers[server].1 = run + 1;
                self.ended += 1;
                let crash = suspect::CrashId::new(&format!("server-{server}"), run);
                for copy in copies {
                    self.instances[copy.instance].record_break(content(copy.content), now);
                    self.send_reports(copy.instance, now_ms);
                    self.push(now_ms + PROBE_MS, Event::Witness(copy, crash));
                }
            }
            Event::Answer(copy, server) => {
                let running = &mut self.servers[server].0;
                let found = running.iter().position(|other| {
                    (other.instance, other.content) == (copy.instance, copy.content)
                });
                let Some(index) = found else { return };
                running.swap_remove(index);
                self.instances[copy.instance].record_answer(content(copy.content));
                self.send_reports(copy.instance, now_ms);
            }
            Event::Repair(instance) => {
                let to = self.rng.random_range(0..self.instances.len());
                for report in self.instances[instance].all_reports(now) {
                    self.send_report(to, &report, now_ms);
                }
                self.push(now_ms + 1_000, Event::Repair(instance));
            }
            Event::Witness(copy, crash) => {
                self.instances[copy.instance].record_crash(
                    content(copy.content),
                    sender(),
                    crash,
                    now,
                );
                self.send_reports(copy.instance, now_ms);
                self.arrive(Copy { role: CopyRole::Witness, ..copy }, now_ms);
            }
        }
    }

    fn arrive(&mut self, copy: Copy, now_ms: u64) {
        let now = time::Timestamp::from_millis(now_ms);
        let is_other = copy.content != DEADLY;
        self.asked += usize::from(is_other && copy.role == CopyRole::Other);
        let known = &mut self.instances[copy.instance];
        match known.begin_attempt(content(copy.content), sender(), copy.role, now) {
            QuarantineVerdict::Run | QuarantineVerdict::Trial => self.start(copy, now_ms),
            QuarantineVerdict::Wait(until) => {
                // A request waits for what another one shows; here it asks often.
                let again_ms = (until.as_micros() / 1_000).clamp(now_ms + 1, now_ms + 20);
                self.push(again_ms, Event::Arrive(copy));
                self.asked -= usize::from(is_other && copy.role == CopyRole::Other);
            }
            QuarantineVerdict::Held(_) => self.held += usize::from(is_other),
        }
        self.send_reports(copy.instance, now_ms);
    }

    fn start(&mut self, copy: Copy, now_ms: u64) {
        let server = self.rng.random_range(0..self.servers.len());
        let (copies, _) = &mut self.servers[server];
        if copies.len() >= SLOTS {
            return;
        }
        copies.push(copy);
        if copy.content == DEADLY {
            let end_ms = now_ms + self.rng.random_range(DEADLY_RUN_MS);
            self.push(end_ms, Event::End(server));
        } else {
            let end_ms = now_ms + self.rng.random_range(RUN_MS);
            self.push(end_ms, Event::Answer(copy, server));
        }
    }

    fn send_reports(&mut self, from: usize, now_ms: u64) {
        let now = time::Timestamp::from_millis(now_ms);
        for report in self.instances[from].take_reports(now) {
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                self.send_report(to, &report, now_ms);
            }
        }
    }

    fn send_report(&mut self, to: usize, report: &suspect::SuspectReport, now_ms: u64) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let delay_ms = self.rng.random_range(DELAYS_MS);
        let age = report.crash_age + duration::Duration::from_millis(delay_ms);
        let report = suspect::SuspectReport { crash_age: age, ..report.clone() };
        self.push(now_ms + delay_ms, Event::Report(to, report));
    }
}

/// Highest share of other requests that may be refused since they ran beside the deadly one.
const MAX_HELD_SHARE: f64 = 0.001;

fn check_fleet(size: usize, servers: usize, deadly_per_s: u64, loss: f64, max_ended: usize) {
    for seed in 0..5 {
        let mut fleet = SimulatedFleet::new(size, servers, loss, seed);
        fleet.schedule(deadly_per_s, 100);
        fleet.run();
        let held = fleet.held as f64 / fleet.asked as f64;
        assert!((1..=max_ended).contains(&fleet.ended), "seed {seed}: {} ended", fleet.ended);
        assert!(held <= MAX_HELD_SHARE, "seed {seed}: {held} of the others held");
    }
}

cases! { check_fleet:
    seven_instances_lose_few_servers => (7, 14, 5, 0.0, 5);
    twenty_two_instances_lose_few_servers => (22, 168, 32, 0.0, 10);
    thirty_one_instances_lose_few_servers => (31, 134, 33, 0.0, 10);
    a_hundred_and_nineteen_instances_lose_few_servers => (119, 353, 45, 0.0, 10);
    rare_copies_end_few_servers => (7, 14, 1, 0.0, 5);
    few_servers_end_though_reports_are_lost => (7, 14, 5, 0.3, 5);
    few_servers_end_though_reports_are_lost_in_a_large_fleet => (119, 353, 45, 0.1, 10);
}
