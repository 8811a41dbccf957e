//! The catalogue of numbered events.
//!
//! Numbers are never reused: 1xxx instance, 2xxx configuration and store,
//! 3xxx callers, 4xxx backend servers, 5xxx peers and fleet.

use tracing::Level;

/// One kind of log event.
#[derive(Debug, Clone, Copy)]
pub struct EventSpec {
    /// Number that never changes.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Text of the log line.
    pub text: &'static str,
    /// What an operator does about it.
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
    /// A planned stop began.
    STOP_BEGAN = 1002, INFO, "planned stop began; finishing open requests", "none";
    /// All requests ended and the process exits.
    STOP_FINISHED = 1003, INFO, "planned stop finished", "none";
    /// A second signal ended the process with requests open.
    STOP_FORCED = 1004, WARN, "second stop signal; open requests are cut", "send one signal and wait";
    /// Requests were still open when the longest wait of a planned stop ended.
    STOP_TIMED_OUT = 1005, WARN, "planned stop reached its longest wait with requests open", "look for backend servers that do not answer";

    /// The settings file was read again.
    SETTINGS_RELOADED = 1006, INFO, "settings read again", "none";
    /// The settings file is faulty; the settings in force stay.
    SETTINGS_REFUSED = 1007, ERROR, "settings refused; those in force stay", "correct the file; `marjoramwing check -c FILE` tells every fault";
    /// The instance wrote its own entry into the object API.
    INSTANCE_ANNOUNCED = 1008, INFO, "own entry written, so that other instances find this one", "none";

    /// The limits held here could not be handed over in time.
    HANDOVER_TIMED_OUT = 1009, WARN, "limits not handed over in time; another instance takes them over later", "none";

    /// A new set of tables is in force.
    TABLES_APPLIED = 2001, INFO, "tables applied", "none";
    /// An object was not accepted; the previous one stays in force.
    TABLES_REFUSED = 2002, ERROR, "object refused; the previous tables stay in force", "correct the object; its faults are in the status object and the dump";
    /// The store did not answer.
    STORE_UNREACHABLE = 2003, WARN, "object API did not answer; retrying", "check the platform's object API; traffic goes on with the tables in force";
    /// The store answers again.
    STORE_REACHABLE = 2004, INFO, "object API answers again", "none";
    /// Whether keyed requests are served has changed, or why.
    KEY_TRUST_CHANGED = 2005, WARN, "belief in the keys changed", "when refused: restore the way to the object API or to peers of other regions, or change the setting for the undecided case";

    /// A call of the store gave no usable answer.
    STORE_CALL_FAILED = 2006, WARN, "call of the object API failed; retrying", "check the platform's object API and the way to it";
    /// A backend server registered itself.
    SERVER_JOINED = 2010, INFO, "backend server registered", "none";
    /// A backend server takes no new work.
    SERVER_DRAINING = 2011, INFO, "backend server is draining; no new requests go to it", "none";
    /// A backend server's registration is gone.
    SERVER_LEFT = 2012, INFO, "backend server's registration is gone; no new requests go to it", "none";
    /// A registration is gone that may have lapsed while the store was away.
    SERVER_MISSING = 2013, INFO, "registration is missing after an outage of the object API; the server is kept for a moment", "none";
    /// A backend server's registration has changed.
    SERVER_UPDATED = 2014, INFO, "backend server's registration has changed", "none";
    /// A registration cannot be read.
    SERVER_FAULTY = 2015, WARN, "registration names no server to use; ignored", "find out who writes such entries";
    /// A failure domain is drained.
    DOMAIN_DRAINED = 2016, INFO, "failure domain is drained; no new requests go to its servers", "none";
    /// A failure domain is no longer drained.
    DOMAIN_RESTORED = 2017, INFO, "failure domain may get requests again", "none";

    /// A caller's connection ended with an error.
    CALLER_CONNECTION_FAILED = 3001, DEBUG, "caller connection ended with an error", "none";
    /// A connection was refused since too many are open.
    CALLER_CONNECTION_REFUSED = 3002, WARN, "caller connection refused; too many are open", "raise callers.max_connections or look for callers that open too many";
    /// A caller's connection ended.
    CALLER_CONNECTION_ENDED = 3003, DEBUG, "caller connection ended", "none";
    /// A request was answered or refused.
    REQUEST_DECIDED = 3010, INFO, "request decided", "docs/OPERATIONS.md tells how to read the fields";

    /// A backend server could not be reached.
    BACKEND_CONNECT_FAILED = 4001, WARN, "backend server refused the connection; trying another", "check the backend server or remove it from its pool";
    /// A backend server broke off an exchange.
    BACKEND_EXCHANGE_FAILED = 4002, WARN, "backend server broke off the exchange", "check the backend server";
    /// A backend server gave the answer to another request.
    BACKEND_ANSWER_CROSSED = 4003, WARN, "backend server gave the answer to another request; discarded", "check the backend server";
    /// A backend server broke off an answer that was not passed on yet.
    BACKEND_ANSWER_CUT = 4004, WARN, "backend server broke off its answer; none of it was passed on", "check the backend server";

    /// A peer link was opened.
    PEER_CONNECTED = 5001, DEBUG, "peer link opened", "none";
    /// A peer link ended.
    PEER_DISCONNECTED = 5002, DEBUG, "peer link ended", "none";
    /// A peer failed to prove the deployment's secret.
    PEER_REFUSED = 5003, WARN, "peer refused; it does not hold the deployment's secret", "give all instances the same peer secret";
    /// A peer link carried nothing for long and was closed.
    PEER_SILENT = 5004, WARN, "peer link went silent; closed, a new one is opened on demand", "look for a device between the instances that forgets connections";
}
