//! Samples the slots of all backend servers during a load run.

use std::net;
use std::sync;
use std::time;

use marjoramwing_derives as derives;

use crate::control;
use crate::profile;
use crate::record;

const SAMPLE_PERIOD: time::Duration = time::Duration::from_millis(50);

/// A sample of the slots of all pools.
#[derives::value]
pub struct SlotSample {
    /// Index of the phase in the profile.
    pub phase: usize,
    /// Total number of slots.
    pub slots: u32,
    /// Number of slots in use.
    pub in_use: u32,
}

/// Free slots during a phase or an entire run, as a fraction of all slots.
#[derives::document]
#[derive(Copy, Default)]
pub struct HeadroomReport {
    /// Mean over the samples.
    pub mean: f64,
    /// Minimum of the samples.
    pub least: f64,
    /// Number of samples.
    pub samples: u64,
}

impl HeadroomReport {
    /// Aggregates samples; the report of no samples is all zeros.
    pub fn of<'a>(samples: impl Iterator<Item = &'a SlotSample>) -> Self {
        let free = samples.map(|sample| {
            f64::from(sample.slots.saturating_sub(sample.in_use)) / f64::from(sample.slots.max(1))
        });
        let free: Vec<f64> = free.collect();
        if free.is_empty() {
            return Self::default();
        }
        Self {
            mean: free.iter().sum::<f64>() / free.len() as f64,
            least: free.iter().copied().fold(f64::INFINITY, f64::min),
            samples: free.len() as u64,
        }
    }
}

/// Samples the slots until the last phase has ended.
pub(crate) async fn sample_slots(
    http: control::HttpClient,
    profile: sync::Arc<profile::LoadProfile>,
    started: tokio::time::Instant,
) -> Vec<SlotSample> {
    let mut samples = Vec::new();
    let mut phase_end = started;
    for (phase, load) in profile.phases.iter().enumerate() {
        phase_end += time::Duration::from_secs(load.seconds);
        while tokio::time::Instant::now() < phase_end {
            if let Some(sum) = sum_slots(&http, &profile.backends).await {
                samples.push(SlotSample { phase, slots: sum.slots, in_use: sum.in_use });
            }
            tokio::time::sleep(SAMPLE_PERIOD).await;
        }
    }
    samples
}

/// Returns the sum over the pools, or `None` if a server does not return its slots.
async fn sum_slots(
    http: &control::HttpClient,
    backends: &[net::SocketAddr],
) -> Option<record::SlotUse> {
    let mut sum = record::SlotUse::default();
    for address in backends {
        let slots: record::SlotUse = control::fetch(http, *address, "/control/slots").await.ok()?;
        sum.slots += slots.slots;
        sum.in_use += slots.in_use;
    }
    Some(sum)
}
