//! Types that the `foca` library requires: an identity, a random number generator, and a collector of its
//! output.

use foca::{Identity, Timer};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::time::Duration;

/// One incarnation of a driver.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Name of the driver in the operators' file.
    pub name: String,
    /// Greater than those of earlier starts.
    pub incarnation: u64,
}

impl Identity for NodeIdentity {
    type Addr = String;

    /// The identity under which a driver rejoins after it was declared down.
    fn renew(&self) -> Option<NodeIdentity> {
        Some(NodeIdentity {
            name: self.name.clone(),
            incarnation: self.incarnation + 1,
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &NodeIdentity) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// Seeded random number generator of the library, for reproducible runs.
pub(super) struct SeededRng(fastrand::Rng);

impl SeededRng {
    pub(super) fn new(seed: u64) -> SeededRng {
        SeededRng(fastrand::Rng::with_seed(seed))
    }
}

impl rand::TryRng for SeededRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok(self.0.u32(..))
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.u64(..))
    }

    fn try_fill_bytes(&mut self, buffer: &mut [u8]) -> Result<(), Infallible> {
        self.0.fill(buffer);
        Ok(())
    }
}

/// A message to the driver with this name.
pub(super) struct NamedMessage {
    pub(super) name: String,
    pub(super) data: Vec<u8>,
}

/// A timer that the library has submitted.
pub(super) struct PendingTimer {
    pub(super) after: Duration,
    pub(super) timer: Timer<NodeIdentity>,
}

/// Messages and timers from one call into the library.
#[derive(Default)]
pub(super) struct RuntimeOutput {
    pub(super) messages: Vec<NamedMessage>,
    pub(super) timers: Vec<PendingTimer>,
    /// Whether other drivers have declared this one down.
    pub(super) is_defunct: bool,
}

impl foca::Runtime<NodeIdentity> for &mut RuntimeOutput {
    fn notify(&mut self, notification: foca::Notification<'_, NodeIdentity>) {
        // Peers' states are read from the library's table; only this notification isn't available there.
        if matches!(notification, foca::Notification::Defunct) {
            self.is_defunct = true;
        }
    }

    fn send_to(&mut self, to: NodeIdentity, data: &[u8]) {
        self.messages.push(NamedMessage {
            name: to.name,
            data: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<NodeIdentity>, after: Duration) {
        self.timers.push(PendingTimer { after, timer });
    }
}
