//! Members, with the profile that each announces.

use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;

/// Identity and addresses that an instance announces; constant for one incarnation.
#[derives::record]
pub struct MemberProfile {
    /// Unique name of the instance.
    pub name: Arc<str>,
    /// Address on which the instance accepts callers.
    pub caller_address: net::SocketAddr,
    /// Address on which the instance accepts peers.
    pub peer_address: net::SocketAddr,
    /// Name of the instance's site.
    pub site: Arc<str>,
    /// Name of the instance's region.
    pub region: Arc<str>,
    /// Name of the instance's failure domain.
    pub failure_domain: Arc<str>,
}

/// A member of the cluster as the local instance sees it.
#[derives::record]
#[derive(serde::Serialize)]
pub struct Member {
    /// Unique name of the instance.
    pub name: Arc<str>,
    /// Address on which the instance accepts callers.
    #[serde(rename = "callers")]
    pub caller_address: net::SocketAddr,
    /// Address on which the instance accepts peers.
    #[serde(rename = "peers")]
    pub peer_address: net::SocketAddr,
    /// Name of the instance's site.
    pub site: Arc<str>,
    /// Name of the instance's region.
    pub region: Arc<str>,
    /// Name of the instance's failure domain.
    pub failure_domain: Arc<str>,
    /// Incarnation; [`Member::new`] always sets one.
    pub incarnation: Option<incarnation::Incarnation>,
    /// State as seen by the local instance.
    pub state: MemberState,
}

/// Lifecycle phase of an incarnation, which it announces itself and which only ever advances.
#[derives::value]
pub enum MemberPhase {
    /// The instance has no confirmed tables yet.
    Starting,
    /// The instance accepts requests.
    Serving,
    /// The instance finishes its open requests and accepts no new ones.
    Leaving,
}

/// State of a member in the view, combining its phase with its health.
#[derives::value]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member has no confirmed tables yet.
    Starting,
    /// The member answers probes and accepts requests.
    Live,
    /// The member would accept requests but has failed to answer a probe.
    Suspect,
    /// The member finishes its open requests and accepts no new ones.
    Leaving,
}

impl Member {
    /// Creates a member from its profile.
    #[must_use]
    pub fn new(
        profile: &MemberProfile,
        incarnation: incarnation::Incarnation,
        state: MemberState,
    ) -> Self {
        Self {
            name: Arc::clone(&profile.name),
            caller_address: profile.caller_address,
            peer_address: profile.peer_address,
            site: Arc::clone(&profile.site),
            region: Arc::clone(&profile.region),
            failure_domain: Arc::clone(&profile.failure_domain),
            incarnation: Some(incarnation),
            state,
        }
    }
}
