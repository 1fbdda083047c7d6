//! Members on loopback sockets, each with a port of its own, and one thread a connection.

use crate::fault_script::MemberFault;
use crate::store_model::{Reply, StoreModel};
use crate::wire::{
    data_row, encode_value, error_response, message, parameter_status, parse_statement, parse_timeout_ms,
    read_message, wall_clock_now,
};
use asterlatch::time::{TimeSpan, Timestamp};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A connection counts as idle once it has had no statement for this long.
const IDLE_AFTER: Duration = Duration::from_millis(60);
/// Between two looks at an idle connection that may be closed.
const IDLE_POLL: Duration = Duration::from_millis(10);
/// Statements with at most this much time left may be dropped.
const SHORT_MS: u64 = 20;

/// The store model that all threads of a test bed share.
pub type SharedStore = Arc<Mutex<StoreModel>>;

/// Locks the store, also after a thread panicked while it held the lock.
pub fn lock(store: &SharedStore) -> MutexGuard<'_, StoreModel> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Blocks the thread for this long.
pub fn pause(span: TimeSpan) {
    thread::sleep(Duration::from_micros(span.0));
}

/// Starts a member; returns the address at which it listens.
pub fn start(store: &SharedStore, member: u32) -> io::Result<SocketAddr> {
    let shared = store.clone();
    listen(store, move |stream| serve(stream, &shared, member))
}

/// Listens on a free port of loopback, with a thread a connection, until the store is shut down.
pub(crate) fn listen(
    store: &SharedStore,
    serve: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let store = store.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if lock(&store).is_shut_down {
                return;
            }
            let serve = serve.clone();
            // A connection that breaks ends its thread and is reported nowhere.
            thread::spawn(move || drop(serve(stream)));
        }
    });
    Ok(address)
}

/// Serves one connection until it ends.
fn serve(mut stream: TcpStream, store: &SharedStore, member: u32) -> io::Result<()> {
    stream.set_nodelay(true)?;
    {
        let mut store = lock(store);
        store.connections += 1;
        if store.is_down(wall_clock_now(), member) {
            return Ok(());
        }
    }
    read_message(&mut stream, false)?;
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
    let mut answered_at = None;
    loop {
        match await_message(&mut stream, store, member, answered_at)? {
            Idle::Kept => {}
            Idle::Closed => return Ok(()),
            Idle::Forgotten => return stream.read_to_end(&mut Vec::new()).map(drop),
        }
        let (kind, body) = read_message(&mut stream, true)?;
        if kind != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body);
        match respond(text.trim_end_matches('\0'), store, member) {
            Response::Send(bytes) => {
                stream.write_all(&[bytes, ready.clone()].concat())?;
                answered_at = Some(Instant::now());
            }
            Response::Close => return Ok(()),
            Response::Silence => {
                // Until the client gives up.
                read_message(&mut stream, true)?;
                return Ok(());
            }
        }
    }
}

/// What becomes of a connection between two statements.
enum Idle {
    /// The next one is executed.
    Kept,
    /// The connection is closed; the system resets it if something came that wasn't read.
    Closed,
    /// It stays open, and nothing on it is answered.
    Forgotten,
}

/// Waits for the next message, and leaves it unread.
fn await_message(
    stream: &mut TcpStream,
    store: &SharedStore,
    member: u32,
    answered_at: Option<Instant>,
) -> io::Result<Idle> {
    let Some(answered_at) = answered_at else {
        return Ok(Idle::Kept);
    };
    let closes = lock(store).script.mentions(MemberFault::ClosesIdle);
    stream.set_read_timeout(closes.then_some(IDLE_POLL))?;
    let has = |fault| lock(store).has_fault(wall_clock_now(), member, fault);
    loop {
        let peeked = stream.peek(&mut [0]);
        let is_idle = answered_at.elapsed() >= IDLE_AFTER;
        match peeked {
            Ok(_) if is_idle && has(MemberFault::ResetsIdle) => return Ok(Idle::Closed),
            Ok(_) if is_idle && has(MemberFault::ForgetsIdle) => return Ok(Idle::Forgotten),
            Ok(_) => break,
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err(e),
            Err(_) if is_idle && has(MemberFault::ClosesIdle) => return Ok(Idle::Closed),
            Err(_) => {}
        }
    }
    stream.set_read_timeout(None)?;
    Ok(Idle::Kept)
}

enum Response {
    /// These messages, then `ReadyForQuery`.
    Send(Vec<u8>),
    Close,
    /// Nothing, with the connection left open.
    Silence,
}

/// Answers one query; blocks for as long as its execution takes.
fn respond(text: &str, store: &SharedStore, member: u32) -> Response {
    let now = wall_clock_now();
    if text.starts_with("SHOW") || text.starts_with("SELECT 1") {
        let Some((position, is_primary)) = lock(store).health_check(now, member) else {
            return Response::Silence;
        };
        let seconds = position.0 as f64 / 1e6;
        let report = format!("x0={seconds:.3},x1={}", u8::from(is_primary));
        return Response::Send(data_row(report.as_bytes()));
    }
    let (statement, outcome) = {
        let mut store = lock(store);
        let names: Vec<_> = store.workloads.iter().map(|w| w.name).collect();
        let Some(statement) = parse_statement(text, &names) else {
            return Response::Send(error_response("08P01", "no statement of this form"));
        };
        let is_short = parse_timeout_ms(text).is_some_and(|ms| ms <= SHORT_MS);
        if is_short && statement.id % 2 == 0 && store.has_fault(now, member, MemberFault::DropsShort) {
            return Response::Silence;
        }
        (statement, store.execute(now, member, &statement))
    };
    pause(outcome.delay);
    let (is_primary, position) = {
        let store = lock(store);
        let now = wall_clock_now();
        (store.is_primary(now, member), store.position(now, member))
    };
    let as_of = |position: Timestamp| parameter_status("as_of", &(position.0 / 1000).to_string());
    let answer = match outcome.reply {
        Reply::Row { position } => {
            [data_row(&encode_value(statement.id, position)), as_of(position)].concat()
        }
        Reply::NoPrimary => error_response("25006", "this is no primary"),
        Reply::Behind => [error_response("72000", "too far behind"), as_of(position)].concat(),
        Reply::Failed => error_response("XX000", "something went wrong"),
        Reply::ConnectionLost | Reply::Refused => return Response::Close,
        Reply::NoAnswer => return Response::Silence,
    };
    let rank = parameter_status("rank", if is_primary { "source" } else { "copy" });
    Response::Send([answer, rank].concat())
}
