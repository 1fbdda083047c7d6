//! Discovery over HTTP: the complete endpoint list, and a watch that waits for a newer version.

use crate::fault_script::DriverFault;
use crate::member::{lock, SharedStore};
use crate::wire::wall_clock_now;
use asterlatch::time::TimeSpan;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

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
        (at, index) = (next, index + 1);
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
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (store, addresses) = (store.clone(), addresses.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if lock(&store).is_shut_down {
                return;
            }
            let (store, addresses) = (store.clone(), addresses.clone());
            thread::spawn(move || drop(answer(stream, &store, &addresses, driver)));
        }
    });
    Ok(address)
}

fn is_discovery_stalled(store: &SharedStore, driver: u32) -> bool {
    let store = lock(store);
    store.script.has_driver_fault(
        wall_clock_now() - store.started_at,
        driver,
        DriverFault::DiscoveryStalled,
    )
}

fn answer(mut stream: TcpStream, store: &SharedStore, addresses: &Addresses, driver: u32) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?);
    loop {
        let mut first = String::new();
        if lines.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut line = first.clone();
        while line.trim() != "" {
            line.clear();
            if lines.read_line(&mut line)? == 0 {
                return Ok(());
            }
        }
        let path = first.split(' ').nth(1).unwrap_or_default();
        let field = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            let fields = query.split('&').filter_map(|f| f.split_once('='));
            fields
                .filter(|(n, _)| *n == name)
                .find_map(|(_, v)| v.parse().ok())
        };
        let until = Instant::now() + Duration::from_millis(field("wait_ms").unwrap_or(0).min(60_000));
        let mut list = endpoint_list(store, addresses);
        while field("after").is_some_and(|after| list["index"].as_u64() <= Some(after))
            && Instant::now() < until
        {
            thread::sleep(Duration::from_millis(5));
            list = endpoint_list(store, addresses);
        }
        // While stalled, neither a poll nor a watch that was open before is answered.
        while is_discovery_stalled(store, driver) {
            thread::sleep(Duration::from_millis(5));
        }
        if field("after").is_some_and(|after| list["index"].as_u64() <= Some(after)) {
            list["endpoints"] = json!([]);
            list["snapshot"] = json!(false);
        }
        let body = list.to_string();
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
        )?;
    }
}
