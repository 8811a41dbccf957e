//! The answer to one look-up.
//!
//! The callers of one team in one region are gathered on few instances, so
//! that the shares of the team's limit gather there too.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::primary;
use marjoramwing_tables::region;

use crate::plan;
use crate::table;
use marjoramwing_entity::rendezvous;

/// Members of the serving region that an answer names.
const MEMBERS_OF_REGION: usize = 4;
/// Members of other regions that an answer names, for callers that reach no other.
const MEMBERS_ELSEWHERE: usize = 2;

/// What a look-up is asked.
#[derives::value]
pub struct LookupQuery {
    /// Address of the caller.
    pub client: net::IpAddr,
    /// Region to assume for a client without a block.
    pub default_region: Option<region::RegionKey>,
    /// Seed that gathers the callers of one team.
    pub affinity: u64,
    /// Members over which the team's callers of one region are spread.
    pub spread: usize,
}

/// What a look-up found.
#[derives::value]
pub enum LookupOutcome {
    /// Members were found.
    Found {
        /// Region that is to serve the caller.
        region: region::RegionKey,
    },
    /// Every region that could serve the caller has reached its cap.
    Capped,
    /// No member takes requests.
    NoMember,
}

/// Buffers of a look-up, cleared and reused.
#[derive(Debug, Default)]
pub struct LookupContext {
    /// Members to use, the preferred first.
    pub members: Vec<table::MemberIndex>,
    best: Vec<ScoredMember>,
}

#[derives::value]
struct ScoredMember {
    score: u64,
    index: table::MemberIndex,
}

/// Finds the members that a caller is to use, the preferred first.
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
    push_region(context, table, region, query);
    push_elsewhere(context, table, region, query);
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

fn push_region(
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
    let rotated = (0..best.len()).map(|offset| match offset {
        offset if offset < spread => (first + offset) % spread,
        offset => offset,
    });
    context.members.extend(rotated.map(|position| best[position].index));
}

fn push_elsewhere(
    context: &mut LookupContext,
    table: &table::SteeringTable,
    serving: region::RegionKey,
    query: &LookupQuery,
) {
    let full = context.members.len() + MEMBERS_ELSEWHERE;
    for region in regions_after(&table.regions, serving) {
        if context.members.len() >= full {
            return;
        }
        // Seldom used, so a plain remainder does in place of scores.
        let members = &table.regions[region].members;
        let slot = (query.affinity as usize).checked_rem(members.len());
        context.members.extend(slot.map(|slot| members[slot].index));
    }
}

/// Iterates over the other regions, starting behind one of them.
fn regions_after<V>(
    regions: &primary::PrimaryMap<region::RegionKey, V>,
    start: region::RegionKey,
) -> impl Iterator<Item = region::RegionKey> {
    let after = regions.keys().filter(move |key| *key > start);
    after.chain(regions.keys().filter(move |key| *key < start))
}

/// Keeps the members with the greatest scores, the best first.
fn select_best(best: &mut Vec<ScoredMember>, members: &[table::LiveMember], affinity: u64) {
    best.clear();
    for member in members {
        let score = rendezvous::score(affinity, member.seed);
        if best.len() == MEMBERS_OF_REGION && best.last().is_some_and(|last| score <= last.score) {
            continue;
        }
        let better = best.iter().take_while(|known| known.score >= score).count();
        best.truncate(MEMBERS_OF_REGION - 1);
        best.insert(better, ScoredMember { score, index: member.index });
    }
}
