//! Reports the demand seen by this instance to its peers.

use std::sync;

use marjoramwing_ledger::split;
use marjoramwing_membership::member;
use marjoramwing_peer::demand;
use marjoramwing_peer::message;

use crate::peers::mesh;
use crate::shared;

/// Recomputes the split limits and reports demand periodically until the task is cancelled.
pub async fn share_demand(shared: sync::Arc<shared::InstanceState>, mesh: mesh::PeerMesh) {
    let mut ticks = tokio::time::interval(split::REPORT_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let members = shared.members.load_full();
        let others = members
            .members
            .iter()
            .filter(|member| member.incarnation.is_some_and(|other| other != shared.incarnation));
        let split_members: Vec<_> = others.clone().filter_map(split_member).collect();
        let demands = shared.admission.step_split(&split_members, shared.now());
        let report = demand::Demand::from(&*demands);
        for member in others {
            mesh.send(member.peer_address, message::Body::Demand(report.clone()));
        }
    }
}

fn split_member(member: &member::Member) -> Option<split::SplitMember> {
    Some(split::SplitMember {
        incarnation: member.incarnation?,
        name: sync::Arc::clone(&member.name),
        is_leaving: member.state == member::MemberState::Leaving,
    })
}
