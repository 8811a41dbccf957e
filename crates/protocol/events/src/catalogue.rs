//! Catalogue of the numbered events.
//!
//! Numbers are never reused: 1xxx instance, 2xxx configuration and store,
//! 3xxx callers, 4xxx backend servers, 5xxx peers and fleet.

use tracing::Level;

/// Specification of one kind of log event.
#[derive(Debug, Clone, Copy)]
pub struct EventSpec {
    /// Stable number, by which operators and tools identify the event.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Message of the log line.
    pub text: &'static str,
    /// Action for the operator; `none` if none is needed.
    pub remedy: &'static str,
}

macro_rules! events {
    ($($(#[$attribute:meta])* $name:ident = $number:literal, $level:ident, $text:literal, $remedy:literal;)+) => {
        $(
            $(#[$attribute])*
            pub const $name: EventSpec = EventSpec {
                number: $number,
                level: Level::$level,
                text: $text,
                remedy: $remedy,
            };
        )+

        /// All events, in the order of their numbers.
        pub const ALL: &[EventSpec] = &[$($name),+];
    };
}

events! {
    /// The instance listens on all its ports.
    INSTANCE_STARTED = 1001, INFO, "instance started", "none";
    /// A planned stop started.
    STOP_BEGAN = 1002, INFO, "planned stop began; finishing open requests", "none";
    /// All requests completed and the process exits.
    STOP_FINISHED = 1003, INFO, "planned stop finished", "none";
    /// A second signal ended the process while requests were open.
    STOP_FORCED = 1004, WARN, "second stop signal; open requests are refused", "send one signal and wait";
    /// Requests were still open when the maximum wait of a planned stop expired.
    STOP_TIMED_OUT = 1005, WARN, "planned stop timed out with requests still open", "look for backend servers that do not answer";

    /// The settings file was reloaded.
    SETTINGS_RELOADED = 1006, INFO, "settings read again", "none";
    /// The settings file is invalid; the current settings stay in effect.
    SETTINGS_REFUSED = 1007, ERROR, "settings rejected; the current settings stay in effect", "correct the file; `marjoramwing check -c FILE` lists every fault";
    /// The instance wrote its own entry to the object API.
    INSTANCE_ANNOUNCED = 1008, INFO, "own entry written, so that other instances find this one", "none";

    /// The limits held by this instance could not be handed over in time.
    HANDOVER_TIMED_OUT = 1009, WARN, "limits not handed over in time; another instance takes them over later", "none";

    /// A new set of tables was applied.
    TABLES_APPLIED = 2001, INFO, "tables applied", "none";
    /// An object was rejected; the previous tables stay in effect.
    TABLES_REFUSED = 2002, ERROR, "object rejected; the previous tables stay in effect", "correct the object; its faults are in the status object and the dump";
    /// Calls to the object API started to fail.
    STORE_UNREACHABLE = 2003, WARN, "object API did not answer; retrying", "check the platform's object API; requests are routed by the last applied tables";
    /// The object API answers again.
    STORE_REACHABLE = 2004, INFO, "object API answers again", "none";
    /// The decision whether to serve keyed requests changed, or the reason for it.
    KEY_TRUST_CHANGED = 2005, WARN, "trust in the keys changed", "when refused: restore the connection to the object API or to peers in other regions, or change `keys.undecided`";

    /// A call to the object API did not return a usable response.
    STORE_CALL_FAILED = 2006, WARN, "call of the object API failed; retrying", "check the platform's object API and the network path to it";
    /// The object API is in another era than before.
    STORE_RESTORED = 2007, WARN, "object API was restored from an older copy; what was written since is gone until it is written again", "check that the operators' last changes were written again";
    /// A watch returned changes of the registrations or of the drained failure domains.
    STORE_CHANGES_RECEIVED = 2008, INFO, "object API reported changes", "none";
    /// A check found changes before the open watch has returned them.
    STORE_WATCH_HUNG = 2009, INFO, "a check found changes that the open watch of the object API had not returned; watching again", "none if it happens once; otherwise check the network path to the platform's object API";
    /// A backend server registered itself.
    SERVER_JOINED = 2010, INFO, "backend server registered", "none";
    /// A backend server accepts no new requests.
    SERVER_DRAINING = 2011, INFO, "backend server is draining; no new requests go to it", "none";
    /// A backend server's registration was removed.
    SERVER_LEFT = 2012, INFO, "backend server's registration is gone; no new requests go to it", "none";
    /// A registration is missing; it may have expired during an outage of the object API.
    SERVER_MISSING = 2013, INFO, "registration is missing after an outage of the object API; the server is kept for a grace period", "none";
    /// A backend server's registration changed.
    SERVER_UPDATED = 2014, INFO, "backend server's registration has changed", "none";
    /// A registration is invalid.
    SERVER_FAULTY = 2015, WARN, "registration is invalid; ignored", "find the process that writes this registration";
    /// A failure domain was drained.
    DOMAIN_DRAINED = 2016, INFO, "failure domain is drained; no new requests go to its servers", "none";
    /// A failure domain is no longer drained.
    DOMAIN_RESTORED = 2017, INFO, "failure domain is no longer drained; its servers receive requests again", "none";
    /// A drained failure domain is missing in a restored object API.
    DOMAIN_MISSING = 2018, WARN, "drained failure domain is missing after the object API was restored; it stays drained for a grace period", "drain the failure domain again if it must stay drained";
    /// An entry of a restored object API may be older than what is known of its server.
    SERVER_OUTDATED = 2019, INFO, "registration in the restored object API is older than what is known; ignored while it may expire", "none";
    /// Rows of the applied tables have faults, which are confined to them.
    TABLES_CONFINED = 2020, ERROR, "rows of the applied tables cannot be used as written; all others are in effect", "correct the rows that the line names by table and position";

    /// A caller's connection ended with an error.
    CALLER_CONNECTION_FAILED = 3001, DEBUG, "caller connection ended with an error", "none";
    /// A connection was refused because too many are open.
    CALLER_CONNECTION_REFUSED = 3002, WARN, "caller connection refused; too many are open", "raise callers.max_connections or look for callers that open too many";
    /// A caller's connection ended.
    CALLER_CONNECTION_ENDED = 3003, DEBUG, "caller connection ended", "none";
    /// A request was answered or refused.
    REQUEST_DECIDED = 3010, INFO, "request decided", "docs/OPERATIONS.md tells how to read the fields";
    /// The caller disconnected, or the process stops, before the request was decided.
    REQUEST_UNANSWERED = 3011, INFO, "request ended without a response", "none if the caller disconnected; when `stopping`, raise the grace period or look for slow backend servers";
    /// A connection ended before the responses to all its requests were written.
    CALLER_RESPONSES_UNWRITTEN = 3012, INFO, "caller connection ended with requests unanswered", "none if the caller disconnected; when `stopping`, raise the grace period or look for slow backend servers";

    /// Connecting to a backend server failed.
    BACKEND_CONNECT_FAILED = 4001, WARN, "connection to the backend server failed; trying another", "check the backend server or remove it from its pool";
    /// An exchange with a backend server failed.
    BACKEND_EXCHANGE_FAILED = 4002, WARN, "exchange with the backend server failed", "check the backend server";
    /// A backend server's response does not match the request.
    BACKEND_ANSWER_CROSSED = 4003, WARN, "backend server sent a response that does not match the request; discarded", "check the backend server";
    /// A backend server's response ended early, before any of it was forwarded.
    BACKEND_ANSWER_CUT = 4004, WARN, "backend server's response ended early; none of it was forwarded", "check the backend server";
    /// A backend server takes a limited rate from all instances together.
    SERVER_LIMITED = 4005, INFO, "backend server names a limit; the instances share its rate", "none if it ends; otherwise add servers to the pool";
    /// A backend server takes any rate again.
    SERVER_UNLIMITED = 4006, INFO, "backend server names no limit any more", "none";
    /// A backend server says in its answers that it leaves.
    SERVER_LEAVING = 4007, INFO, "backend server says that it leaves; no new requests go to it", "none";
    /// A backend server turned a request away and asked for time.
    SERVER_PAUSED = 4008, INFO, "backend server wants no requests for a time", "none if it happens rarely; otherwise add servers to the pool";
    /// A backend server ended while it ran a request.
    REQUEST_SUSPECTED = 4009, INFO, "backend server ended under a request; its copies are tried one at a time", "none if the server was ended on purpose; otherwise check the backend server";
    /// Several backend servers ended while they ran copies of a request.
    REQUEST_HELD = 4010, WARN, "request is held, since backend servers ended under it", "find the fault in the backend servers; `marjoramwing release` ends the hold";
    /// One copy of a suspected request is sent to a backend server.
    REQUEST_TRIED = 4011, INFO, "one copy of a suspected request is tried", "none";
    /// A request that was held is not held any more.
    REQUEST_RELEASED = 4012, INFO, "request is no longer held", "none";
    /// A connection failed since its other end did not answer at all.
    BACKEND_EXCHANGE_SILENT = 4013, WARN, "backend server, or the link to it, fell silent during an exchange", "check the backend server and the network path to it";

    /// A peer link was opened.
    PEER_CONNECTED = 5001, DEBUG, "peer link opened", "none";
    /// A peer link ended.
    PEER_DISCONNECTED = 5002, DEBUG, "peer link ended", "none";
    /// The handshake with a peer failed.
    PEER_REFUSED = 5003, WARN, "peer refused; it does not hold the deployment's secret", "give all instances the same peer secret";
    /// A peer link received nothing within its timeout and was closed.
    PEER_SILENT = 5004, WARN, "peer link timed out and was closed; a new one is opened on demand", "look for a device between the instances that drops idle connections";
    /// Other instances reach backend servers that this one does not.
    SERVER_LINKS_LOST = 5005, WARN, "links to the backend servers are lost; connections go through other instances", "check the network between this instance and the backend servers";
    /// This instance reaches backend servers again.
    SERVER_LINKS_REGAINED = 5006, INFO, "backend servers are reached directly again", "none";
    /// The instance through which a connection went closed it before the backend server did.
    RELAYED_CONNECTION_CUT = 5007, INFO, "another instance ended a connection to a backend server under a request", "none if that instance stopped; otherwise look for its end in its log";
}
