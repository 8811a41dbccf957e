//! How the picker uses what servers say of themselves.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

use crate::picker;
use crate::placement;
use crate::server;
use crate::share;
use crate::statement;

/// How soon and how fast requests can be sent to servers of which some are limited.
#[derives::value]
pub struct ServerRestriction {
    /// Earliest time at which one of them may be sent a request, apart from free slots.
    pub next_at: time::Timestamp,
    /// Rate of this instance at the limited ones, in thousandths of a request per second.
    pub rate_milli: u64,
    /// Shortest time in which one of them can be expected to respond, in microseconds.
    pub response_us: u64,
}

impl ServerRestriction {
    fn join(self, other: Self) -> Self {
        Self {
            next_at: self.next_at.min(other.next_at),
            rate_milli: self.rate_milli + other.rate_milli,
            response_us: self.response_us.min(other.response_us),
        }
    }
}

impl picker::BackendPicker {
    /// Sets the instances among which the rates of limited servers are divided.
    pub fn set_share_fleet(&mut self, fleet: share::ShareFleet, now: time::Timestamp) {
        self.fleet = fleet;
        for server in &mut self.servers {
            server.statements.divide(server.share_key, &self.fleet, now);
        }
    }

    /// Brings what the servers said of themselves up to date: forgets what no longer holds, and
    /// divides the rates of limited servers again whose turn has ended.
    pub fn refresh_statements(&mut self, now: time::Timestamp) {
        for server in &mut self.servers {
            server.statements.expire(now);
            server.statements.divide_if_due(server.share_key, &self.fleet, now);
        }
    }

    /// Records what an answer says about its server; returns what it changes.
    ///
    /// An answer of another run than the one that is registered changes nothing.
    pub fn record_answer(
        &mut self,
        address: net::SocketAddr,
        run: Option<&statement::ServerRun>,
        statement: statement::AnswerStatement,
        now: time::Timestamp,
    ) -> Vec<statement::StatementChange> {
        let Some(index) = self.indexes.get(&address) else { return Vec::new() };
        let server = &mut self.servers[*index];
        if server.run().as_ref() != run {
            return Vec::new();
        }
        let was_in_service = server.is_in_service();
        let changes = server.statements.record_answer(statement, run.is_some(), now);
        server.statements.divide_if_due(server.share_key, &self.fleet, now);
        if server.is_in_service() != was_in_service {
            self.region_slots = placement::RegionSlots::of(&self.servers);
        }
        changes
    }

    /// Returns true if a request may still be sent in a slot that was granted at a server: it is the
    /// same run of the server, in service, and it wants requests.
    #[must_use]
    pub fn may_send(
        &self,
        address: net::SocketAddr,
        run: Option<&statement::ServerRun>,
        now: time::Timestamp,
    ) -> bool {
        let Some(index) = self.indexes.get(&address) else { return false };
        let server = &self.servers[*index];
        let may_send = server.is_in_service() && !server.statements.is_paused(now);
        may_send && server.run().as_ref() == run
    }

    /// Records what another instance reports about a limited server; returns what it changes, and the
    /// address of the server.
    pub fn record_limit_report(
        &mut self,
        report: &statement::LimitReport,
        now: time::Timestamp,
    ) -> Option<(statement::StatementChange, net::SocketAddr)> {
        let is_run = |server: &&mut server::ServerState| {
            server.registered.as_ref().is_some_and(|registered| {
                registered.id == report.run.id && registered.started_ms == report.run.started_ms
            })
        };
        let server = self.servers.iter_mut().find(is_run)?;
        let change = server.statements.record_report(report, now);
        server.statements.divide_if_due(server.share_key, &self.fleet, now);
        change.map(|change| (change, server.address))
    }

    /// Returns what to report to the other instances about limited servers.
    pub fn take_limit_reports(&mut self, now: time::Timestamp) -> Vec<statement::LimitReport> {
        let reports = self.servers.iter_mut().filter_map(|server| {
            let run = server.run()?;
            server.statements.take_report(&run, now)
        });
        reports.collect()
    }

    /// Returns how soon and how fast requests can be sent if any server in service is limited or
    /// wants no requests; `None` if none is.
    #[must_use]
    pub fn restriction(&self, now: time::Timestamp) -> Option<ServerRestriction> {
        let mut in_service = self.servers.iter().filter(|server| server.is_in_service());
        in_service.clone().find(|server| {
            server.statements.rate_milli().is_some() || server.statements.is_paused(now)
        })?;
        let first = self.restriction_of(in_service.next()?, now);
        Some(in_service.fold(first, |all, server| all.join(self.restriction_of(server, now))))
    }

    fn restriction_of(
        &self,
        server: &server::ServerState,
        now: time::Timestamp,
    ) -> ServerRestriction {
        let mean_us = match server.service_time_us {
            0 => self.service_time_us,
            known => known,
        };
        ServerRestriction {
            next_at: server.statements.next_at().max(now),
            rate_milli: server.statements.rate_milli().unwrap_or(0),
            response_us: mean_us + server.distance.round_trip_us(),
        }
    }
}
