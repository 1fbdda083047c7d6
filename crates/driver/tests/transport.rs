//! Connections that come and go while others are opened.

use asterlatch::time::Timestamp;
use asterlatch_driver::transport::clock::Clock;
use asterlatch_driver::transport::connection::{
    attach, dial, ConnectionHandle, ConnectionHandler, ConnectionOutput,
};
use asterlatch_driver::transport::coroutines::{start, CoroutineStacks};
use asterlatch_driver::transport::memory_budget::MemoryBudget;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Duration;

/// Tells its number with the first byte that comes, and whether small writes leave at once.
struct First(u32, bool);

impl ConnectionHandler for First {
    type Command = ();
    type Event = (u32, bool);
    fn on_socket(&mut self, stream: &TcpStream) {
        self.1 = stream.nodelay().is_ok_and(|set| set);
    }
    fn on_input(&mut self, input: &mut Vec<u8>, _at: Timestamp, out: &mut ConnectionOutput<(u32, bool)>) {
        input.clear();
        out.events.push((self.0, self.1));
    }
    fn on_command(&mut self, _command: (), _at: Timestamp, _out: &mut ConnectionOutput<(u32, bool)>) {}
    fn on_closed(&mut self, _at: Timestamp, _out: &mut ConnectionOutput<(u32, bool)>) {}
    fn wants_input(&self, _unused: usize) -> bool {
        true
    }
}

/// The number of a socket that is being closed may be given to one that is opened on another thread. Without
/// `transport::event_registration::lock` some of these connections are never heard of again.
#[test]
fn sockets_opened_during_closes_report_events() {
    start(CoroutineStacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.write_all(b"x");
        }
    });
    let (queue, heard) = channel::<(u32, bool)>();
    let (clock, room) = (Clock::start(), MemoryBudget::new(1 << 20));
    let mut lines: Vec<ConnectionHandle<()>> = Vec::new();
    for number in 0..6000 {
        lines.push(dial(address, First(number, false), &queue, (clock, &room)).expect("is opened"));
        let told = heard.recv_timeout(Duration::from_secs(5));
        assert_eq!(told, Ok((number, true)), "connection {number} is never heard of");
        // Closed on the other thread while the next one is opened here.
        lines.truncate(0);
    }
}

/// What the system held back would go down with a reset behind it.
#[test]
fn sockets_send_small_writes_at_once() {
    start(CoroutineStacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("is bound");
    let (queue, heard) = channel::<(u32, bool)>();
    let place = (Clock::start(), &MemoryBudget::new(1 << 20));
    let dialled = dial(address, First(1, false), &queue, place).expect("is opened");
    let (mut peer, _) = listener.accept().expect("came");
    peer.write_all(b"x").expect("is written");
    assert_eq!(heard.recv_timeout(Duration::from_secs(30)), Ok((1, true)));
    let mut peer = TcpStream::connect(address).expect("listens");
    let (accepted, _) = listener.accept().expect("came");
    let held = attach(accepted, true, First(2, false), &queue, place, Vec::new());
    peer.write_all(b"x").expect("is written");
    assert_eq!(heard.recv_timeout(Duration::from_secs(30)), Ok((2, true)));
    drop((dialled, held));
}
