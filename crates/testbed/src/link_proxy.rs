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

/// Between drivers `n`, whose own sockets are at `own`.
pub fn start(
    store: &SharedStore,
    n: (u32, u32),
    own: (SocketAddr, SocketAddr),
    seed: u64,
) -> io::Result<Link> {
    let bind = || UdpSocket::bind("127.0.0.1:0");
    let (near, far) = (bind()?, bind()?);
    let at = (near.local_addr()?, far.local_addr()?);
    let ends = Arc::new(AtomicBool::new(false));
    // A datagram received on one socket is sent from the other, so that each driver sees the address that it knows.
    let ways = [
        (near.try_clone()?, far.try_clone()?, n.0, n.1, own.1),
        (far, near, n.1, n.0, own.0),
    ];
    for (k, (from, by, one, other, to)) in ways.into_iter().enumerate() {
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        let (store, ends) = (store.clone(), ends.clone());
        let mut rng = fastrand::Rng::with_seed(seed ^ (u64::from(one) << 32 | u64::from(other)) ^ k as u64);
        thread::spawn(move || {
            let mut waiting: BTreeMap<(Timestamp, u64), Vec<u8>> = BTreeMap::new();
            let (mut buffer, mut count) = ([0; 2048], 0);
            while !ends.load(Ordering::Acquire) {
                let came = from.recv(&mut buffer);
                let now = wall_clock_now();
                if let Ok(length) = came {
                    let state = {
                        let store = lock(&store);
                        store.script.link_state(now - store.started_at, one, other)
                    };
                    if let Some(bytes) = transmit(&mut rng, state, &buffer[..length]) {
                        count += 1;
                        waiting.insert((now + state.delay, count), bytes);
                    }
                }
                while let Some(due) = waiting.first_entry().filter(|e| e.key().0 <= now) {
                    // A driver that is down receives nothing.
                    let _ = by.send_to(&due.remove(), to);
                }
            }
        });
    }
    Ok(Link { at, ends })
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
