//! Names of routes, pools, teams, sites, regions, failure domains and instances, and
//! identifiers of team keys.
//!
//! Names that are edited with this project's commands have a fixed form. Those of routes, pools and
//! teams may also come from a store of the users, where they are any text.

use std::sync::Arc;

use marjoramwing_derives as derives;

use crate::fault;

const MAX_NAME_BYTES: usize = 63;

macro_rules! validated_name {
    ($($(#[$attribute:meta])* $name:ident;)+) => {
        $(
            $(#[$attribute])*
            #[derives::name]
            #[derive(derive_more::Display)]
            pub struct $name(Arc<str>);

            impl $name {
                /// Returns the name as text.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }

                /// Returns the name as reference-counted text, without copying it.
                #[must_use]
                pub fn text(&self) -> Arc<str> {
                    Arc::clone(&self.0)
                }
            }

            impl TryFrom<&Arc<str>> for $name {
                type Error = fault::FaultKind;

                fn try_from(text: &Arc<str>) -> Result<Self, Self::Error> {
                    if is_name(text) {
                        Ok(Self(Arc::clone(text)))
                    } else {
                        Err(fault::FaultKind::Name(Arc::clone(text)))
                    }
                }
            }
        )+
    };
}

validated_name! {
    /// Name of a route.
    RouteName;
    /// Name of a pool.
    PoolName;
    /// Name of a team.
    TeamName;
    /// Name of a site.
    SiteName;
    /// Name of a region.
    RegionName;
    /// Name of a failure domain.
    FailureDomainName;
    /// Name of an instance.
    InstanceName;
    /// Public identifier of a team key.
    KeyId;
}

macro_rules! name_of_any_text {
    ($($name:ident)+) => {
        $(
            impl $name {
                /// Creates a name that another system has accepted, in whatever form.
                #[must_use]
                pub fn of_text(text: &Arc<str>) -> Self {
                    Self(Arc::clone(text))
                }
            }
        )+
    };
}

name_of_any_text! { RouteName PoolName TeamName }

fn is_name(text: &str) -> bool {
    let length_fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    length_fits && text.bytes().all(is_name_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
}
