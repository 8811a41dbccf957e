//! The choice of a backend server.

use std::collections;
use std::net;

use marjoramwing_tables::pool;

/// Chooses among backend servers by the requests that this instance has open.
#[derive(Debug, Default)]
pub struct BackendPicker {
    in_flight: collections::HashMap<net::SocketAddr, u32>,
}

impl BackendPicker {
    /// Chooses the server with the smallest share of its slots in use.
    ///
    /// Servers in `excluded` were tried before and are passed over.
    #[must_use]
    pub fn pick(
        &self,
        pool: &pool::Pool,
        excluded: &[net::SocketAddr],
        seed: usize,
    ) -> Option<net::SocketAddr> {
        let servers = pool.servers.values().filter(|server| !server.draining);
        let candidates: Vec<_> =
            servers.filter(|server| !excluded.contains(&server.address)).collect();
        let offset = seed.checked_rem(candidates.len())?;
        let rotated = candidates[offset..].iter().chain(&candidates[..offset]);
        rotated.min_by_key(|server| self.load_of(server)).map(|server| server.address)
    }

    /// Records the start of a request at a server.
    pub fn begin(&mut self, address: net::SocketAddr) {
        *self.in_flight.entry(address).or_default() += 1;
    }

    /// Records the end of a request at a server.
    pub fn finish(&mut self, address: net::SocketAddr) {
        if let Some(count) = self.in_flight.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&address);
            }
        }
    }

    /// Returns the requests open at a server.
    #[must_use]
    pub fn in_flight(&self, address: net::SocketAddr) -> u32 {
        self.in_flight.get(&address).copied().unwrap_or(0)
    }

    fn load_of(&self, server: &pool::BackendServer) -> u64 {
        const SCALE: u64 = 1_000;
        u64::from(self.in_flight(server.address)) * SCALE / u64::from(server.slots)
    }
}
