//! Prometheus metrics of an instance.

use std::sync;

use marjoramwing_derives as derives;
use prometheus::core::Collector;

/// All metrics of one instance.
#[derive(Debug, Clone)]
pub struct InstanceMetrics {
    registry: MetricRegistry,
    /// Requests by route and outcome.
    pub requests: prometheus::IntCounterVec,
    /// Attempts at backend servers by result.
    pub attempts: prometheus::IntCounterVec,
    /// Lookups answered.
    pub lookups: prometheus::IntCounter,
    /// Requests currently open.
    pub open_requests: prometheus::IntGauge,
    /// Caller connections currently open.
    pub caller_connections: prometheus::IntGauge,
    /// Caller connections refused because too many were open.
    pub refused_connections: prometheus::IntCounter,
    /// Applied version of each table object.
    pub table_versions: prometheus::GaugeVec,
    /// Object versions refused as faulty or inconsistent with the other objects.
    pub refused_objects: prometheus::IntCounter,
    /// Objects whose newest version is not applied because it is faulty or inconsistent
    /// with the others.
    pub held_objects: prometheus::IntGauge,
    /// Faults in the applied tables that are confined to their rows.
    pub confined_faults: prometheus::IntGauge,
    /// Milliseconds since the store confirmed the tables; -1 before the first time.
    pub tables_age_ms: prometheus::IntGauge,
    /// Milliseconds since the store confirmed what is known of a kind of object, to this instance or
    /// another one; -1 before the first time.
    pub watch_age_ms: prometheus::IntGaugeVec,
    /// 1 if requests with keys are served, else 0.
    pub keys_trusted: prometheus::IntGauge,
    /// Request log lines suppressed by the limit per second.
    pub lines_left_out: prometheus::IntCounter,
    /// Requests that ended without a response.
    pub unanswered_requests: prometheus::IntCounter,
    /// Seconds from a request's arrival to the decision on it.
    pub request_seconds: prometheus::Histogram,
    /// Frames exchanged with other instances, by direction.
    pub peer_frames: prometheus::IntCounterVec,
    /// Bytes of the frames exchanged with other instances, by direction.
    pub peer_bytes: prometheus::IntCounterVec,
    /// Envelopes dropped because a queue was full or closed.
    pub peer_lost: prometheus::IntCounter,
    /// Connections to backend servers that were opened through another instance.
    pub relayed_connections: prometheus::IntCounter,
    /// Links to other instances currently open.
    pub peer_links: prometheus::IntGauge,
}

impl InstanceMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a programming error.
    #[must_use]
    pub fn new() -> Self {
        let registry = MetricRegistry::default();
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
                wide_gauges("table_version", "Version in force of a table object.", &["object"]),
            ),
            refused_objects: register(
                &registry,
                counter("refused_objects_total", "Sets of table objects refused."),
            ),
            held_objects: register(
                &registry,
                gauge("held_objects", "Objects whose newest version is not in force."),
            ),
            confined_faults: register(
                &registry,
                gauge("confined_faults", "Faults in the tables in force, confined to their rows."),
            ),
            tables_age_ms: register(
                &registry,
                gauge("tables_age_ms", "Time since the store confirmed the tables."),
            ),
            watch_age_ms: register(
                &registry,
                gauges("watch_age_ms", "Time since the store confirmed a kind.", &["kind"]),
            ),
            keys_trusted: register(
                &registry,
                gauge("keys_trusted", "Whether keyed requests are served."),
            ),
            lines_left_out: register(
                &registry,
                counter("lines_left_out_total", "Log lines on requests left out."),
            ),
            unanswered_requests: register(
                &registry,
                counter("unanswered_requests_total", "Requests that ended without a response."),
            ),
            request_seconds: register(
                &registry,
                histogram("request_seconds", "Time from arrival to decision.", LATENCY_BUCKETS),
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
            relayed_connections: register(
                &registry,
                counter("relayed_connections_total", "Connections through another instance."),
            ),
            peer_links: register(
                &registry,
                gauge("peer_links", "Links to other instances open now."),
            ),
            registry,
        }
    }

    /// Returns the descriptions of all metrics, sorted by name.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the list.
    #[must_use]
    pub fn catalogue(&self) -> Vec<MetricSpec> {
        let specs = self.registry.specs.lock();
        let mut specs = specs.expect("no task panics while it holds the list").clone();
        specs.sort();
        specs
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        prometheus::TextEncoder::new().encode_to_string(&self.registry.inner.gather())
    }
}

impl Default for InstanceMetrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Description of a metric.
#[derives::name]
pub struct MetricSpec {
    /// Name in the text format.
    pub name: String,
    /// Metric type in lower case, such as `counter`, `gauge` or `histogram`.
    pub kind: String,
    /// Labels, in the order of their declaration.
    pub labels: Vec<String>,
    /// Help text.
    pub help: String,
}

/// Registers metrics and records their descriptions, including those without a value yet.
#[derive(Debug, Clone, Default)]
struct MetricRegistry {
    inner: prometheus::Registry,
    specs: sync::Arc<sync::Mutex<Vec<MetricSpec>>>,
}

impl MetricRegistry {
    fn add<C: Collector + Clone + 'static>(&self, metric: &C) {
        self.inner.register(Box::new(metric.clone())).expect("metric names are distinct");
        let kinds = metric.collect();
        let specs = metric.desc().into_iter().zip(&kinds).map(|(desc, family)| MetricSpec {
            name: desc.fq_name.clone(),
            kind: format!("{:?}", family.get_field_type()).to_ascii_lowercase(),
            labels: desc.variable_labels.clone(),
            help: desc.help.clone(),
        });
        let mut known = self.specs.lock().expect("no task panics while it holds the list");
        known.extend(specs);
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

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0];

fn histogram(name: &str, help: &str, buckets: &[f64]) -> prometheus::Result<prometheus::Histogram> {
    let options = prometheus::HistogramOpts::from(options(name, help)).buckets(buckets.to_vec());
    prometheus::Histogram::with_opts(options)
}

fn gauge(name: &str, help: &str) -> prometheus::Result<prometheus::IntGauge> {
    prometheus::IntGauge::with_opts(options(name, help))
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<prometheus::IntGaugeVec> {
    prometheus::IntGaugeVec::new(options(name, help), labels)
}

/// Creates gauges whose values may exceed 64 bits.
fn wide_gauges(
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<prometheus::GaugeVec> {
    prometheus::GaugeVec::new(options(name, help), labels)
}

fn register<C: Collector + Clone + 'static>(
    registry: &MetricRegistry,
    metric: prometheus::Result<C>,
) -> C {
    let metric = metric.expect("metric names are valid");
    registry.add(&metric);
    metric
}
