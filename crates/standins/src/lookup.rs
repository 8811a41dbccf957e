//! Look-ups that a caller keeps for their time to live.

use std::net;
use std::sync;
use std::time;

use http_body_util::BodyExt;

use crate::control;
use crate::profile;

#[derive(Debug, serde::Deserialize)]
struct LookupAnswer {
    instances: Vec<LookupInstance>,
    ttl_ms: u64,
}

#[derive(Debug, serde::Deserialize)]
struct LookupInstance {
    address: net::SocketAddr,
}

#[derive(Debug, Clone)]
struct CachedAnswer {
    addresses: sync::Arc<[net::SocketAddr]>,
    expires: tokio::time::Instant,
}

/// The look-ups of one team's callers.
#[derive(Debug)]
pub struct LookupCache {
    http: control::HttpClient,
    instances: Vec<net::SocketAddr>,
    cached: sync::Mutex<Option<CachedAnswer>>,
}

impl LookupCache {
    /// Makes a cache that asks these instances.
    #[must_use]
    pub fn new(http: control::HttpClient, instances: Vec<net::SocketAddr>) -> Self {
        Self { http, instances, cached: sync::Mutex::default() }
    }

    /// Returns the instances to use in order, from the cache while it lives.
    ///
    /// The random choice says which instance is asked first.
    pub async fn find(&self, team: &profile::TeamLoad, choice: usize) -> Vec<net::SocketAddr> {
        if let Some(addresses) = self.fresh() {
            return addresses.to_vec();
        }
        let count = self.instances.len();
        for offset in 0..count {
            let asked = self.instances[(choice % count + offset) % count];
            let Some(answer) = self.ask(asked, team).await else {
                continue;
            };
            let ttl = time::Duration::from_millis(answer.ttl_ms);
            let addresses = answer.instances.iter().map(|instance| instance.address).collect();
            let expires = tokio::time::Instant::now() + ttl;
            let cached = CachedAnswer { addresses, expires };
            *self.lock() = Some(cached.clone());
            return cached.addresses.to_vec();
        }
        Vec::new()
    }

    fn fresh(&self) -> Option<sync::Arc<[net::SocketAddr]>> {
        let cached = self.lock();
        let cached = cached.as_ref()?;
        let fresh = tokio::time::Instant::now() < cached.expires && !cached.addresses.is_empty();
        fresh.then(|| sync::Arc::clone(&cached.addresses))
    }

    async fn ask(
        &self,
        instance: net::SocketAddr,
        team: &profile::TeamLoad,
    ) -> Option<LookupAnswer> {
        /// Longest wait for a look-up before another instance is asked.
        const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_secs(2);
        let path = "/.well-known/marjoramwing/lookup";
        let uri = format!("http://{instance}{path}?client={}", team.client);
        let mut request = http::Request::builder().uri(uri);
        if let Some(key) = &team.key {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let request = request.body(axum::body::Body::empty()).ok()?;
        let exchange = async {
            let response = self.http.request(request).await.ok()?;
            let body = response.into_body().collect().await.ok()?.to_bytes();
            serde_json::from_slice(&body).ok()
        };
        tokio::time::timeout(LOOKUP_TIMEOUT, exchange).await.ok()?
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<CachedAnswer>> {
        self.cached.lock().expect("no caller panicked")
    }
}
