//! Task that drives the membership keeper.

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

/// Capacity of the task's event queue.
pub const EVENT_QUEUE: usize = 1_024;
/// Interval between ticks of the keeper.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Executes the actions of the membership keeper.
#[derive(Debug)]
pub struct MembershipDriver {
    shared: sync::Arc<shared::InstanceState>,
    mesh: mesh::PeerMesh,
    events: mpsc::Receiver<keeper::MembershipEvent>,
    keeper: keeper::MembershipKeeper,
    rng: rand_pcg::Pcg64Mcg,
    /// Whether this instance has been announced as serving.
    is_serving: bool,
}

impl MembershipDriver {
    /// Creates a driver whose view holds only its own instance.
    #[must_use]
    pub fn new(
        shared: sync::Arc<shared::InstanceState>,
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
        Self { shared, mesh, events, keeper, rng, is_serving: false }
    }

    /// Handles events and ticks until all event senders are dropped.
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
            self.announce_if_ready();
            self.shared.dispatch.end_startup();
        }
        self.apply(event);
    }

    /// Announces this instance as serving once it is ready.
    fn announce_if_ready(&mut self) {
        if !self.is_serving && self.shared.is_ready() {
            self.is_serving = true;
            self.apply(keeper::MembershipEvent::Serve);
        }
    }

    fn apply(&mut self, event: keeper::MembershipEvent) {
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

/// Returns the profile that this instance announces to its peers.
pub(crate) fn own_profile(shared: &shared::InstanceState) -> member::MemberProfile {
    let settings = &shared.settings;
    member::MemberProfile {
        name: settings.identity.name.text(),
        caller_address: settings.listen.callers,
        peer_address: settings.listen.peers,
        site: settings.identity.site.text(),
        region: settings.identity.region.text(),
        failure_domain: settings.identity.failure_domain.text(),
    }
}
