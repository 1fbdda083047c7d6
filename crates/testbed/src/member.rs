//! Members on loopback sockets, each with a port of its own, and one thread a connection.

use crate::store_model::{Reply, StoreModel};
use crate::wire::{encode_value, error, message, parse_statement, read, row, status, wall_clock_now};
use asterlatch::time::TimeSpan;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

pub type SharedStore = Arc<Mutex<StoreModel>>;

pub fn lock(store: &SharedStore) -> MutexGuard<'_, StoreModel> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn pause(span: TimeSpan) {
    thread::sleep(Duration::from_micros(span.0));
}

/// Starts a member; says where it listens.
pub fn start(store: &SharedStore, member: u32) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let store = store.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if lock(&store).is_shut_down {
                return;
            }
            let store = store.clone();
            // A connection that breaks ends its thread, and says nothing to anybody.
            thread::spawn(move || drop(speak(stream, &store, member)));
        }
    });
    Ok(address)
}

fn speak(mut stream: TcpStream, store: &SharedStore, member: u32) -> io::Result<()> {
    stream.set_nodelay(true)?;
    {
        let mut store = lock(store);
        store.connections += 1;
        if store.is_down(wall_clock_now(), member) {
            return Ok(());
        }
    }
    read(&mut stream, false)?;
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
    loop {
        let (kind, body) = read(&mut stream, true)?;
        if kind != b'Q' {
            return Ok(());
        }
        let now = wall_clock_now();
        let text = String::from_utf8_lossy(&body);
        let text = text.trim_end_matches('\0');
        if text.starts_with("SHOW") || text.starts_with("SELECT 1") {
            let status = lock(store).health_check(now, member);
            let Some((position, is_primary)) = status else {
                read(&mut stream, true)?;
                return Ok(());
            };
            let seconds = position.0 as f64 / 1e6;
            let report = format!("x0={seconds:.3},x1={}", u8::from(is_primary));
            stream.write_all(&[row(report.as_bytes()), ready.clone()].concat())?;
            continue;
        }
        let (statement, outcome) = {
            let mut store = lock(store);
            let names: Vec<_> = store.workloads.iter().map(|w| w.name).collect();
            let Some(statement) = parse_statement(text, &names) else {
                stream.write_all(&[error("08P01", "no statement of this form"), ready.clone()].concat())?;
                continue;
            };
            (statement, store.execute(now, member, &statement))
        };
        pause(outcome.delay);
        let (is_primary, position) = {
            let store = lock(store);
            let now = wall_clock_now();
            (store.is_primary(now, member), store.position(now, member))
        };
        let rank = status("rank", if is_primary { "source" } else { "copy" });
        let response = match outcome.reply {
            Reply::Row { position } => {
                let as_of = status("as_of", &(position.0 / 1000).to_string());
                [row(&encode_value(statement.id, position)), as_of].concat()
            }
            Reply::NoPrimary => error("25006", "this is no primary"),
            Reply::Behind => [
                error("72000", "too far behind"),
                status("as_of", &(position.0 / 1000).to_string()),
            ]
            .concat(),
            Reply::Failed => error("XX000", "something went wrong"),
            Reply::ConnectionLost | Reply::Refused => return Ok(()),
            Reply::NoAnswer => {
                // Until whoever waits gives up.
                read(&mut stream, true)?;
                return Ok(());
            }
        };
        stream.write_all(&[response, rank, ready.clone()].concat())?;
    }
}
