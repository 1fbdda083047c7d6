//! UDP proxies between pairs of drivers, which drop, delay and corrupt datagrams by the fault script.

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

/// A running proxy between two drivers; dropping it stops its threads.
pub struct Link {
    /// Address at which the first driver reaches the second, and the reverse.
    pub addresses: (SocketAddr, SocketAddr),
    is_stopped: Arc<AtomicBool>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
    }
}

/// Receive timeout, and thus the resolution of delays.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// One direction of a link.
struct Direction {
    sender: u32,
    receiver: u32,
    /// Socket that receives the sender's datagrams.
    inbound: UdpSocket,
    /// Socket that forwards them.
    outbound: UdpSocket,
    /// Address of the receiver's socket.
    destination: SocketAddr,
    rng: fastrand::Rng,
}

/// Starts a proxy between two drivers, whose sockets are at `driver_addresses`.
///
/// # Errors
/// A socket can't be opened or configured.
pub fn start(
    store: &SharedStore,
    drivers: (u32, u32),
    driver_addresses: (SocketAddr, SocketAddr),
    seed: u64,
) -> io::Result<Link> {
    let bind = || UdpSocket::bind("127.0.0.1:0");
    let (near, far) = (bind()?, bind()?);
    let addresses = (near.local_addr()?, far.local_addr()?);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let rng = |sender: u32, receiver: u32, index: u64| {
        fastrand::Rng::with_seed(seed ^ (u64::from(sender) << 32 | u64::from(receiver)) ^ index)
    };
    // A datagram received on one socket is sent from the other, so that drivers see each other at the proxy's
    // addresses.
    let directions = [
        Direction {
            sender: drivers.0,
            receiver: drivers.1,
            inbound: near.try_clone()?,
            outbound: far.try_clone()?,
            destination: driver_addresses.1,
            rng: rng(drivers.0, drivers.1, 0),
        },
        Direction {
            sender: drivers.1,
            receiver: drivers.0,
            inbound: far,
            outbound: near,
            destination: driver_addresses.0,
            rng: rng(drivers.1, drivers.0, 1),
        },
    ];
    for direction in directions {
        direction.inbound.set_read_timeout(Some(POLL_INTERVAL))?;
        let (store, is_stopped) = (store.clone(), is_stopped.clone());
        thread::spawn(move || direction.run(&store, &is_stopped));
    }
    Ok(Link {
        addresses,
        is_stopped,
    })
}

impl Direction {
    /// Forwards datagrams until the link is dropped.
    fn run(mut self, store: &SharedStore, is_stopped: &AtomicBool) {
        let mut delayed: BTreeMap<(Timestamp, u64), Vec<u8>> = BTreeMap::new();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut count = 0;
        while !is_stopped.load(Ordering::Acquire) {
            let received = self.inbound.recv(&mut buffer);
            let now = wall_clock_now();
            if let Ok(length) = received {
                let state = {
                    let store = lock(store);
                    let elapsed = now - store.started_at;
                    store.script.link_state(elapsed, self.sender, self.receiver)
                };
                if let Some(bytes) = apply_faults(&mut self.rng, state, &buffer[..length]) {
                    count += 1;
                    delayed.insert((now + state.delay, count), bytes);
                }
            }
            while let Some(due) = delayed.first_entry().filter(|entry| entry.key().0 <= now) {
                // An error means that the receiving driver is down.
                let _ = self.outbound.send_to(&due.remove(), self.destination);
            }
        }
    }
}

/// Applies loss and corruption to a datagram; `None` if it is lost.
fn apply_faults(rng: &mut fastrand::Rng, state: LinkState, bytes: &[u8]) -> Option<Vec<u8>> {
    if state.cut || rng.u32(0..1000) < state.loss_per_mille {
        return None;
    }
    let mut bytes = bytes.to_vec();
    if !bytes.is_empty() && rng.u32(0..1000) < state.corruption_per_mille {
        let index = rng.usize(0..bytes.len());
        bytes[index] ^= 1 << rng.u8(0..8);
    }
    Some(bytes)
}
