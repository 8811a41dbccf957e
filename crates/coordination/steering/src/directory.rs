//! Instances for callers that state their own region.

use std::net;

use marjoramwing_membership::view;

/// Location that a caller states for itself.
#[derive(Debug, Clone, Copy)]
pub struct CallerLocality<'a> {
    /// Region of the caller.
    pub region: Option<&'a str>,
    /// Failure domain of the caller; [`find_instances`] does not use it.
    pub failure_domain: Option<&'a str>,
}

/// Returns the caller addresses of the live instances of the caller's region.
///
/// Returns those of all live instances if the region has none or is not given.
#[must_use]
pub fn find_instances(
    view: &view::MemberView,
    locality: &CallerLocality<'_>,
) -> Vec<net::SocketAddr> {
    let local = view.live().filter(|member| Some(&*member.region) == locality.region);
    let local: Vec<_> = local.map(|member| member.caller_address).collect();
    if local.is_empty() { view.live().map(|member| member.caller_address).collect() } else { local }
}
