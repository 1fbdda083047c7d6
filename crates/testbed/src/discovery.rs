//! Discovery over HTTP: serves the complete endpoint list, and watches that wait for a newer version.

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

/// Interval between checks of the fault script.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Address of each member, by number.
pub type Addresses = BTreeMap<u32, SocketAddr>;

/// Returns the current endpoint list; its index grows with each change by the fault script.
pub fn endpoint_list(store: &SharedStore, addresses: &Addresses) -> Value {
    let store = lock(store);
    let now = wall_clock_now();
    let mut index = 1;
    let mut last_change = TimeSpan(0);
    while let Some(next) = store
        .script
        .next_endpoint_list_change(last_change)
        .filter(|next| *next <= now - store.started_at)
    {
        last_change = next;
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

/// Starts discovery for `driver`, numbered from 1, under its scripted faults; 0 if there is only one driver.
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
        // A stall also holds back the response to a watch that was open before.
        while has_driver_fault(store, driver, DriverFault::DiscoveryStalled) {
            thread::sleep(POLL_INTERVAL);
        }
        if request.is_waiting_for_newer(&list) {
            list["endpoints"] = json!([]);
            list["snapshot"] = json!(false);
        }
        let body = list.to_string();
        if send_response(&mut stream, store, driver, &body)? == Framing::UntilClose {
            return Ok(());
        }
    }
    Ok(())
}

/// How the client recognizes the end of a response.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    /// By `Content-Length`.
    ContentLength,
    /// By the end of the connection.
    UntilClose,
}

/// Number of pieces in which a delayed response is sent.
const DELAYED_PIECES: usize = 5;

/// Sends a response under the faults that are active now.
fn send_response(
    stream: &mut TcpStream,
    store: &SharedStore,
    driver: u32,
    body: &str,
) -> io::Result<Framing> {
    let (faults, discovery_lock) = {
        let store = lock(store);
        let now = wall_clock_now() - store.started_at;
        let faults: Vec<_> = store.script.faults_of_driver(now, driver).collect();
        (faults, store.discovery_lock.clone())
    };
    let without_length = faults.contains(&DriverFault::DiscoveryWithoutLength);
    let header = match without_length {
        true => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
        false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()),
    };
    let response = header + body;
    let delay = faults.iter().find_map(|fault| match fault {
        DriverFault::DiscoveryDelayed(delay) => Some(*delay),
        _ => None,
    });
    let serialized_delay = faults.iter().find_map(|fault| match fault {
        DriverFault::DiscoveryCrowded(delay) => Some(*delay),
        _ => None,
    });
    if let Some(serialized_delay) = serialized_delay {
        let _guard = discovery_lock.lock().unwrap_or_else(PoisonError::into_inner);
        pause(serialized_delay);
    }
    let pieces = delay.map_or(1, |_| DELAYED_PIECES);
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
    Ok(Framing::ContentLength)
}

/// Parameters of a request.
struct Request {
    /// Index of the list that the client has, if it watches for a newer one.
    known_version: Option<u64>,
    /// Maximum wait for a newer list.
    wait: Duration,
}

impl Request {
    /// Reads a request up to the empty line after its headers; `None` at the end of the connection.
    fn read(lines: &mut impl BufRead) -> io::Result<Option<Request>> {
        let mut request_line = String::new();
        if lines.read_line(&mut request_line)? == 0 {
            return Ok(None);
        }
        let mut line = request_line.clone();
        while line.trim() != "" {
            line.clear();
            if lines.read_line(&mut line)? == 0 {
                return Ok(None);
            }
        }
        let path = request_line.split(' ').nth(1).unwrap_or_default();
        let parameter = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            let pairs = query.split('&').filter_map(|f| f.split_once('='));
            pairs
                .filter(|(n, _)| *n == name)
                .find_map(|(_, value)| value.parse().ok())
        };
        Ok(Some(Request {
            known_version: parameter("after"),
            wait: Duration::from_millis(parameter("wait_ms").unwrap_or(0)).min(MAX_WATCH_WAIT),
        }))
    }

    fn is_waiting_for_newer(&self, list: &Value) -> bool {
        self.known_version
            .is_some_and(|known_version| list["index"].as_u64() <= Some(known_version))
    }
}
