//! Shares the requests that end backend servers with the other instances, and keeps them in the store.
//!
//! Changes are sent to all at once. What is lost on the way is made up for by what each instance sends
//! to a random other one now and then, and by the store after all processes have ended.

use std::sync;
use std::time;

use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::suspect;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_object_api::quarantine as document;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_peer::message;
use marjoramwing_peer::quarantine as messages;
use marjoramwing_store_client::client;
use rand::seq::IteratorRandom;

use crate::peers::mesh;
use crate::shared;

/// Interval at which all that is known is sent to a random instance.
const REPAIR_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Delay before a change is written, in which further ones are collected.
const WRITE_DELAY: time::Duration = time::Duration::from_millis(300);
/// Initial and maximum delay before a failed call is retried.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(4);
/// Maximum number of requests that are kept in the store.
const MAX_KEPT: usize = 512;
/// Name of the only object of its kind.
const OBJECT: &str = "requests";

/// Reports what this instance learns to the others until the task is cancelled.
pub async fn share_suspects(shared: sync::Arc<shared::InstanceState>, mesh: mesh::PeerMesh) {
    let mut ticks = tokio::time::interval(REPAIR_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            reports = shared.quarantine.next_reports(|| shared.now()) => {
                for body in make_messages(&reports) {
                    mesh.send_to_others(&body);
                }
            }
            _ = ticks.tick() => repair_one(&shared, &mesh),
        }
    }
}

fn repair_one(shared: &shared::InstanceState, mesh: &mesh::PeerMesh) {
    let reports = shared.quarantine.refresh(shared.now());
    let members = shared.members.load();
    let others = members.live().filter(|member| member.incarnation != Some(shared.incarnation));
    let Some(member) = others.choose(&mut rand::rng()) else { return };
    if let Some(body) = make_messages(&reports).next() {
        mesh.send(member.peer_address, body);
    }
}

fn make_messages(reports: &[suspect::SuspectReport]) -> impl Iterator<Item = message::Body> {
    reports.chunks(messages::MAX_REPORTS).map(|chunk| {
        let suspects = chunk.iter().map(messages::SuspectReport::from).collect();
        message::Body::Quarantine(messages::SuspectReports { suspects })
    })
}

/// Records what another instance reports; drops what is not well-formed.
pub fn receive_suspects(shared: &shared::InstanceState, raw: messages::SuspectReports) {
    let suspects = raw.suspects.into_iter().take(messages::MAX_REPORTS);
    let reports: Vec<_> = suspects.filter_map(|raw| raw.try_into().ok()).collect();
    shared.quarantine.record_reports(&reports, shared.now());
}

/// Reads what the store keeps, then writes what this instance learns until the task is cancelled.
pub async fn keep_suspects(shared: sync::Arc<shared::InstanceState>, client: client::StoreClient) {
    let mut delay = FIRST_RETRY_DELAY;
    while read_object(&shared, &client).await.is_none() {
        pause(&mut delay).await;
    }
    loop {
        shared.quarantine.lasting_change().await;
        tokio::time::sleep(WRITE_DELAY).await;
        let mut delay = FIRST_RETRY_DELAY;
        while !write_object(&shared, &client).await {
            pause(&mut delay).await;
        }
    }
}

async fn pause(delay: &mut time::Duration) {
    tokio::time::sleep(delay.mul_f64(rand::random_range(0.75..1.25))).await;
    *delay = (*delay * 2).min(MAX_RETRY_DELAY);
}

fn object_name() -> object::ObjectName {
    object::ObjectName::new(object::ObjectKind::Quarantine, OBJECT)
}

/// Reads and records the object; returns its version, if there is one, or `None` if the call failed.
async fn read_object(
    shared: &shared::InstanceState,
    client: &client::StoreClient,
) -> Option<Option<object::ObjectVersion>> {
    match client.run(&operation::StoreOperation::Read(object_name())).await {
        operation::StoreAnswer::Found(stored) => {
            match serde_json::from_slice::<document::QuarantineDocument>(&stored.value) {
                Ok(document) => {
                    let reports = document.requests.iter().filter_map(read_request);
                    let reports: Vec<_> = reports.take(MAX_KEPT).collect();
                    shared.quarantine.record_reports(&reports, shared.now());
                }
                // The next write replaces it.
                Err(error) => {
                    emit!(catalogue::STORE_CALL_FAILED, kind = %object::ObjectKind::Quarantine,
                        error = %error);
                }
            }
            Some(Some(stored.version))
        }
        operation::StoreAnswer::Missing => Some(None),
        answer => {
            emit!(catalogue::STORE_CALL_FAILED, kind = %object::ObjectKind::Quarantine,
                answer = ?answer);
            None
        }
    }
}

/// Merges what this instance knows into the object; returns false if that must be repeated.
async fn write_object(shared: &shared::InstanceState, client: &client::StoreClient) -> bool {
    let Some(expected) = read_object(shared, client).await else { return false };
    let reports = shared.quarantine.lasting_reports(shared.now());
    let requests = reports.iter().take(MAX_KEPT).map(make_request).collect();
    let value = serde_json::to_vec(&document::QuarantineDocument { requests });
    let value = value.expect("the document has only string keys").into();
    let write = operation::ConditionalWrite { name: object_name(), expected, value };
    let answer = client.run(&operation::StoreOperation::Write(write)).await;
    matches!(answer, operation::StoreAnswer::Written(_))
}

fn unix_now_ms() -> u64 {
    let since_epoch = time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn make_request(report: &suspect::SuspectReport) -> document::QuarantinedRequest {
    let crashes = report.crashes.iter().map(|crash| document::QuarantinedCrash {
        run: format!("{:016x}", crash.id.as_u64()),
        excused: crash.excused,
    });
    let age_ms = u64::try_from(report.crash_age.as_millis()).unwrap_or(u64::MAX);
    document::QuarantinedRequest {
        content: report.content.to_string(),
        sender: format!("{:016x}", report.sender.as_u64()),
        crashes: crashes.collect(),
        crashed_at_ms: unix_now_ms().saturating_sub(age_ms),
    }
}

/// Returns what is kept of a request; `None` if that is not well-formed.
fn read_request(kept: &document::QuarantinedRequest) -> Option<suspect::SuspectReport> {
    let content: fingerprint::ContentFingerprint = kept.content.parse().ok()?;
    let crashes = kept.crashes.iter().map(|crash| {
        let id = suspect::CrashId::from_u64(u64::from_str_radix(&crash.run, 16).ok()?);
        Some(suspect::SuspectCrash { id, excused: crash.excused })
    });
    let crash_age = time::Duration::from_millis(unix_now_ms().saturating_sub(kept.crashed_at_ms));
    let trial_left = time::Duration::ZERO;
    let sender = u64::from_str_radix(&kept.sender, 16).ok()?;
    Some(suspect::SuspectReport {
        content,
        sender: suspect::SenderId::from_u64(sender),
        crashes: crashes.collect::<Option<_>>()?,
        crash_age,
        trial_left,
    })
}
