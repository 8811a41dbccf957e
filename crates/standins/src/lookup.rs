//! Lookup of instances, with the results cached for their time to live.

use std::net;
use std::sync;
use std::time;

use http_body_util::BodyExt;

use crate::control;
use crate::profile;

#[derive(Debug, serde::Deserialize)]
struct LookupResponse {
    instances: Vec<LookupInstance>,
    ttl_ms: u64,
}

#[derive(Debug, serde::Deserialize)]
struct LookupInstance {
    address: net::SocketAddr,
}

#[derive(Debug, Clone)]
struct CachedAddresses {
    addresses: sync::Arc<[net::SocketAddr]>,
    expires: tokio::time::Instant,
}

/// The cached lookup result of the callers of one team.
#[derive(Debug)]
pub struct LookupCache {
    http: control::HttpClient,
    instances: Vec<net::SocketAddr>,
    cached: sync::Mutex<Option<CachedAddresses>>,
}

impl LookupCache {
    /// Creates a cache that queries the given instances.
    #[must_use]
    pub fn new(http: control::HttpClient, instances: Vec<net::SocketAddr>) -> Self {
        Self { http, instances, cached: sync::Mutex::default() }
    }

    /// Returns the instances in order of preference, from the cache until it expires.
    ///
    /// The random number selects the instance to query first; if it does not respond,
    /// the others are queried in turn. If none responds, the last result is returned
    /// although it has expired, or an empty list if there is none.
    pub async fn find(&self, team: &profile::TeamLoad, random: usize) -> Vec<net::SocketAddr> {
        if let Some(addresses) = self.unexpired() {
            return addresses.to_vec();
        }
        let count = self.instances.len();
        for offset in 0..count {
            let instance = self.instances[(random % count + offset) % count];
            let Some(response) = self.query(instance, team).await else {
                continue;
            };
            let ttl = time::Duration::from_millis(response.ttl_ms);
            let addresses = response.instances.iter().map(|instance| instance.address).collect();
            let expires = tokio::time::Instant::now() + ttl;
            let cached = CachedAddresses { addresses, expires };
            *self.lock() = Some(cached.clone());
            return cached.addresses.to_vec();
        }
        self.stale_addresses()
    }

    /// Returns the last result, also if it has expired; empty if there is none.
    fn stale_addresses(&self) -> Vec<net::SocketAddr> {
        self.lock().as_ref().map_or_else(Vec::new, |cached| cached.addresses.to_vec())
    }

    /// Returns the cached result unless it has expired or is empty; an empty result is
    /// never served from the cache.
    fn unexpired(&self) -> Option<sync::Arc<[net::SocketAddr]>> {
        let cached = self.lock();
        let cached = cached.as_ref()?;
        let unexpired =
            tokio::time::Instant::now() < cached.expires && !cached.addresses.is_empty();
        unexpired.then(|| sync::Arc::clone(&cached.addresses))
    }

    async fn query(
        &self,
        instance: net::SocketAddr,
        team: &profile::TeamLoad,
    ) -> Option<LookupResponse> {
        /// Timeout of a lookup, after which the next instance is queried.
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

    fn lock(&self) -> sync::MutexGuard<'_, Option<CachedAddresses>> {
        self.cached.lock().expect("the mutex of the cache is not poisoned")
    }
}
