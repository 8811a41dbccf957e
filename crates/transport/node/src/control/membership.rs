//! Drives the decisions on membership.

use std::sync;
use std::time;

use marjoramwing_membership::keeper;
use marjoramwing_membership::member;
use marjoramwing_membership::settings;
use marjoramwing_peer::message;
use rand::SeedableRng;
use tokio::sync::mpsc;

use crate::peers::mesh;
use crate::shared;

/// Events that wait for the task.
pub const EVENT_QUEUE: usize = 1_024;
/// Time between two ticks of the decisions.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Carries out what the membership keeper decides.
#[derive(Debug)]
pub struct MembershipDriver {
    shared: sync::Arc<shared::SharedTables>,
    mesh: mesh::PeerMesh,
    events: mpsc::Receiver<keeper::MembershipEvent>,
    keeper: keeper::MembershipKeeper,
    rng: rand_pcg::Pcg64Mcg,
    /// Whether others were told that this instance takes requests.
    serving: bool,
}

impl MembershipDriver {
    /// Makes a driver that knows only its own instance.
    #[must_use]
    pub fn new(
        shared: sync::Arc<shared::SharedTables>,
        mesh: mesh::PeerMesh,
        events: mpsc::Receiver<keeper::MembershipEvent>,
    ) -> Self {
        let keeper = keeper::MembershipKeeper::new(
            own_profile(&shared),
            shared.incarnation,
            settings::MembershipSettings::default(),
            shared.now(),
        );
        let rng = rand_pcg::Pcg64Mcg::seed_from_u64(rand::random());
        shared.publish_members(keeper.view());
        Self { shared, mesh, events, keeper, rng, serving: false }
    }

    /// Runs until all senders of events are gone or the instance stops.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                event = self.events.recv() => event,
                _ = ticks.tick() => Some(keeper::MembershipEvent::Tick),
            };
            let Some(event) = event else { return };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: keeper::MembershipEvent) {
        if matches!(event, keeper::MembershipEvent::Tick) {
            let dump = self.keeper.dump(self.shared.now());
            self.shared.control.set_membership(dump, self.mesh.link_count());
            self.serve_once_ready();
        }
        self.decide(event);
    }

    /// Tells others that this instance takes requests, once it has its tables.
    fn serve_once_ready(&mut self) {
        if !self.serving && self.shared.is_ready() {
            self.serving = true;
            self.decide(keeper::MembershipEvent::Serve);
        }
    }

    fn decide(&mut self, event: keeper::MembershipEvent) {
        let mut actions = Vec::new();
        self.keeper.handle(event, self.shared.now(), &mut self.rng, &mut actions);
        for action in actions {
            match action {
                keeper::MembershipAction::Send { address, message } => {
                    self.mesh.send(address, message::Body::Membership(message.into()));
                }
                keeper::MembershipAction::ResetLink { address } => self.mesh.reset(address),
                keeper::MembershipAction::ViewChanged => {
                    self.shared.publish_members(self.keeper.view());
                }
            }
        }
    }
}

/// Returns what this instance tells of itself.
pub(crate) fn own_profile(shared: &shared::SharedTables) -> member::MemberProfile {
    let settings = &shared.settings;
    member::MemberProfile {
        name: settings.identity.name.text(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        site: settings.identity.site.text(),
        region: settings.identity.region.text(),
        failure_domain: settings.identity.failure_domain.text(),
    }
}
