//! Connections of the transport layer on real sockets.

use asterlatch::time::Timestamp;
use asterlatch_driver::transport::clock::Clock;
use asterlatch_driver::transport::connection::{
    attach, dial, ConnectionHandle, ConnectionHandler, ConnectionOutput,
};
use asterlatch_driver::transport::coroutines::{start, CoroutineStacks};
use asterlatch_driver::transport::evictions::Wake;
use asterlatch_driver::transport::memory_budget::MemoryBudget;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// On input, reports its id and whether `TCP_NODELAY` was set.
struct FirstByteReporter(u32, bool);

impl ConnectionHandler for FirstByteReporter {
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

/// A new socket may get the descriptor number of one that another thread is closing. Without
/// `transport::event_registration::lock`, some of these connections would never report an event.
#[test]
fn dial_while_another_socket_closes_reports_events() {
    start(CoroutineStacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the listener's address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.write_all(b"x");
        }
    });
    let (queue, events) = channel::<(u32, bool)>();
    let (clock, budget) = (Clock::start(), MemoryBudget::new(1 << 20));
    let mut handles: Vec<ConnectionHandle<()>> = Vec::new();
    for connection in 0..6000 {
        handles.push(
            dial(
                address,
                FirstByteReporter(connection, false),
                &queue,
                (clock, &budget),
            )
            .expect("open a connection"),
        );
        let event = events.recv_timeout(Duration::from_secs(5));
        assert_eq!(
            event,
            Ok((connection, true)),
            "connection {connection} reports no event"
        );
        // The worker thread closes this connection while the next one is opened here.
        handles.truncate(0);
    }
}

/// With Nagle's algorithm, a reset could discard small writes that the kernel has delayed.
#[test]
fn dial_and_attach_set_nodelay() {
    start(CoroutineStacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the listener's address");
    let (queue, events) = channel::<(u32, bool)>();
    let context = (Clock::start(), &MemoryBudget::new(1 << 20));
    let outbound = dial(address, FirstByteReporter(1, false), &queue, context).expect("open a connection");
    let (mut peer, _) = listener.accept().expect("accept a connection");
    peer.write_all(b"x").expect("write a byte");
    assert_eq!(events.recv_timeout(Duration::from_secs(30)), Ok((1, true)));
    let mut peer = TcpStream::connect(address).expect("connect to the listener");
    let (accepted, _) = listener.accept().expect("accept a connection");
    let inbound = attach(
        accepted,
        true,
        FirstByteReporter(2, false),
        &queue,
        context,
        Vec::new(),
    );
    peer.write_all(b"x").expect("write a byte");
    assert_eq!(events.recv_timeout(Duration::from_secs(30)), Ok((2, true)));
    drop((outbound, inbound));
}

/// Passes all input to a function with the events that it may report.
struct InputHandler<E>(Box<OnInput<E>>);

type OnInput<E> = dyn FnMut(&mut Vec<u8>, &mut Vec<E>) + Send;

impl<E: Send + 'static> ConnectionHandler for InputHandler<E> {
    type Command = ();
    type Event = E;
    fn on_input(&mut self, input: &mut Vec<u8>, _at: Timestamp, out: &mut ConnectionOutput<E>) {
        (self.0)(input, &mut out.events);
    }
    fn on_command(&mut self, _command: (), _at: Timestamp, _out: &mut ConnectionOutput<E>) {}
    fn on_closed(&mut self, _at: Timestamp, _out: &mut ConnectionOutput<E>) {}
    fn wants_input(&self, _unused: usize) -> bool {
        true
    }
}

/// Guards against a process that passes its memory limit: buffers of messages that arrive slowly took up to twice
/// the memory that was counted.
#[test]
fn input_of_slow_peer_reserves_all_memory_that_it_takes() {
    const PART_BYTES: usize = 1000;
    start(CoroutineStacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the listener's address");
    let (queue, events) = channel();
    let budget = MemoryBudget::new(1 << 20);
    let context = (Clock::start(), &budget);
    let keep_input = |input: &mut Vec<u8>, events: &mut Vec<usize>| events.push(input.capacity());
    let handler = InputHandler(Box::new(keep_input));
    let _handle = dial(address, handler, &queue, context).expect("open a connection");
    let (mut peer, _) = listener.accept().expect("accept a connection");
    let mut previous_capacity = 0;
    for parts in 1..200 {
        peer.write_all(&[b'x'; PART_BYTES]).expect("write a part");
        let capacity = events.recv_timeout(Duration::from_secs(30));
        let capacity = capacity.expect("receive the event of the part");
        let received = parts * PART_BYTES;
        assert!(
            capacity <= received + received / 4,
            "{capacity} bytes are allocated for {received}"
        );
        // The event of this part follows the reservation for the last one.
        assert!(budget.reserved() + 1024 >= previous_capacity);
        previous_capacity = capacity;
    }
}

/// Event of a connection that takes long for each read, and of the one that competes with it.
#[derive(Debug, PartialEq)]
enum Turn {
    /// A read was handled. If it says so, a byte was written to the other connection before.
    Slow { wrote_to_other: bool },
    /// The other connection has received a byte.
    Other,
}

const READS_PER_BYTE: u32 = 40;

/// Takes long for each read, and writes a byte to another connection from time to time.
fn slow_reader(mut to_other: TcpStream) -> InputHandler<Turn> {
    let mut reads = 0u32;
    InputHandler(Box::new(move |input, events| {
        input.clear();
        reads += 1;
        let wrote_to_other = reads.is_multiple_of(READS_PER_BYTE);
        if wrote_to_other {
            to_other.write_all(b"x").expect("write a byte");
        }
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_millis(2) {}
        events.push(Turn::Slow { wrote_to_other });
    }))
}

/// Guards against late answers: a client that sent small requests without pause on one connection had 32 reads
/// handled before any other connection had its turn. The slow reader itself writes the other one's byte, so that
/// the order of the two is certain.
#[test]
fn connection_with_endless_input_yields_to_others() {
    start(CoroutineStacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the listener's address");
    let (queue, events) = channel::<Turn>();
    let context = (Clock::start(), &MemoryBudget::new(1 << 20));
    let report_bytes =
        |input: &mut Vec<u8>, events: &mut Vec<Turn>| events.extend(input.drain(..).map(|_| Turn::Other));
    let other = InputHandler(Box::new(report_bytes));
    let _other = dial(address, other, &queue, context).expect("open a connection");
    let (to_other, _) = listener.accept().expect("accept a connection");
    let _slow = dial(address, slow_reader(to_other), &queue, context).expect("open a connection");
    let (mut peer, _) = listener.accept().expect("accept a connection");
    std::thread::spawn(move || while peer.write_all(&[b'x'; 64 * 1024]).is_ok() {});
    let next = || {
        events
            .recv_timeout(Duration::from_secs(30))
            .expect("receive an event")
    };
    for round in 0..6 {
        while next() != (Turn::Slow { wrote_to_other: true }) {}
        let mut reads = 0;
        while next() != Turn::Other {
            reads += 1;
        }
        assert!(
            reads <= 2,
            "round {round}: {reads} reads before the other connection's turn"
        );
    }
}

const UNREAD_ANSWER_BYTES: usize = 1 << 20;
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Server side of a connection that is commanded to write an answer.
struct AnswerWriter;

impl ConnectionHandler for AnswerWriter {
    type Command = ();
    type Event = ();
    fn is_server(&self) -> bool {
        true
    }
    fn on_input(&mut self, _input: &mut Vec<u8>, _at: Timestamp, _out: &mut ConnectionOutput<()>) {}
    fn on_command(&mut self, _command: (), _at: Timestamp, out: &mut ConnectionOutput<()>) {
        out.bytes = vec![b'x'; UNREAD_ANSWER_BYTES];
    }
    fn on_closed(&mut self, _at: Timestamp, _out: &mut ConnectionOutput<()>) {}
    fn wants_input(&self, _unused: usize) -> bool {
        true
    }
}

/// Guards against a process that passes its memory limit: answers that clients didn't read were kept, one for each
/// client, whatever memory was left.
#[test]
fn unread_answer_beyond_the_budget_is_cut_off() {
    start(CoroutineStacks::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the listener's address");
    let (queue, _events) = channel::<()>();
    // One answer fits into three quarters of it, two don't.
    let budget = MemoryBudget::new(UNREAD_ANSWER_BYTES * 3 / 2);
    let open = |_| {
        let peer = TcpStream::connect(address).expect("connect to the listener");
        let accepted = listener.accept().expect("accept a connection").0;
        peer.set_read_timeout(Some(Duration::from_secs(30)))
            .expect("set the read timeout");
        for (stream, is_sender) in [(&accepted, true), (&peer, false)] {
            let socket = socket2::SockRef::from(stream);
            let result = if is_sender {
                socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)
            } else {
                socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)
            };
            result.expect("set the size of a socket's buffer");
        }
        let context = (Clock::start(), &budget);
        let handle = attach(accepted, true, AnswerWriter, &queue, context, Vec::new());
        (handle.expect("register the connection"), peer)
    };
    let connections = [0, 1].map(open);
    connections.iter().for_each(|(handle, _)| handle.send(()));
    let received = connections.each_ref().map(|(_, peer)| {
        let mut answer = Vec::new();
        let mut peer = peer.take(UNREAD_ANSWER_BYTES as u64);
        peer.read_to_end(&mut answer).expect("read an answer");
        answer.len()
    });
    let whole = received.iter().filter(|bytes| **bytes == UNREAD_ANSWER_BYTES);
    assert_eq!(whole.count(), 1, "{received:?} bytes");
}

/// One step with a budget of 1000 bytes, of which evictable reservations leave 250.
struct EvictionStep {
    holder: usize,
    bytes: usize,
    has_progressed: bool,
    expected_evictions: &'static [usize],
}

#[test]
fn force_resize_evictable_evicts_the_longest_without_progress() {
    let step = |holder, bytes, has_progressed, expected_evictions| EvictionStep {
        holder,
        bytes,
        has_progressed,
        expected_evictions,
    };
    let cases: [&[EvictionStep]; 6] = [
        &[
            step(0, 400, false, &[]),
            step(1, 300, false, &[]),
            step(2, 200, false, &[0]),
        ],
        &[
            step(0, 400, false, &[]),
            step(1, 300, false, &[]),
            step(0, 390, true, &[]),
            step(2, 200, false, &[1]),
        ],
        &[step(0, 400, false, &[]), step(0, 800, false, &[0])],
        // What was released is free again.
        &[
            step(0, 400, false, &[]),
            step(0, 0, true, &[]),
            step(1, 700, false, &[]),
        ],
        // Evicted ones count as released, and a holder without bytes isn't evicted.
        &[
            step(0, 0, false, &[]),
            step(1, 700, false, &[]),
            step(2, 700, false, &[1]),
            step(0, 40, false, &[]),
        ],
        &[
            step(0, 100, false, &[]),
            step(1, 100, false, &[]),
            step(2, 740, false, &[0, 1]),
        ],
    ];
    for (number, steps) in cases.iter().enumerate() {
        let budget = MemoryBudget::new(1000);
        let (evictions, evicted) = channel();
        let mut holders = [0, 1, 2].map(|_| budget.empty_reservation());
        for step in *steps {
            let (evictions, holder) = (evictions.clone(), step.holder);
            let wake = || -> Wake { Box::new(move || evictions.send(holder).expect("report the eviction")) };
            let reservation = &mut holders[step.holder];
            reservation.force_resize_evictable(step.bytes, 250, step.has_progressed, wake);
            let evicted: Vec<usize> = evicted.try_iter().collect();
            assert_eq!(evicted, step.expected_evictions, "case {number}");
            assert!(evicted.iter().all(|holder| holders[*holder].is_evicted()));
        }
        drop(holders);
        assert_eq!(budget.reserved(), 0);
    }
}

/// Memory that others reserve takes precedence over evictable reservations.
#[test]
fn force_resize_evictable_beside_full_budget_is_evicted() {
    let budget = MemoryBudget::new(1000);
    let _others = budget.reserve(900).expect("reserve a part of the budget");
    let mut reservation = budget.empty_reservation();
    let wake = || -> Wake { Box::new(|| ()) };
    reservation.force_resize_evictable(100, 250, false, wake);
    assert!(!reservation.is_evicted());
    reservation.force_resize_evictable(101, 250, false, wake);
    assert!(reservation.is_evicted());
}
