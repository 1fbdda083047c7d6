//! Discovery over HTTP: the complete endpoint list, and a watch that waits for a newer version.

use crate::fault_script::DriverFault;
use crate::member::{listen, lock, pause, SharedStore};
use crate::wire::wall_clock_now;
use asterlatch::time::TimeSpan;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

/// Between two looks at the script.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Where each member listens, by number.
pub type Addresses = BTreeMap<u32, SocketAddr>;

/// The endpoint list at this moment; its index grows with each change that the script makes.
pub fn endpoint_list(store: &SharedStore, addresses: &Addresses) -> Value {
    let store = lock(store);
    let now = wall_clock_now();
    let mut index = 1;
    let mut at = TimeSpan(0);
    while let Some(next) = store
        .script
        .next_endpoint_list_change(at)
        .filter(|n| *n <= now - store.started_at)
    {
        at = next;
        index += 1;
    }
    let entry = |(member, address): (&u32, &SocketAddr)| {
        let zone = if member % 2 == 0 { "heredia" } else { "cartago" };
        json!({
            "name": format!("m{member}"), "address": address.to_string(), "zone": zone,
            "group": store.group(*member), "weight": 1.0,
            "since_ms": store.last_start(now, *member).map_or(0, |at| at.0 / 1000),
            "status": if store.is_draining(now, *member) { "DRAINING" } else { "SERVING" },
            "rank": if store.primary(store.started_at, store.group(*member)) == *member { "source" } else { "copy" },
        })
    };
    let endpoints: Vec<Value> = addresses.iter().map(entry).collect();
    json!({"index": index, "snapshot": true, "endpoints": endpoints})
}

/// Starts discovery for one driver (from 1; 0 if there is only one); the script may stall it.
pub fn start(store: &SharedStore, addresses: &Addresses, driver: u32) -> io::Result<SocketAddr> {
    let (shared, addresses) = (store.clone(), addresses.clone());
    listen(store, move |stream| serve(stream, &shared, &addresses, driver))
}

fn has_driver_fault(store: &SharedStore, driver: u32, fault: DriverFault) -> bool {
    let store = lock(store);
    let now = wall_clock_now() - store.started_at;
    store.script.has_driver_fault(now, driver, fault)
}

/// Answers polls and watches on one connection until it ends.
fn serve(mut stream: TcpStream, store: &SharedStore, addresses: &Addresses, driver: u32) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?);
    while let Some(request) = Request::read(&mut lines)? {
        if has_driver_fault(store, driver, DriverFault::DiscoveryRefused) {
            return Ok(());
        }
        let until = Instant::now() + request.wait;
        let mut list = endpoint_list(store, addresses);
        while request.is_waiting_for_newer(&list) && Instant::now() < until {
            thread::sleep(POLL_INTERVAL);
            if has_driver_fault(store, driver, DriverFault::DiscoveryRefused) {
                return Ok(());
            }
            list = endpoint_list(store, addresses);
        }
        // While stalled, neither a poll nor a watch that was open before is answered.
        while has_driver_fault(store, driver, DriverFault::DiscoveryStalled) {
            thread::sleep(POLL_INTERVAL);
        }
        if request.is_waiting_for_newer(&list) {
            list["endpoints"] = json!([]);
            list["snapshot"] = json!(false);
        }
        let body = list.to_string();
        if send(&mut stream, store, driver, &body)? == Framing::UntilClose {
            return Ok(());
        }
    }
    Ok(())
}

/// How a response ends.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    /// By its length.
    Length,
    /// With its connection.
    UntilClose,
}

/// Pieces of a slow response.
const SLOW_PIECES: usize = 5;

/// Sends a response as the script has it now.
fn send(stream: &mut TcpStream, store: &SharedStore, driver: u32, body: &str) -> io::Result<Framing> {
    let (faults, turn) = {
        let store = lock(store);
        let now = wall_clock_now() - store.started_at;
        let faults: Vec<_> = store.script.faults_of_driver(now, driver).collect();
        (faults, store.discovery_turn.clone())
    };
    let without_length = faults.contains(&DriverFault::DiscoveryWithoutLength);
    let head = match without_length {
        true => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
        false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()),
    };
    let response = head + body;
    let delay = faults.iter().find_map(|fault| match fault {
        DriverFault::DiscoveryDelayed(by) => Some(*by),
        _ => None,
    });
    let own_turn = faults.iter().find_map(|fault| match fault {
        DriverFault::DiscoveryCrowded(each) => Some(*each),
        _ => None,
    });
    if let Some(each) = own_turn {
        let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
        pause(each);
    }
    let pieces = delay.map_or(1, |_| SLOW_PIECES);
    for piece in response.as_bytes().chunks(response.len().div_ceil(pieces)) {
        pause(TimeSpan(delay.unwrap_or_default().0 / pieces as u64));
        stream.write_all(piece)?;
    }
    let mut store = lock(store);
    if without_length {
        store.lists_without_length += 1;
        return Ok(Framing::UntilClose);
    }
    store.lists_with_length += 1;
    Ok(Framing::Length)
}

/// A request's query.
struct Request {
    /// The index that the client has, if it watches.
    after: Option<u64>,
    /// How long a watch waits for a newer index.
    wait: Duration,
}

impl Request {
    /// Reads a request up to the empty line behind its headers; `None` at the connection's end.
    fn read(lines: &mut impl BufRead) -> io::Result<Option<Request>> {
        let mut first = String::new();
        if lines.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut line = first.clone();
        while line.trim() != "" {
            line.clear();
            if lines.read_line(&mut line)? == 0 {
                return Ok(None);
            }
        }
        let path = first.split(' ').nth(1).unwrap_or_default();
        let field = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            let fields = query.split('&').filter_map(|f| f.split_once('='));
            fields
                .filter(|(n, _)| *n == name)
                .find_map(|(_, value)| value.parse().ok())
        };
        Ok(Some(Request {
            after: field("after"),
            wait: Duration::from_millis(field("wait_ms").unwrap_or(0)).min(MAX_WAIT),
        }))
    }

    fn is_waiting_for_newer(&self, list: &Value) -> bool {
        self.after
            .is_some_and(|after| list["index"].as_u64() <= Some(after))
    }
}
