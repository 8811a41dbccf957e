//! Which servers of a pool are there, apart from whether they can take a request now.

use std::net;

use marjoramwing_entity::time;

use crate::health;
use crate::picker;
use crate::statement;

impl picker::BackendPicker {
    /// Returns true if the server at an address is still this run and is not known to leave.
    #[must_use]
    pub fn is_in_service(
        &self,
        address: net::SocketAddr,
        run: Option<&statement::ServerRun>,
    ) -> bool {
        let Some(index) = self.indexes.get(&address) else { return false };
        let server = &self.servers[*index];
        server.is_in_service() && server.run().as_ref() == run
    }

    /// Ejects a server whose run has ended, unless too many are ejected.
    ///
    /// Its registration stays for some heartbeats, and a request that is sent there costs a retry.
    pub fn record_end(
        &mut self,
        address: net::SocketAddr,
        run: Option<&statement::ServerRun>,
        now: time::Timestamp,
    ) {
        if !self.is_in_service(address, run) || !self.may_eject(now) {
            return;
        }
        if let Some(server) = self.server_mut(address)
            && !server.health.is_ejected(now)
        {
            server.health.eject(now);
            server.block_until(server.health.ejected_until());
        }
    }

    /// Returns true if a server of the pool has this address.
    #[must_use]
    pub fn has_address(&self, address: net::SocketAddr) -> bool {
        self.indexes.contains_key(&address)
    }

    /// Ends all ejections, since the failures were not the servers'.
    pub fn forgive_failures(&mut self, now: time::Timestamp) {
        for server in &mut self.servers {
            if server.health.is_ejected(now) {
                server.blocked_until = now;
            }
            server.health = health::ServerHealth::HEALTHY;
        }
    }

    /// Returns up to `count` other servers that are in service, chosen by `seed`; those that have
    /// answered this instance come first, and of these the ones of its region.
    #[must_use]
    pub fn others_in_service(
        &self,
        address: net::SocketAddr,
        seed: u64,
        count: usize,
    ) -> Vec<net::SocketAddr> {
        let others = self.servers.iter().filter(|server| server.is_in_service());
        let mut others: Vec<_> = others.filter(|server| server.address != address).collect();
        if others.is_empty() {
            return Vec::new();
        }
        let offset = usize::try_from(picker::mix_bits(seed)).unwrap_or(0) % others.len();
        others.rotate_left(offset);
        others.sort_by_key(|server| (server.min_latency_us == 0, !server.is_local()));
        others.iter().take(count).map(|server| server.address).collect()
    }
}
