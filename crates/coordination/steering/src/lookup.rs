//! Instances for callers located by their address.
//!
//! Lookups concentrate the callers of one team in one region on a few
//! instances, so that the shares of the team's limit are concentrated there
//! too.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::primary;
use marjoramwing_tables::region;

use crate::plan;
use crate::table;
use marjoramwing_entity::rendezvous;

/// Maximum number of members of the serving region in an answer.
const MAX_SERVING_MEMBERS: usize = 4;
/// Maximum number of members of other regions in an answer, as fallbacks for callers that
/// cannot reach the serving region.
const MAX_FALLBACK_MEMBERS: usize = 2;

/// Input of a lookup.
#[derives::value]
pub struct LookupQuery {
    /// IP address of the client.
    pub client: net::IpAddr,
    /// Region that serves a client whose address is in no configured block; the first region if
    /// `None`. The shift plan does not apply to such clients.
    pub default_region: Option<region::RegionKey>,
    /// Rendezvous key, the same for all callers of one team.
    pub affinity: u64,
    /// Number of members over which the team's callers in one region are spread.
    pub spread: usize,
}

/// Result of a lookup.
#[derives::value]
pub enum LookupOutcome {
    /// The context holds at least one member.
    Found {
        /// Region that serves the caller; if it has no members, the context holds only fallbacks
        /// of other regions.
        region: region::RegionKey,
    },
    /// No region serves the caller, see [`plan::Placement::Capped`], or none is configured.
    Capped,
    /// No member accepts requests.
    NoMember,
}

/// Reusable buffers of a lookup, which also hold its result.
#[derive(Debug, Default)]
pub struct LookupContext {
    /// Members for the caller to use, in order of preference.
    pub members: Vec<table::MemberIndex>,
    best: Vec<ScoredMember>,
}

#[derives::value]
struct ScoredMember {
    score: u64,
    index: table::MemberIndex,
}

/// Fills `context.members` with the members for a caller to use, in order of preference.
pub fn find_members(
    context: &mut LookupContext,
    table: &table::SteeringTable,
    plan: &plan::ShiftPlan,
    query: &LookupQuery,
) -> LookupOutcome {
    context.members.clear();
    let Some(region) = choose_region(table, plan, query) else {
        return LookupOutcome::Capped;
    };
    push_serving_members(context, table, region, query);
    push_fallbacks(context, table, region, query);
    if context.members.is_empty() {
        return LookupOutcome::NoMember;
    }
    LookupOutcome::Found { region }
}

fn choose_region(
    table: &table::SteeringTable,
    plan: &plan::ShiftPlan,
    query: &LookupQuery,
) -> Option<region::RegionKey> {
    let Some(home) = table.find_home(query.client) else {
        let default = query.default_region.or_else(|| table.regions.keys().next());
        return default;
    };
    match plan.place(home, query.client) {
        plan::Placement::Home => Some(home),
        plan::Placement::Shifted(to) => Some(to),
        plan::Placement::Capped => None,
    }
}

fn push_serving_members(
    context: &mut LookupContext,
    table: &table::SteeringTable,
    region: region::RegionKey,
    query: &LookupQuery,
) {
    let Some(entry) = table.regions.get(region) else { return };
    select_best(&mut context.best, &entry.members, query.affinity);
    let best = &context.best;
    let spread = query.spread.clamp(1, best.len().max(1));
    let first = plan::ClientPosition::of(query.client).slot(spread);
    // The client's position decides with which of the first `spread` members it starts; the
    // other members follow in order of score.
    let rotated = (0..best.len()).map(|offset| match offset {
        offset if offset < spread => (first + offset) % spread,
        offset => offset,
    });
    context.members.extend(rotated.map(|position| best[position].index));
}

fn push_fallbacks(
    context: &mut LookupContext,
    table: &table::SteeringTable,
    serving: region::RegionKey,
    query: &LookupQuery,
) {
    let max_members = context.members.len() + MAX_FALLBACK_MEMBERS;
    for region in regions_after(&table.regions, serving) {
        if context.members.len() >= max_members {
            return;
        }
        // Fallbacks are rarely used, so a plain modulo replaces rendezvous hashing here.
        let members = &table.regions[region].members;
        let slot = (query.affinity as usize).checked_rem(members.len());
        context.members.extend(slot.map(|slot| members[slot].index));
    }
}

/// Iterates over all other regions, starting after `start` and wrapping around.
fn regions_after<V>(
    regions: &primary::PrimaryMap<region::RegionKey, V>,
    start: region::RegionKey,
) -> impl Iterator<Item = region::RegionKey> {
    let after = regions.keys().filter(move |key| *key > start);
    after.chain(regions.keys().filter(move |key| *key < start))
}

/// Selects the members with the highest rendezvous scores, highest first.
fn select_best(best: &mut Vec<ScoredMember>, members: &[table::LiveMember], affinity: u64) {
    best.clear();
    for member in members {
        let score = rendezvous::score(affinity, member.seed);
        if best.len() == MAX_SERVING_MEMBERS && best.last().is_some_and(|last| score <= last.score)
        {
            continue;
        }
        let position = best.iter().take_while(|other| other.score >= score).count();
        best.truncate(MAX_SERVING_MEMBERS - 1);
        best.insert(position, ScoredMember { score, index: member.index });
    }
}
