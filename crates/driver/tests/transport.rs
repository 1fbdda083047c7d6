//! Connections that come and go while others are opened.

use asterlatch::time::Point;
use asterlatch_driver::transport::clock::Clock;
use asterlatch_driver::transport::room::Room;
use asterlatch_driver::transport::stream::{dial, hold, Dialogue, Line, Outbox};
use asterlatch_driver::transport::{start, Stacks};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Duration;

/// Tells its number with the first byte that comes.
struct First(u32);

impl Dialogue for First {
    type Command = ();
    type Notice = u32;
    fn heard(&mut self, input: &mut Vec<u8>, _at: Point, out: &mut Outbox<u32>) {
        input.clear();
        out.notices.push(self.0);
    }
    fn told(&mut self, _command: (), _at: Point, _out: &mut Outbox<u32>) {}
    fn ended(&mut self, _at: Point, _out: &mut Outbox<u32>) {}
    fn hungry(&self, _unused: usize) -> bool {
        true
    }
}

/// The number of a socket that is being closed may be given to one that is opened on another thread. Without
/// `transport::numbers` some of these connections are never heard of again.
#[test]
fn sockets_opened_while_others_are_closed_are_heard_of() {
    start(Stacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.write_all(b"x");
        }
    });
    let (queue, heard) = channel::<u32>();
    let (clock, room) = (Clock::start(), Room::new(1 << 20));
    let mut lines: Vec<Line<()>> = Vec::new();
    for number in 0..6000 {
        lines.push(dial(address, First(number), &queue, (clock, &room)).expect("is opened"));
        let told = heard.recv_timeout(Duration::from_secs(5));
        assert_eq!(told, Ok(number), "connection {number} is never heard of");
        // Closed on the other thread while the next one is opened here.
        lines.truncate(0);
    }
}

/// Tells whether small writes leave at once.
struct Undelayed(Option<bool>);

impl Dialogue for Undelayed {
    type Command = ();
    type Notice = Option<bool>;
    fn stands(&mut self, stream: &TcpStream) {
        self.0 = stream.nodelay().ok();
    }
    fn opened(&mut self, out: &mut Outbox<Option<bool>>) {
        out.notices.push(self.0);
    }
    fn heard(&mut self, _input: &mut Vec<u8>, _at: Point, _out: &mut Outbox<Option<bool>>) {}
    fn told(&mut self, _command: (), _at: Point, _out: &mut Outbox<Option<bool>>) {}
    fn ended(&mut self, _at: Point, _out: &mut Outbox<Option<bool>>) {}
    fn hungry(&self, _unused: usize) -> bool {
        true
    }
}

/// What the system held back would go down with a reset behind it.
#[test]
fn no_socket_holds_small_writes_back() {
    start(Stacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("is bound");
    let (queue, heard) = channel::<Option<bool>>();
    let (clock, room) = (Clock::start(), Room::new(1 << 20));
    let dialled = dial(address, Undelayed(None), &queue, (clock, &room)).expect("is opened");
    assert_eq!(heard.recv_timeout(Duration::from_secs(30)), Ok(Some(true)));
    let (accepted, _) = listener.accept().expect("came");
    let held = hold(
        accepted,
        true,
        Undelayed(None),
        &queue,
        (clock, &room),
        Vec::new(),
    );
    assert_eq!(heard.recv_timeout(Duration::from_secs(30)), Ok(Some(true)));
    drop((dialled, held));
}
