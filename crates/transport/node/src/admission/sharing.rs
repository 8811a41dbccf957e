//! Tells the other instances the demand that this one sees.

use std::sync;

use marjoramwing_ledger::split;
use marjoramwing_membership::member;
use marjoramwing_peer::demand;
use marjoramwing_peer::message;

use crate::peers::mesh;
use crate::shared;

/// Reports demand until the task is cancelled.
pub async fn share_demand(shared: sync::Arc<shared::SharedTables>, mesh: mesh::PeerMesh) {
    let mut ticks = tokio::time::interval(split::REPORT_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let members = shared.members.load_full();
        let others = members
            .members
            .iter()
            .filter(|member| member.incarnation.is_some_and(|run| run != shared.incarnation));
        let runs: Vec<_> = others.clone().filter_map(describe).collect();
        let demands = shared.admission.step_split(&runs, shared.now());
        let report = demand::Demand::from(&*demands);
        for member in others {
            mesh.send(member.peers, message::Body::Demand(report.clone()));
        }
    }
}

fn describe(member: &member::Member) -> Option<split::SplitMember> {
    Some(split::SplitMember {
        incarnation: member.incarnation?,
        name: sync::Arc::clone(&member.name),
        is_leaving: member.state == member::MemberState::Leaving,
    })
}
