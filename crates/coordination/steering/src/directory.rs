//! Which instances a caller of a known place is to use.

use std::net;

use marjoramwing_membership::view;

/// Where a caller is, as it says.
#[derive(Debug, Clone, Copy)]
pub struct CallerPlace<'a> {
    /// Region of the caller.
    pub region: Option<&'a str>,
    /// Failure domain of the caller.
    pub failure_domain: Option<&'a str>,
}

/// Finds the instances to use: those of the caller's region, or all if it has none.
#[must_use]
pub fn find_instances(view: &view::MemberView, place: &CallerPlace<'_>) -> Vec<net::SocketAddr> {
    let near = view.live().filter(|member| Some(&*member.region) == place.region);
    let near: Vec<_> = near.map(|member| member.callers).collect();
    if near.is_empty() { view.live().map(|member| member.callers).collect() } else { near }
}
