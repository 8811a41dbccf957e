//! Exchanges the limits that backend servers name with the other instances.

use std::sync;
use std::time;

use marjoramwing_dispatch::statement;
use marjoramwing_peer::limits;
use marjoramwing_peer::message;
use marjoramwing_tables::name;

use crate::peers::mesh;
use crate::shared;

/// Interval at which limits are reported.
const REPORT_PERIOD: time::Duration = time::Duration::from_millis(500);
/// Maximum number of limits in one message.
const MAX_REPORTED: usize = 256;

/// Reports the limits that this instance has read to the others until the task is cancelled.
pub async fn share_limits(shared: sync::Arc<shared::InstanceState>, mesh: mesh::PeerMesh) {
    let mut ticks = tokio::time::interval(REPORT_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shared.dispatch.close_relayed();
        for (pool, reports) in shared.dispatch.take_limit_reports() {
            for chunk in reports.chunks(MAX_REPORTED) {
                let raw = limits::ServerLimits::new(&pool, chunk);
                mesh.send_to_others(&message::Body::Limits(raw));
            }
        }
    }
}

/// Records the limits that another instance reports; drops those of an unknown pool.
pub fn receive_limits(shared: &shared::InstanceState, raw: limits::ServerLimits) {
    let pool = name::PoolName::of_text(&sync::Arc::from(raw.pool));
    let Some(service) = shared.dispatch.service(&pool) else { return };
    let reports: Vec<_> = raw.limits.into_iter().map(statement::LimitReport::from).collect();
    service.record_limit_reports(&reports);
}
