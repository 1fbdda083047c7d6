//! Rules for when a driver's copy counts as complete.

use super::AntiEntropy;
use asterlatch::time::Timestamp;

/// Whether this driver's copy is complete, as far as it can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SyncState {
    /// It may be incomplete.
    Behind {
        /// Since when.
        since: Timestamp,
    },
    /// It is complete.
    CaughtUp,
}

/// What this driver currently knows of its peers.
pub struct PeerView<'a> {
    /// Indices of peers that are alive or suspected.
    pub reachable: &'a [usize],
    /// Those of them that report to be caught up.
    pub caught_up: &'a [usize],
    /// Since when no peer is reachable.
    pub alone_since: Option<Timestamp>,
}

/// A rule returns the new state, or nothing if it doesn't apply.
type SyncRule = fn(&AntiEntropy, &PeerView) -> Option<SyncState>;

/// The first rule that applies decides.
const SYNC_RULES: [SyncRule; 4] = [
    AntiEntropy::stays_caught_up,
    AntiEntropy::completed_with_caught_up_peer,
    AntiEntropy::completed_with_all_peers,
    AntiEntropy::is_alone,
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

    /// A peer that was caught up when the round started has sent everything.
    fn completed_with_caught_up_peer(&self, _: &PeerView) -> Option<SyncState> {
        self.has_complete_round.then_some(SyncState::CaughtUp)
    }

    /// If no peer is caught up, all reachable ones together hold everything there is.
    fn completed_with_all_peers(&self, view: &PeerView) -> Option<SyncState> {
        if view.reachable.is_empty() || !view.caught_up.is_empty() {
            return None;
        }
        let is_complete = view
            .reachable
            .iter()
            .all(|peer| self.completed_peers.contains(peer));
        let has_waited =
            matches!(self.sync_state, SyncState::Behind { since } if self.now - since >= self.patience);
        (is_complete && has_waited).then_some(SyncState::CaughtUp)
    }

    fn is_alone(&self, view: &PeerView) -> Option<SyncState> {
        let has_waited = view
            .alone_since
            .is_some_and(|since| self.now - since >= self.patience);
        (view.reachable.is_empty() && has_waited).then_some(SyncState::CaughtUp)
    }
}
