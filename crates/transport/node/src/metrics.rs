//! Counters and gauges of an instance, in the form that Prometheus reads.

use prometheus::core::Collector;

/// All metrics of one instance.
#[derive(Debug, Clone)]
pub struct InstanceMetrics {
    registry: prometheus::Registry,
    /// Requests by route and outcome.
    pub requests: prometheus::IntCounterVec,
    /// Attempts at backend servers by result.
    pub attempts: prometheus::IntCounterVec,
    /// Look-ups answered.
    pub lookups: prometheus::IntCounter,
    /// Requests open now.
    pub open_requests: prometheus::IntGauge,
    /// Callers' connections open now.
    pub caller_connections: prometheus::IntGauge,
    /// Callers' connections refused since too many were open.
    pub refused_connections: prometheus::IntCounter,
    /// Version in force of each table object.
    pub table_versions: prometheus::IntGaugeVec,
    /// Sets of table objects refused.
    pub refused_objects: prometheus::IntCounter,
    /// Frames carried between instances.
    pub peer_frames: prometheus::IntCounterVec,
    /// Bytes of the frames carried between instances.
    pub peer_bytes: prometheus::IntCounterVec,
    /// Envelopes lost since a queue was full.
    pub peer_lost: prometheus::IntCounter,
    /// Links to other instances open now.
    pub peer_links: prometheus::IntGauge,
}

impl InstanceMetrics {
    /// Makes and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have one name, which is a fault of the program.
    #[must_use]
    pub fn new() -> Self {
        let registry = prometheus::Registry::new();
        Self {
            requests: register(
                &registry,
                counters("requests_total", "Requests by route and outcome.", &["route", "outcome"]),
            ),
            attempts: register(
                &registry,
                counters("attempts_total", "Attempts at backend servers.", &["result"]),
            ),
            lookups: register(&registry, counter("lookups_total", "Look-ups answered.")),
            open_requests: register(&registry, gauge("open_requests", "Requests open now.")),
            caller_connections: register(
                &registry,
                gauge("caller_connections", "Connections of callers open now."),
            ),
            refused_connections: register(
                &registry,
                counter("caller_connections_refused_total", "Connections over the bound."),
            ),
            table_versions: register(
                &registry,
                gauges("table_version", "Version in force of a table object.", &["object"]),
            ),
            refused_objects: register(
                &registry,
                counter("refused_objects_total", "Sets of table objects refused."),
            ),
            peer_frames: register(
                &registry,
                counters("peer_frames_total", "Frames between instances.", &["direction"]),
            ),
            peer_bytes: register(
                &registry,
                counters("peer_bytes_total", "Bytes between instances.", &["direction"]),
            ),
            peer_lost: register(
                &registry,
                counter("peer_lost_total", "Envelopes lost since a queue was full."),
            ),
            peer_links: register(
                &registry,
                gauge("peer_links", "Links to other instances open now."),
            ),
            registry,
        }
    }

    /// Writes all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        prometheus::TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

impl Default for InstanceMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn options(name: &str, help: &str) -> prometheus::Opts {
    prometheus::Opts::new(name, help).namespace("marjoramwing")
}

fn counter(name: &str, help: &str) -> prometheus::Result<prometheus::IntCounter> {
    prometheus::IntCounter::with_opts(options(name, help))
}

fn counters(
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<prometheus::IntCounterVec> {
    prometheus::IntCounterVec::new(options(name, help), labels)
}

fn gauge(name: &str, help: &str) -> prometheus::Result<prometheus::IntGauge> {
    prometheus::IntGauge::with_opts(options(name, help))
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<prometheus::IntGaugeVec> {
    prometheus::IntGaugeVec::new(options(name, help), labels)
}

fn register<C: Collector + Clone + 'static>(
    registry: &prometheus::Registry,
    metric: prometheus::Result<C>,
) -> C {
    let metric = metric.expect("metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}
