//! Link proxies: the datagrams of each pair of drivers pass through sockets that drop, delay and corrupt them by script.

use crate::fault_script::LinkState;
use crate::member::{lock, SharedStore};
use crate::wire::wall_clock_now;
use asterlatch::time::Timestamp;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A running proxy between two drivers; dropping it ends its threads.
pub struct Link {
    /// Address at which the first driver finds the second, and the reverse.
    pub at: (SocketAddr, SocketAddr),
    ends: Arc<AtomicBool>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Release);
    }
}

/// How long a receive waits before datagrams that are due are sent.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Longer datagrams are cut off.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// One direction of a link.
struct Direction {
    sender: u32,
    receiver: u32,
    /// Where the sender's datagrams arrive.
    inbound: UdpSocket,
    /// From where they are sent on.
    outbound: UdpSocket,
    /// The receiver's own socket.
    to: SocketAddr,
    rng: fastrand::Rng,
}

/// Starts a proxy between two drivers, whose own sockets are at `own`.
///
/// # Errors
/// A socket can't be opened.
pub fn start(
    store: &SharedStore,
    drivers: (u32, u32),
    own: (SocketAddr, SocketAddr),
    seed: u64,
) -> io::Result<Link> {
    let bind = || UdpSocket::bind("127.0.0.1:0");
    let (near, far) = (bind()?, bind()?);
    let at = (near.local_addr()?, far.local_addr()?);
    let ends = Arc::new(AtomicBool::new(false));
    let rng = |sender: u32, receiver: u32, index: u64| {
        fastrand::Rng::with_seed(seed ^ (u64::from(sender) << 32 | u64::from(receiver)) ^ index)
    };
    // A datagram received on one socket is sent from the other, so that each driver sees the address that it knows.
    let directions = [
        Direction {
            sender: drivers.0,
            receiver: drivers.1,
            inbound: near.try_clone()?,
            outbound: far.try_clone()?,
            to: own.1,
            rng: rng(drivers.0, drivers.1, 0),
        },
        Direction {
            sender: drivers.1,
            receiver: drivers.0,
            inbound: far,
            outbound: near,
            to: own.0,
            rng: rng(drivers.1, drivers.0, 1),
        },
    ];
    for direction in directions {
        direction.inbound.set_read_timeout(Some(POLL_INTERVAL))?;
        let (store, ends) = (store.clone(), ends.clone());
        thread::spawn(move || direction.run(&store, &ends));
    }
    Ok(Link { at, ends })
}

impl Direction {
    /// Forwards datagrams until the link ends.
    fn run(mut self, store: &SharedStore, ends: &AtomicBool) {
        let mut waiting: BTreeMap<(Timestamp, u64), Vec<u8>> = BTreeMap::new();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut count = 0;
        while !ends.load(Ordering::Acquire) {
            let received = self.inbound.recv(&mut buffer);
            let now = wall_clock_now();
            if let Ok(length) = received {
                let state = {
                    let store = lock(store);
                    let since = now - store.started_at;
                    store.script.link_state(since, self.sender, self.receiver)
                };
                if let Some(bytes) = transmit(&mut self.rng, state, &buffer[..length]) {
                    count += 1;
                    waiting.insert((now + state.delay, count), bytes);
                }
            }
            while let Some(due) = waiting.first_entry().filter(|e| e.key().0 <= now) {
                // A driver that is down receives nothing.
                let _ = self.outbound.send_to(&due.remove(), self.to);
            }
        }
    }
}

/// The datagram as it arrives, or `None` if it is lost.
fn transmit(rng: &mut fastrand::Rng, state: LinkState, bytes: &[u8]) -> Option<Vec<u8>> {
    if state.cut || rng.u32(0..1000) < state.loss_per_mille {
        return None;
    }
    let mut bytes = bytes.to_vec();
    if !bytes.is_empty() && rng.u32(0..1000) < state.corruption_per_mille {
        let at = rng.usize(0..bytes.len());
        bytes[at] ^= 1 << rng.u8(0..8);
    }
    Some(bytes)
}
