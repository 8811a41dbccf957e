//! One known instance.

use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;

/// What an instance tells of itself; constant for one run of its process.
#[derives::record]
pub struct MemberProfile {
    /// Unique name.
    pub name: Arc<str>,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for peers.
    pub peers: net::SocketAddr,
    /// Site.
    pub site: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
}

/// An instance as this one knows it.
#[derives::record]
#[derive(serde::Serialize)]
pub struct Member {
    /// Unique name.
    pub name: Arc<str>,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for peers.
    pub peers: net::SocketAddr,
    /// Site.
    pub site: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Run of its process, once the instance was heard from.
    pub incarnation: Option<incarnation::Incarnation>,
    /// State as far as known here.
    pub state: MemberState,
}

/// How far a run of a process has come; never goes back.
#[derives::value]
pub enum MemberPhase {
    /// It has no confirmed tables yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It finishes its requests and takes no new ones.
    Leaving,
}

/// State of a member.
#[derives::value]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers but has no tables yet.
    Starting,
    /// Answers and takes requests.
    Live,
    /// Has not answered of late.
    Suspect,
    /// Finishes its requests and takes no new ones.
    Leaving,
}

impl Member {
    /// Makes a member from what it told of itself.
    #[must_use]
    pub fn new(
        profile: &MemberProfile,
        incarnation: incarnation::Incarnation,
        state: MemberState,
    ) -> Self {
        Self {
            name: Arc::clone(&profile.name),
            callers: profile.callers,
            peers: profile.peers,
            site: Arc::clone(&profile.site),
            region: Arc::clone(&profile.region),
            failure_domain: Arc::clone(&profile.failure_domain),
            incarnation: Some(incarnation),
            state,
        }
    }
}
