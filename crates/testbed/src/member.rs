//! Members on loopback sockets, each with its own port and one thread per connection.

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

/// Time after the last answer from which a connection counts as idle.
const IDLE_AFTER: Duration = Duration::from_millis(60);
/// Interval between checks of whether an idle connection has to be closed.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum remaining time of a statement that `MemberFault::DropsShort` affects.
const MAX_SHORT_TIMEOUT_MS: u64 = 20;

/// The store model, shared by all threads of the test bed.
pub type SharedStore = Arc<Mutex<StoreModel>>;

/// Locks the store, even if a thread has panicked with the lock held.
pub fn lock(store: &SharedStore) -> MutexGuard<'_, StoreModel> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Blocks the current thread for `span`.
pub fn pause(span: TimeSpan) {
    thread::sleep(Duration::from_micros(span.0));
}

/// Starts a member's threads; returns the address at which it listens.
pub fn start(store: &SharedStore, member: u32) -> io::Result<SocketAddr> {
    let shared = store.clone();
    listen(store, move |stream| serve(stream, &shared, member))
}

/// Listens on a free loopback port, with one thread per connection, until the store is shut down.
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
            // An error only ends its connection.
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
            IdleAction::Continue => {}
            IdleAction::Close => return Ok(()),
            IdleAction::Ignore => return stream.read_to_end(&mut Vec::new()).map(drop),
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
            Response::NoAnswer => {
                // Returns when the client closes the connection.
                read_message(&mut stream, true)?;
                return Ok(());
            }
        }
    }
}

/// How a connection proceeds before the next statement.
enum IdleAction {
    /// The next statement is read and executed.
    Continue,
    /// The connection is closed; the system resets it if it has unread data.
    Close,
    /// The connection stays open, and nothing on it is answered.
    Ignore,
}

/// Waits for the next message without reading it, and applies the faults of idle connections.
fn await_message(
    stream: &mut TcpStream,
    store: &SharedStore,
    member: u32,
    answered_at: Option<Instant>,
) -> io::Result<IdleAction> {
    let Some(answered_at) = answered_at else {
        return Ok(IdleAction::Continue);
    };
    let polls = lock(store).script.mentions(MemberFault::ClosesIdle);
    stream.set_read_timeout(polls.then_some(IDLE_POLL_INTERVAL))?;
    let has_fault = |fault| lock(store).has_fault(wall_clock_now(), member, fault);
    loop {
        let peeked = stream.peek(&mut [0]);
        let is_idle = answered_at.elapsed() >= IDLE_AFTER;
        match peeked {
            Ok(_) if is_idle && has_fault(MemberFault::ResetsIdle) => return Ok(IdleAction::Close),
            Ok(_) if is_idle && has_fault(MemberFault::ForgetsIdle) => return Ok(IdleAction::Ignore),
            Ok(_) => break,
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err(e),
            Err(_) if is_idle && has_fault(MemberFault::ClosesIdle) => return Ok(IdleAction::Close),
            Err(_) => {}
        }
    }
    stream.set_read_timeout(None)?;
    Ok(IdleAction::Continue)
}

enum Response {
    /// Send these messages, then `ReadyForQuery`.
    Send(Vec<u8>),
    Close,
    /// Send nothing and leave the connection open.
    NoAnswer,
}

/// Answers one query; blocks for the duration of its execution.
fn respond(text: &str, store: &SharedStore, member: u32) -> Response {
    let now = wall_clock_now();
    if text.starts_with("SHOW") || text.starts_with("SELECT 1") {
        let Some((position, is_primary)) = lock(store).health_check(now, member) else {
            return Response::NoAnswer;
        };
        let seconds = position.0 as f64 / 1e6;
        let report = format!("x0={seconds:.3},x1={}", u8::from(is_primary));
        return Response::Send(data_row(report.as_bytes()));
    }
    let (statement, outcome) = {
        let mut store = lock(store);
        let names: Vec<_> = store.workloads.iter().map(|w| w.name).collect();
        let Some(statement) = parse_statement(text, &names) else {
            return Response::Send(error_response("08P01", "invalid statement comment"));
        };
        let is_short = parse_timeout_ms(text).is_some_and(|ms| ms <= MAX_SHORT_TIMEOUT_MS);
        if is_short && statement.id % 2 == 0 && store.has_fault(now, member, MemberFault::DropsShort) {
            return Response::NoAnswer;
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
        Reply::NoPrimary => error_response("25006", "member is not the primary"),
        Reply::Behind => [
            error_response("72000", "log position is behind the requested one"),
            as_of(position),
        ]
        .concat(),
        Reply::Failed => error_response("XX000", "injected failure"),
        Reply::ConnectionLost | Reply::Refused => return Response::Close,
        Reply::NoAnswer => return Response::NoAnswer,
    };
    let rank = parameter_status("rank", if is_primary { "source" } else { "copy" });
    Response::Send([answer, rank].concat())
}
