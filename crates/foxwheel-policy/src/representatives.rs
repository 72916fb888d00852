//! Which processes of an availability zone speak for it.
//!
//! Load pattern: hundreds of processes that all need to know how full the servers of other
//! zones are. If each told each, messages would grow with the square of the fleet (90 KB/s a
//! process at 300 hosts, most of it between zones); so two processes a zone exchange what
//! their zones know and pass it on. Nothing is agreed on: each process names the two that it
//! takes as speakers, and whoever is named first by somebody speaks to those who name it. Two
//! processes that disagree for a moment only send a few messages twice.

use std::time::Duration;

use foxwheel_core::ids::NodeId;

/// Silence after which another speaker is named: five heartbeats, so that a lost datagram or
/// a busy processor changes nothing, and a third of the time after which the views of other
/// zones count as too old.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Speakers that each process names: the second one has what is needed when the first one
/// dies, is cut off, or is turned away by the store.
pub const MAX_REPRESENTATIVES: usize = 2;

/// What a process is taken for by somebody of its zone, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Nobody names it.
    None,
    /// Somebody names it as the second speaker.
    Secondary,
    /// Somebody names it as the first speaker.
    Primary,
}

/// What `host` is taken for by those who named speakers so.
pub fn highest_rank<'a>(host: &str, named: impl Iterator<Item = &'a [NodeId]>) -> Rank {
    let ranks = named.map(
        |speakers| match speakers.iter().position(|one| one == host) {
            Some(0) => Rank::Primary,
            Some(_) => Rank::Secondary,
            None => Rank::None,
        },
    );
    ranks.max().unwrap_or(Rank::None)
}

/// A process of the zone as another one, or itself, sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneProcess {
    /// Its host.
    pub host: NodeId,
    /// It is a worker: there are few of them, and they know each other across zones.
    pub is_worker: bool,
    /// It is stopping.
    pub leaving: bool,
    /// Its own last call to the platform's store succeeded.
    pub store_reached: bool,
    /// How long it has been silent; nothing for the process itself.
    pub silent_for: Duration,
}

/// The speakers among `members`, first choice first.
pub fn select(members: &[ZoneProcess]) -> Vec<NodeId> {
    let is_fresh = |member: &&ZoneProcess| member.silent_for < SILENCE_TIMEOUT;
    let mut fresh: Vec<&ZoneProcess> = members.iter().filter(is_fresh).collect();
    fresh.sort_unstable_by_key(|member| {
        let last_choice = (member.leaving, !member.store_reached, !member.is_worker);
        (last_choice, &member.host)
    });
    let picked = fresh.into_iter().take(MAX_REPRESENTATIVES);
    picked.map(|member| member.host.clone()).collect()
}
