//! Rules that decide whether a driver's copy counts as complete.

use super::AntiEntropy;
use asterlatch::time::Timestamp;

/// Whether this driver's copy of the replicated state is complete, to its knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SyncState {
    /// The copy may be incomplete.
    Behind {
        /// When the copy became possibly incomplete.
        since: Timestamp,
    },
    /// The copy is complete.
    CaughtUp,
}

/// This driver's current view of its peers.
pub struct PeerView<'a> {
    /// Indices of the peers that are alive or suspected.
    pub reachable: &'a [usize],
    /// The reachable peers that report to be caught up.
    pub caught_up: &'a [usize],
    /// Start of the time without reachable peers; `None` while a peer is reachable.
    pub isolated_since: Option<Timestamp>,
}

/// Returns the new state, or `None` if the rule doesn't apply.
type SyncRule = fn(&AntiEntropy, &PeerView) -> Option<SyncState>;

/// The first applicable rule decides.
const SYNC_RULES: [SyncRule; 4] = [
    AntiEntropy::stays_caught_up,
    AntiEntropy::completed_with_caught_up_peer,
    AntiEntropy::completed_with_all_peers,
    AntiEntropy::is_isolated,
];

impl AntiEntropy {
    pub(super) fn next_sync_state(&self, view: &PeerView) -> SyncState {
        SYNC_RULES
            .iter()
            .find_map(|rule| rule(self, view))
            .unwrap_or(self.sync_state)
    }

    fn stays_caught_up(&self, _: &PeerView) -> Option<SyncState> {
        (self.sync_state == SyncState::CaughtUp).then_some(SyncState::CaughtUp)
    }

    /// A peer that was caught up at the start of the round has sent all of its entries.
    fn completed_with_caught_up_peer(&self, _: &PeerView) -> Option<SyncState> {
        self.has_round_with_caught_up_peer.then_some(SyncState::CaughtUp)
    }

    /// If no peer is caught up, the reachable peers together hold all available records.
    fn completed_with_all_peers(&self, view: &PeerView) -> Option<SyncState> {
        if view.reachable.is_empty() || !view.caught_up.is_empty() {
            return None;
        }
        let is_complete = view
            .reachable
            .iter()
            .all(|peer| self.completed_peers.contains(peer));
        let has_waited =
            matches!(self.sync_state, SyncState::Behind { since } if self.now - since >= self.peer_timeout);
        (is_complete && has_waited).then_some(SyncState::CaughtUp)
    }

    fn is_isolated(&self, view: &PeerView) -> Option<SyncState> {
        let has_waited = view
            .isolated_since
            .is_some_and(|since| self.now - since >= self.peer_timeout);
        (view.reachable.is_empty() && has_waited).then_some(SyncState::CaughtUp)
    }
}
