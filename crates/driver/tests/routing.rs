//! The event loop of the module, told of connections and given a clock, without a socket.

use asterlatch::interface::ReplicaStatus;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_driver::protocol::client_events::{ClientCommand, ClientEvent, FinalAnswer, StatementText};
use asterlatch_driver::protocol::discovery_watch::{DiscoveryEvent, DiscoveryMessage};
use asterlatch_driver::protocol::endpoint_list::{Endpoint, EndpointList, EndpointStatus};
use asterlatch_driver::protocol::member_connection::{MemberCommand, MemberEvent, Reply};
use asterlatch_driver::protocol::messages;
use asterlatch_driver::routing::discovery_requests::DiscoveryRequest;
use asterlatch_driver::routing::event_loop::{
    Connectors, EventLoop, EventLoopOptions, MemberCounts, Observer,
};
use asterlatch_driver::routing::events::Event;
use asterlatch_driver::routing::limits::Limits;
use asterlatch_driver::routing::runtime_config::RuntimeConfig;
use asterlatch_driver::transport::connection::ConnectionHandle;
use asterlatch_driver::transport::connection_pool::{ConnectionPool, IdleConnection};
use asterlatch_driver::transport::idle_lifetime::IdleLifetimeEstimator;
use asterlatch_driver::transport::listener::AcceptEvent;
use asterlatch_driver::transport::memory_budget::MemoryBudget;
use asterlatch_settings::{read, Pairs};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::fmt::Arguments;
use std::io;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, TryRecvError};

const START: Timestamp = Timestamp(1_767_225_600_000_000);
const SETTINGS: &str = r#"{"categories":[
 {"name":"view","idempotency":"retryable","objective_us":500000,"worth":1.0,"late_worth":0.2},
 {"name":"post","idempotency":"fragile","objective_us":1200000,"worth":3.0,"late_worth":0.3},
 {"name":"old view","idempotency":"retryable","objective_us":500000,"worth":1.0,"late_worth":0.2}],
 "family_info":{"freshness":["loose","update","loose"],"behind":"hold","answers_stamped":true},
 "limits":{"cancel":true,"probes":true,"try_limit":10,"conn_idle_us":30000000,"connect_timeout_us":250000,
 "max_retry_after_us":500000},"report":{"fields":["x0","x1"],"how":"on_probe"},"tick_us":5000,"zones":["a"]}"#;

struct Quiet;

impl Observer for Quiet {
    fn log(&mut self, _now: Timestamp, _topic: &'static str, _text: Arguments) {}
}

/// Connections by number: the member's address and what it is told.
type Dialled = Rc<RefCell<BTreeMap<u32, (String, Receiver<MemberCommand>)>>>;
type Called = Rc<RefCell<Vec<(DiscoveryRequest, Receiver<Infallible>)>>>;

struct Stage {
    event_loop: EventLoop<Quiet>,
    now: Timestamp,
    dialled: Dialled,
    called: Called,
    clients: BTreeMap<u32, Receiver<ClientCommand>>,
    /// Connections that have come up.
    up: BTreeSet<u32>,
    asked: u32,
    /// For what clients send.
    room: MemoryBudget,
    /// The error with which the next dial fails.
    fault: Rc<RefCell<Option<i32>>>,
}

fn entry(name: &str, status: EndpointStatus, is_primary: bool) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address: format!("10.0.0.{}:5432", name.len()),
        zone: "a".to_owned(),
        group: 1,
        status,
        weight: 1.0,
        since_ms: 0,
        is_primary,
    }
}

fn list(index: u64, entries: Vec<Endpoint>) -> EndpointList {
    EndpointList {
        index,
        is_complete: true,
        entries,
        skipped: 0,
    }
}

/// Its primary stands at 10.0.0.1, its replica at 10.0.0.2.
fn group() -> EndpointList {
    let (primary, replica) = (
        entry("p", EndpointStatus::Serving, true),
        entry("rr", EndpointStatus::Serving, false),
    );
    list(1, vec![primary, replica])
}

const PRIMARY: &str = "10.0.0.1:5432";
const REPLICA: &str = "10.0.0.2:5432";

impl Stage {
    fn new(settings: &str, sockets: usize, memory: usize) -> Stage {
        let mut stage = Stage::empty(settings, sockets, memory);
        stage.event_loop.apply_endpoint_list(START, &group());
        stage.begin()
    }

    /// At its start, with a list from before.
    fn knowing(settings: &str, sockets: usize, memory: usize) -> Stage {
        let mut stage = Stage::empty(settings, sockets, memory);
        stage.event_loop.start_with_list(START, &group());
        stage.pass(0);
        stage
    }

    fn empty(settings: &str, sockets: usize, memory: usize) -> Stage {
        let (dialled, called, fault) = (Dialled::default(), Called::default(), Rc::new(RefCell::new(None)));
        let (d, c, f) = (dialled.clone(), called.clone(), fault.clone());
        let config = RuntimeConfig {
            discovery: "10.0.1.1:80".parse().expect("is an address"),
            max_descriptors: sockets,
            max_memory: memory,
        };
        let limits = Limits::default();
        let memory = config.memory_budgets(&limits);
        let connectors = Connectors {
            dial_member: Box::new(move |id, address| match f.borrow_mut().take() {
                Some(code) => Err(io::Error::from_raw_os_error(code)),
                None => {
                    let (sender, told) = channel();
                    d.borrow_mut().insert(id, (address.to_string(), told));
                    Ok(ConnectionHandle::to_channel(sender))
                }
            }),
            dial_discovery: Box::new(move |call| {
                let (sender, told) = channel();
                c.borrow_mut().push((call, told));
                Ok(ConnectionHandle::to_channel(sender))
            }),
            adopt_client: Box::new(|_, _, _| Err(io::Error::other("nobody comes"))),
            adopt_member_connection: Box::new(|_, _| Err(io::Error::other("nobody comes"))),
        };
        let options = EventLoopOptions {
            seed: 7,
            connectors,
            journal: None,
            config,
            limits,
            memory: memory.clone(),
        };
        let json = serde_json::from_str(settings).expect("is JSON");
        let (settings, decoding) = Pairs::from_json(&json).and_then(|p| read(&p)).expect("is read");
        Stage {
            event_loop: EventLoop::new(&settings, decoding, options, START, Quiet),
            now: START,
            dialled,
            called,
            clients: BTreeMap::new(),
            up: BTreeSet::new(),
            asked: 0,
            room: memory.clients,
            fault,
        }
    }

    /// Takes the first steps.
    fn begin(self) -> Stage {
        let mut stage = self;
        stage.pass(0);
        // The probes of the start are of no interest here.
        let probes: Vec<_> = stage.dialled.borrow().keys().copied().collect();
        for connection in probes {
            stage.up.insert(connection);
            stage.heard(MemberEvent::Connected { connection });
            stage.reply(connection, Reply::Rows(Vec::new()), None);
            stage
                .dialled
                .borrow()
                .get(&connection)
                .map(|(_, told)| told.try_recv());
        }
        stage
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + TimeSpan::millis(ms);
        while self.event_loop.next_at() <= end {
            self.now = self.now.max(self.event_loop.next_at());
            self.event_loop.advance_to(self.now);
        }
        self.now = end;
        self.event_loop.advance_to(self.now);
    }

    /// A change of the list.
    fn changed(&mut self, entry: Endpoint) {
        let (is_complete, change) = (false, list(2, vec![entry]));
        self.event_loop.apply_endpoint_list(
            self.now,
            &EndpointList {
                is_complete,
                ..change
            },
        );
    }

    fn heard(&mut self, event: MemberEvent) {
        self.event_loop.on_event(self.now, Event::Member(event));
    }

    fn reply(&mut self, connection: u32, reply: Reply, is_primary: Option<bool>) {
        let (at, report) = (self.now, None);
        let sighting = ReplicaStatus {
            position: Some(at),
            is_primary,
        };
        self.heard(MemberEvent::Replied {
            connection,
            at,
            reply,
            sighting,
            report,
        });
    }

    fn client(&mut self, id: u32) {
        let (sender, told) = channel();
        self.clients.insert(id, told);
        self.event_loop.on_event(
            self.now,
            Event::Arrival(AcceptEvent::Client(id, ConnectionHandle::to_channel(sender))),
        );
    }

    fn asks(&mut self, client: u32, fields: &str) {
        self.asked += 1;
        self.asks_as(client, self.asked, fields);
    }

    fn asks_as(&mut self, client: u32, id: u32, fields: &str) {
        let text = format!("/* id={id},{fields} */ SELECT blob FROM rows WHERE handle = 'k'");
        let (number, at) = (0, self.now);
        let text = StatementText::new(&text, &self.room).expect("has room");
        let heard = ClientEvent::Statement {
            client,
            end: 0,
            number,
            text,
            at,
        };
        self.event_loop.on_event(self.now, Event::Client(heard));
    }

    /// What the client was told, in short.
    fn told(&self, client: u32) -> String {
        let words = self.clients[&client].try_iter().map(|say| match say {
            ClientCommand::HandOver => "moves".to_owned(),
            ClientCommand::Answer(_, FinalAnswer::Rows(rows)) => {
                format!("rows({})", String::from_utf8_lossy(&rows))
            }
            ClientCommand::Answer(
                _,
                FinalAnswer::Error {
                    code,
                    retry_after_ms: hold_off_ms,
                    ..
                },
            ) => format!(
                "{code}{}",
                hold_off_ms.map_or(String::new(), |ms| format!("+{ms}"))
            ),
            ClientCommand::Drain => "leave".to_owned(),
            ClientCommand::TimeOut => "time up".to_owned(),
            ClientCommand::Reject => "turned away".to_owned(),
        });
        words.collect::<Vec<_>>().join(" ")
    }

    /// The connection that was opened last, and at which address.
    fn opened(&self) -> (u32, String) {
        let dialled = self.dialled.borrow();
        let (id, (address, _)) = dialled.last_key_value().expect("one was opened");
        (*id, address.clone())
    }

    /// The connection that was just told to run a statement, and at which address; those that were opened come up first.
    fn sent(&mut self) -> Option<(u32, String)> {
        let opened: Vec<_> = self.dialled.borrow().keys().copied().collect();
        for connection in opened {
            if self.up.insert(connection) {
                self.heard(MemberEvent::Connected { connection });
            }
        }
        self.given()
    }

    /// The same, without any coming up.
    fn given(&self) -> Option<(u32, String)> {
        let dialled = self.dialled.borrow();
        let found = dialled.iter().rev().find_map(|(id, (address, told))| {
            let MemberCommand::Query(query) = told.try_recv().ok()? else {
                return None;
            };
            let text = String::from_utf8_lossy(&query).into_owned();
            text.contains("SELECT blob").then(|| (*id, address.clone()))
        });
        found
    }

    fn is_open(&self, connection: u32) -> bool {
        let dialled = self.dialled.borrow();
        !matches!(dialled[&connection].1.try_recv(), Err(TryRecvError::Disconnected))
    }
}

const VIEW: &str = "c=view,d=900,cluster=1";
const POST: &str = "c=post,d=3000,cluster=1";

fn stage() -> Stage {
    let mut stage = Stage::new(SETTINGS, 1024, 192 << 20);
    stage.client(1);
    stage
}

fn rows(value: &str) -> Reply {
    Reply::Rows(value.as_bytes().to_vec())
}

#[test]
fn the_answer_of_a_member_goes_to_its_client_once() {
    let mut s = stage();
    let spaced = "c=old view,d=900,cluster=1";
    for (fields, address) in [(VIEW, REPLICA), (POST, PRIMARY), (spaced, REPLICA)] {
        s.asks(1, fields);
        let (connection, at) = s.sent().expect("is sent at once");
        assert_eq!(at, address, "the design's ordinary path");
        s.reply(connection, rows("v"), Some(at == PRIMARY));
        s.reply(connection, rows("again"), Some(at == PRIMARY));
        s.heard(MemberEvent::Closed {
            connection: 99,
            at: s.now,
            written: true,
        });
        assert_eq!(s.told(1), "rows(v)");
    }
    assert_eq!(
        (
            s.event_loop.metrics.completed,
            s.event_loop.metrics.executions_sent
        ),
        (3, 3)
    );
    assert_eq!(s.event_loop.open_statements(), 0);
}

/// What a member's connection did, what that makes of a write's client within 100 ms, and whether the write
/// went out again.
#[test]
fn a_write_goes_out_again_only_where_it_never_ran() {
    enum Came {
        Error(&'static str),
        Malformed,
        Down(bool),
        /// The connection doesn't come up in time; what it tells behind that.
        Late(Option<MemberEvent>),
    }
    #[rustfmt::skip]
    let cases = [
        ("an error", Came::Error("XX000"), "40003", false),
        ("an unknown code", Came::Error("57P03"), "40003", false),
        ("no answer at all", Came::Malformed, "40003", false),
        ("lost behind the last byte", Came::Down(true), "40003", false),
        ("lost before the last byte", Came::Down(false), "", true),
        ("turned away", Came::Error("53300"), "", true),
        ("no connection in time", Came::Late(None), "", true),
        ("it is told to be over", Came::Late(Some(MemberEvent::Closed { connection: 0, at: START, written: false })), "", true),
        ("a connection at the last moment", Came::Late(Some(MemberEvent::Connected { connection: 0 })), "", true),
    ];
    for (name, came, told, again) in cases {
        let mut s = stage();
        // All idle connections are in use, so that this one is new.
        s.client(2);
        s.asks(2, POST);
        s.sent().expect("the first is sent");
        s.asks(1, POST);
        let (connection, _) = s.opened();
        assert_eq!(s.given(), None, "{name}: nothing goes out before it is up");
        if !matches!(came, Came::Late(_)) {
            assert_eq!(s.sent().map(|(c, _)| c), Some(connection), "{name}");
        }
        match came {
            Came::Error(code) => s.reply(connection, Reply::Error(code.to_owned()), None),
            Came::Malformed => s.reply(connection, Reply::Malformed, None),
            Came::Down(written) => s.heard(MemberEvent::Closed {
                connection,
                at: s.now,
                written,
            }),
            Came::Late(word) => {
                s.up.insert(connection);
                s.pass(250);
                assert!(!s.is_open(connection), "{name}: is hung up on");
                match word {
                    Some(MemberEvent::Connected { .. }) => s.heard(MemberEvent::Connected { connection }),
                    Some(_) => s.heard(MemberEvent::Closed {
                        connection,
                        at: s.now,
                        written: false,
                    }),
                    None => {}
                }
            }
        }
        s.pass(100);
        assert_eq!(s.told(1), told, "{name}");
        assert_eq!(s.sent().is_some(), again, "{name}");
    }
}

#[test]
fn a_connection_that_ended_while_idle_costs_no_execution() {
    let mut s = stage();
    s.asks(1, POST);
    let (idle, _) = s.sent().expect("on the connection of the probe");
    s.heard(MemberEvent::Closed {
        connection: idle,
        at: s.now,
        written: false,
    });
    let (fresh, at) = s.sent().expect("on a new one");
    assert_eq!((at.as_str(), s.event_loop.metrics.executions_sent), (PRIMARY, 1));
    assert!(fresh != idle && s.told(1).is_empty());
    s.reply(fresh, rows("v"), Some(true));
    assert_eq!(
        (s.told(1).as_str(), s.event_loop.metrics.ended_completed),
        ("rows(v)", 1)
    );
}

/// The primary was held up for long and deposed: its answer shows that, and does not go to the client, who gets another's.
#[test]
fn an_answer_from_data_that_are_too_old_is_not_passed_on() {
    let bounded = SETTINGS.replace(
        r#""freshness":["loose","update","loose"]"#,
        r#""freshness":["recent","update","loose"],"staleness_bound_us":[500000,0,0]"#,
    );
    for (behind, told) in [(499, "rows(old)"), (501, "rows(new)")] {
        let mut s = Stage::new(&bounded, 1024, 192 << 20);
        s.client(1);
        s.asks(1, VIEW);
        let (connection, first) = s.sent().expect("is sent");
        let sighting = ReplicaStatus {
            position: Some(s.now - TimeSpan::millis(behind)),
            is_primary: None,
        };
        let (reply, at, report) = (rows("old"), s.now, None);
        s.heard(MemberEvent::Replied {
            connection,
            at,
            reply,
            sighting,
            report,
        });
        if behind > 500 {
            assert_eq!(s.told(1), "", "neither as an answer nor as a failure");
            s.pass(60);
            let (connection, second) = s.sent().expect("is sent again");
            assert_ne!(first, second);
            s.reply(connection, rows("new"), None);
        }
        let refused = u64::from(behind > 500);
        assert_eq!(
            (s.told(1).as_str(), s.event_loop.metrics.answers_too_old),
            (told, refused)
        );
    }
}

/// An answer, the end of its connection, the statement's time and its client's end may all lie in one turn of the loop: in
/// whatever order they are taken, the client gets one word, and what comes behind it changes nothing.
#[test]
fn one_final_answer_whatever_order_events_come_in() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Comes {
        Answer,
        Refusal,
        Reset,
        Time,
        Gone,
    }
    use Comes::*;
    let mut orders: Vec<Vec<Comes>> = vec![Vec::new()];
    for _ in 0..4 {
        let longer = orders.iter().flat_map(|order| {
            let left = [Answer, Refusal, Reset, Time, Gone]
                .into_iter()
                .filter(|c| !order.contains(c));
            left.map(|c| [&order[..], &[c]].concat()).collect::<Vec<_>>()
        });
        orders = longer.collect();
    }
    assert_eq!(orders.len(), 120);
    for (workload, order) in [VIEW, POST]
        .iter()
        .flat_map(|w| orders.iter().map(move |o| (*w, o)))
    {
        let mut s = stage();
        s.asks(1, workload);
        let (connection, _) = s.sent().expect("is sent at once");
        let (now, mut words) = (s.now + TimeSpan::millis(5000), Vec::new());
        for comes in order {
            match comes {
                Answer => s.reply(connection, rows("v"), None),
                Refusal => s.reply(connection, Reply::Error("XX000".to_owned()), None),
                Reset => s.heard(MemberEvent::Closed {
                    connection,
                    at: s.now,
                    written: true,
                }),
                Time => s.event_loop.advance_to(now),
                Gone => s
                    .event_loop
                    .on_event(s.now, Event::Client(ClientEvent::Closed { client: 1 })),
            }
            words.extend(Some(s.told(1)).filter(|w| !w.is_empty()));
        }
        let expected = match (order[0], workload) {
            (Answer, _) => Some("rows(v)"),
            (Refusal | Reset | Time, POST) => Some("40003"),
            (Gone, _) => None,
            // A read goes out again, on another connection: nothing that came on the first one is its answer then.
            _ => words.first().map(String::as_str).filter(|w| *w != "rows(v)"),
        };
        assert!(words.len() <= 1, "{workload} {order:?}: {words:?}");
        assert_eq!(
            words.first().map(String::as_str),
            expected,
            "{workload} {order:?}"
        );
        let late = order.iter().position(|c| *c == Gone).unwrap_or(order.len());
        assert!(
            late == order.len() || s.event_loop.open_statements() == 0,
            "{workload} {order:?}"
        );
    }
}

/// Many leave at once while all they asked for waits: nothing of it is sent on, now or when there is room again.
#[test]
fn what_waits_when_its_clients_leave_is_not_sent_on() {
    for cancel in ["true", "false"] {
        let settings = SETTINGS.replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#));
        let mut s = Stage::new(&settings, 1024, 192 << 20);
        (1..=200).for_each(|id| s.client(id));
        // Three statements each: what finds no room waits.
        (1..=200).for_each(|id| (0..3).for_each(|_| s.asks(id, "c=post,d=60000,cluster=1")));
        let out = std::iter::from_fn(|| s.sent()).collect::<Vec<_>>();
        assert!(!out.is_empty() && out.len() < 300, "{}", out.len());
        (1..=200).for_each(|id| {
            s.event_loop
                .on_event(s.now, Event::Client(ClientEvent::Closed { client: id }))
        });
        out.iter()
            .for_each(|(connection, _)| s.reply(*connection, rows("v"), Some(true)));
        s.pass(1000);
        assert_eq!(
            (s.sent(), s.event_loop.open_statements()),
            (None, 0),
            "cancel {cancel}"
        );
    }
}

/// While a connection comes up, much may happen to what waits for it: what may not go out any more doesn't, and the
/// connection serves another.
#[test]
fn what_waits_for_its_connection_is_looked_at_again() {
    let uncalled = SETTINGS.replace(r#""cancel":true"#, r#""cancel":false"#);
    let gone = |s: &mut Stage| {
        s.event_loop
            .on_event(s.now, Event::Client(ClientEvent::Closed { client: 1 }))
    };
    let drains = |s: &mut Stage| s.changed(entry("p", EndpointStatus::Draining, true));
    let missing = |s: &mut Stage| {
        let replica = entry("rr", EndpointStatus::Serving, false);
        s.event_loop.apply_endpoint_list(s.now, &list(3, vec![replica]));
    };
    type Comes = fn(&mut Stage);
    // What comes between, whether the statement goes out behind it, and what its client is told at its time: without a
    // primary the write is tried elsewhere in the end.
    let cases: [(&str, Comes, bool, Option<&str>); 5] = [
        ("nothing", |_| {}, true, Some("40003")),
        ("its client leaves", gone, false, Some("")),
        ("its member drains", drains, false, None),
        ("its member is missing", missing, false, None),
        ("its time is over", |s| s.pass(245), false, Some("53300")),
    ];
    for (name, comes, goes, told) in cases {
        let mut s = Stage::new(&uncalled, 1024, 192 << 20);
        s.client(1);
        s.client(2);
        s.asks(2, POST);
        let (first, _) = s.sent().expect("the first is sent");
        s.asks(1, "c=post,d=240,cluster=1");
        let (connection, at) = s.opened();
        assert_eq!((at.as_str(), s.given()), (PRIMARY, None), "{name}");
        comes(&mut s);
        let over = !s.is_open(connection);
        assert_eq!(over, name == "its time is over", "{name}");
        s.up.insert(connection);
        s.heard(MemberEvent::Connected { connection });
        assert_eq!(s.given().is_some(), goes, "{name}");
        s.pass(250);
        let said = s.told(1);
        assert_eq!(
            told.unwrap_or(&said),
            said,
            "{name}: never sent on is never aborted"
        );
        if name == "its client leaves" {
            assert!(s.is_open(connection), "it rests");
            s.asks(2, POST);
            assert_eq!(s.given().map(|(c, _)| c), Some(connection), "and serves another");
        }
        s.reply(first, rows("v"), Some(true));
        assert_eq!(s.told(2), "rows(v)", "{name}");
    }
}

/// A connection that comes up for nobody counts no longer than it may take.
#[test]
fn a_connection_that_comes_up_for_nobody_is_let_go_in_time() {
    let mut s = stage();
    s.client(2);
    s.asks(2, POST);
    s.sent().expect("the first is sent");
    s.asks(1, POST);
    let (connection, _) = s.opened();
    s.event_loop
        .on_event(s.now, Event::Client(ClientEvent::Closed { client: 1 }));
    s.pass(240);
    assert!(s.is_open(connection));
    s.pass(20);
    assert!(!s.is_open(connection), "it never came up");
}

/// A client need not wait for an answer before it asks again, and with its end all that it asked for is called off.
#[test]
fn a_row_of_statements_is_executed_side_by_side() {
    let mut s = stage();
    s.asks(1, POST);
    s.asks(1, VIEW);
    let (second, at) = s.sent().expect("is sent at once");
    let (first, other) = s.sent().expect("so is the one before it");
    assert_eq!((other.as_str(), at.as_str()), (PRIMARY, REPLICA));
    s.reply(second, rows("w"), Some(false));
    assert_eq!(s.told(1), "rows(w)", "the connection keeps the order");
    s.asks(1, VIEW);
    let (third, _) = s.sent().expect("is sent at once");
    s.event_loop
        .on_event(s.now, Event::Client(ClientEvent::Closed { client: 1 }));
    assert!(!s.is_open(first) && !s.is_open(third));
    assert_eq!(
        (s.event_loop.open_statements(), s.event_loop.metrics.withdrawn),
        (0, 2)
    );
}

#[test]
fn what_is_given_up_is_never_heard_again() {
    // The client leaves, or its time is up.
    for leaves in [true, false] {
        let mut s = stage();
        s.asks(1, VIEW);
        let (connection, _) = s.sent().expect("is sent at once");
        if leaves {
            s.event_loop
                .on_event(s.now, Event::Client(ClientEvent::Closed { client: 1 }));
        } else {
            s.pass(900);
            assert_eq!(
                s.told(1),
                "53300+500",
                "told before its time is up, and when to come back"
            );
        }
        assert!(!s.is_open(connection), "giving up ends the connection");
        assert_eq!(s.event_loop.open_statements(), 0);
        s.reply(connection, rows("late"), Some(false));
        s.pass(2000);
        assert_eq!(s.told(1), "");
        assert_eq!(s.event_loop.metrics.completed, 0);
    }
}

/// Where executions may not be called off, the late answer still says something of the member.
#[test]
fn an_end_behind_the_answer_is_told_to_the_module_alone() {
    let mut s = Stage::new(
        &SETTINGS.replace(r#""cancel":true"#, r#""cancel":false"#),
        1024,
        192 << 20,
    );
    s.client(1);
    s.asks(1, "c=view,d=5000,cluster=1");
    let (connection, _) = s.sent().expect("is sent at once");
    // A waiting one crowds the first out as soon as its SLO time is over.
    s.client(2);
    s.asks(2, "c=view,d=5000,cluster=1");
    s.event_loop
        .on_event(s.now, Event::Client(ClientEvent::Closed { client: 1 }));
    assert!(s.is_open(connection));
    let before = s.event_loop.metrics.ended_completed;
    s.reply(connection, rows("late"), Some(false));
    assert_eq!(s.event_loop.metrics.ended_completed, before + 1);
    assert_eq!((s.told(1).as_str(), s.event_loop.metrics.completed), ("", 0));
}

#[test]
fn what_cannot_be_routed_reaches_no_member() {
    let mut s = stage();
    for (fields, code) in [
        ("c=nothing,d=900,cluster=1", "22023"),
        ("c=view,d=900,cluster=9", "22023"),
        ("c=view,cluster=1", "22023"),
        ("c=view,d=x,cluster=1", "22023"),
    ] {
        s.asks(1, fields);
        assert_eq!((s.told(1).as_str(), s.sent()), (code, None), "{fields}");
    }
    // An entry of one that is gone, with little more than its name, makes no group known.
    let mut gone = entry("gone", EndpointStatus::Deleted, false);
    (gone.group, gone.address) = (0, String::new());
    s.changed(gone);
    s.asks(1, "c=view,d=900,cluster=0");
    assert_eq!((s.told(1).as_str(), s.sent()), ("22023", None));
    let (client, number, at) = (1, 0, s.now);
    let text = StatementText::new("SELECT 1", &s.room).expect("has room");
    s.event_loop.on_event(
        s.now,
        Event::Client(ClientEvent::Statement {
            client,
            end: 0,
            number,
            text,
            at,
        }),
    );
    assert_eq!(s.told(1), "42601");
    // A time that no clock reaches is no reason to fail.
    s.asks(
        1,
        "c=view,d=18446744073709551615,cluster=1,after=18446744073709551615",
    );
    assert!(s.sent().is_some());
}

#[test]
fn clients_beyond_the_bound_take_the_place_of_idle_ones() {
    // 78 descriptors: 48 kept, 20 for clients, 10 for members.
    let mut s = Stage::new(SETTINGS, 78, 192 << 20);
    (1..=20).for_each(|id| s.client(id));
    (2..=20).for_each(|id| s.asks(id, "c=view,d=60000,cluster=1"));
    s.client(21);
    assert_eq!(
        (s.told(1).as_str(), s.told(21).as_str()),
        ("leave", ""),
        "the only idle one goes"
    );
    s.asks(21, "c=view,d=60000,cluster=1");
    s.client(22);
    assert_eq!(s.told(22), "turned away", "none is idle");
    s.asks(22, VIEW);
    assert_eq!(
        s.event_loop.metrics.statements_taken, 20,
        "what one that was turned away sends is not taken"
    );
    assert!(
        s.dialled.borrow().len() <= 10,
        "members' connections are bounded too"
    );
}

#[test]
fn want_of_descriptors_is_not_held_against_a_member() {
    for (code, ended) in [(24, "never_sent"), (111, "no_connection")] {
        let mut s = stage();
        s.client(2);
        s.asks(2, POST);
        s.sent().expect("the first is sent");
        *s.fault.borrow_mut() = Some(code);
        s.asks(1, POST);
        let metrics = &s.event_loop.metrics;
        let counts = (metrics.ended_never_sent, metrics.ended_no_connection);
        assert_eq!(counts, if ended == "never_sent" { (1, 0) } else { (0, 1) });
        assert_eq!(s.told(1), "");
    }
}

#[test]
fn idle_connections_end_before_their_machine_ends_them() {
    let mut s = stage();
    s.asks(1, VIEW);
    let (connection, _) = s.sent().expect("is sent at once");
    s.reply(connection, rows("v"), Some(false));
    s.pass(20_000);
    assert!(s.is_open(connection));
    s.pass(9000);
    assert!(!s.is_open(connection), "before the 30 s of the settings");
    // A member that has moved is not spoken to at its old address.
    s.asks(1, POST);
    let (connection, _) = s.sent().expect("is sent at once");
    s.reply(connection, rows("v"), Some(true));
    let mut moved = entry("p", EndpointStatus::Serving, true);
    moved.address = "10.0.0.9:5432".to_owned();
    s.changed(moved);
    s.asks(1, POST);
    assert_eq!(s.sent().map(|(_, at)| at), Some("10.0.0.9:5432".to_owned()));
}

#[test]
fn discovery_may_fail_and_the_last_good_list_stands() {
    let mut s = stage();
    let hear = |s: &mut Stage, request, event| {
        s.event_loop
            .on_event(s.now, Event::from(DiscoveryMessage { request, event }))
    };
    assert_eq!(
        (s.called.borrow().len(), s.called.borrow()[0].0.after),
        (1, None),
        "the whole list first"
    );
    hear(&mut s, 1, DiscoveryEvent::Listed(group()));
    hear(&mut s, 1, DiscoveryEvent::Unreadable);
    hear(&mut s, 1, DiscoveryEvent::Closed);
    s.pass(99);
    assert_eq!(s.called.borrow().len(), 1, "not without a pause");
    s.pass(1);
    assert_eq!(s.called.borrow()[1].0.after, Some(1), "only what is newer");
    // News of a call that is over must not end the one that stands, nor change the list.
    hear(&mut s, 1, DiscoveryEvent::Closed);
    hear(&mut s, 1, DiscoveryEvent::Listed(list(9, Vec::new())));
    s.asks(1, VIEW);
    assert!(s.sent().is_some());
    s.pass(2900);
    assert_eq!(s.called.borrow().len(), 2, "a watch may wait");
    s.pass(400);
    assert!(
        s.called.borrow().len() > 2,
        "but not while members come and go unheard"
    );
    // Each failure in a row makes the pause longer.
    let before = s.called.borrow().len() as u32;
    let mut pauses = Vec::new();
    for n in 0..6 {
        hear(&mut s, before + n, DiscoveryEvent::Closed);
        pauses.push((s.event_loop.next_at() - s.now).0 / 1000);
        s.pass(2000);
    }
    assert!(
        pauses.windows(2).all(|p| p[0] <= p[1]) && pauses.last() > pauses.first(),
        "{pauses:?}"
    );
    // An entry that can't be reached is left out; an empty change changes nothing.
    let mut lost = entry("lost", EndpointStatus::Serving, false);
    lost.address = "nowhere".to_owned();
    s.changed(lost);
    assert_eq!(s.event_loop.metrics.roster_entries_left_out, 1);
}

/// New members with new names replace the old ones all day: what was kept for those is let go with them, idle
/// connections included, and a name that comes back is a new member.
#[test]
fn a_long_day_of_new_members_leaves_nothing_behind() {
    let mut s = stage();
    let (mut old, mut used) = ("rr".to_owned(), Vec::new());
    for n in 0..500 {
        let name = format!("r{n}");
        let at = |name: &str, status| {
            let address = format!("10.0.{}.{}:5432", 2 + n / 200, 1 + n % 200);
            Endpoint {
                address,
                ..entry(name, status, false)
            }
        };
        s.changed(at(&name, EndpointStatus::Serving));
        s.changed(entry(&old, EndpointStatus::Draining, false));
        s.pass(300);
        while let Some((connection, _)) = s.sent() {
            s.reply(connection, rows("v"), Some(false));
        }
        s.asks(1, VIEW);
        let (connection, _) = s.sent().expect("is sent at once");
        s.reply(connection, rows("v"), Some(false));
        used.push(connection);
        s.changed(entry(&old, EndpointStatus::Deleted, false));
        s.pass(50);
        old = name;
    }
    let MemberCounts { names, ids, idle } = s.event_loop.member_counts();
    assert!(names <= 3 && ids <= 3 && idle <= 3, "{names} {ids} {idle}");
    let open = used.iter().filter(|c| s.is_open(**c)).count();
    assert!(open <= 2, "{open} connections to members that are gone");
}

/// At which millisecond, what client 1 does then, and what it has been told by the end of it.
type Step = (u64, &'static str, &'static str);

#[test]
fn clients_that_hold_a_place_and_ask_nothing_are_let_go() {
    #[rustfmt::skip]
    let cases: [(&str, u32, &[Step]); 9] = [
        ("says nothing", 0, &[(2499, "", ""), (2500, "", "time up")]),
        ("opens and asks nothing", 0, &[(100, "idle", ""), (2499, "", ""), (2500, "", "time up")]),
        ("half a message first", 0, &[(100, "idle", ""), (200, "writes", ""), (2500, "", "time up")]),
        ("half a message later", 0, &[(100, "asks", "rows(v)"), (100, "idle", ""), (5000, "writes", ""), (7499, "", ""), (7500, "", "time up")]),
        ("a message in pieces", 0, &[(100, "asks", "rows(v)"), (100, "idle", ""), (5000, "writes", ""), (7000, "asks", "rows(v)"), (9000, "", "")]),
        ("rests", 0, &[(100, "asks", "rows(v)"), (100, "idle", ""), (10_099, "", ""), (10_100, "", "leave")]),
        ("rests among many", 4, &[(100, "asks", "rows(v)"), (100, "idle", ""), (2299, "", ""), (2300, "", "leave")]),
        ("rests among too many", 7, &[(100, "asks", "rows(v)"), (100, "idle", ""), (199, "", ""), (200, "", "leave")]),
        ("rests among many that say nothing", 0, &[(100, "asks", "rows(v)"), (100, "idle", ""), (200, "silence", ""), (10_099, "", ""), (10_100, "", "leave")]),
    ];
    for (name, others, steps) in cases {
        // 20 places for clients.
        let mut s = Stage::new(SETTINGS, 78, 192 << 20);
        let start = s.now;
        s.client(1);
        for id in 2..2 + others {
            s.client(id);
            s.asks(id, "c=view,d=60000,cluster=1");
            s.sent();
        }
        for (ms, does, told) in steps {
            s.pass((start + TimeSpan::millis(*ms) - s.now).0 / 1000);
            let (client, since) = (1, s.now);
            match *does {
                "idle" => s
                    .event_loop
                    .on_event(s.now, Event::Client(ClientEvent::Idle { client, since })),
                "writes" => s.event_loop.on_event(
                    s.now,
                    Event::Client(ClientEvent::PartialMessage { client, since }),
                ),
                "silence" => (50..60).for_each(|id| s.client(id)),
                "asks" => {
                    s.asks(1, POST);
                    let (connection, _) = s.sent().expect("is sent at once");
                    s.reply(connection, rows("v"), Some(true));
                }
                _ => {}
            }
            assert_eq!(s.told(1), *told, "{name} at {ms}");
        }
    }
}

/// Hundreds that connect and say nothing must not push out who has asked, however fast they come.
#[test]
fn silent_clients_push_out_each_other_first() {
    let mut s = Stage::new(SETTINGS, 78, 192 << 20);
    for id in 1..=8 {
        s.client(id);
        s.asks(id, VIEW);
        let (connection, _) = s.sent().expect("is sent at once");
        s.reply(connection, rows("v"), Some(false));
        s.event_loop.on_event(
            s.now,
            Event::Client(ClientEvent::Idle {
                client: id,
                since: s.now,
            }),
        );
        s.told(id);
    }
    (100..400).for_each(|id| s.client(id));
    assert!(
        (1..=8).all(|id| s.told(id).is_empty()),
        "one that has asked was let go"
    );
    assert_eq!((100..388).filter(|id| s.told(*id) == "leave").count(), 288);
}

/// To a member it would be a copy of the first, and whoever knows an id could spoil another's statement.
#[test]
fn a_second_statement_with_an_open_id_reaches_no_member() {
    let mut s = stage();
    s.client(2);
    s.asks_as(1, 7, POST);
    let (connection, _) = s.sent().expect("is sent at once");
    s.asks_as(2, 7, POST);
    assert_eq!((s.told(2).as_str(), s.sent()), ("22023", None));
    s.reply(connection, rows("v"), Some(true));
    assert_eq!(s.told(1), "rows(v)");
    s.asks_as(2, 7, POST);
    assert!(s.sent().is_some(), "once the first has its answer the id is free");
}

/// What stands between may forget idle connections and give no sign: a write on one of them is lost, and may have run.
#[test]
fn connections_that_break_after_a_rest_are_not_used_after_one() {
    let (hardly, long) = (TimeSpan::millis(1), TimeSpan::millis(150));
    // (breaks in a hundred of those that hardly rested, and of those that rested for long; whether that is too long)
    for (young, old, too_long) in [
        (0, 40, true),
        (5, 40, true),
        (0, 10, false),
        (30, 40, false),
        (40, 0, false),
    ] {
        let mut ages = IdleLifetimeEstimator::default();
        for n in 0..100 {
            ages.record(START, hardly, n < young);
            ages.record(START, long, n < old);
        }
        let limit = ages.limit();
        assert_eq!(
            limit.is_some_and(|l| l > hardly && l <= long),
            too_long,
            "{young} {old}"
        );
        // Not for ever: it is tried again when what was seen is old.
        ages.record(START + TimeSpan::millis(30_000), hardly, false);
        assert_eq!(ages.limit(), None);
    }
    let mut pool = ConnectionPool::default();
    let (address, line) = (PRIMARY.parse().expect("is an address"), || {
        ConnectionHandle::to_channel(channel::<MemberCommand>().0)
    });
    for (id, since) in [(1, 0), (2, 100), (3, 200)] {
        pool.add(id, 7, address, line());
        pool.release(id, START + TimeSpan::millis(since));
    }
    let at = |ms| START + TimeSpan::millis(ms);
    assert_eq!(
        pool.take_idle(7, address, at(150)),
        Some(IdleConnection {
            since: at(200),
            id: 3
        }),
        "the one used last"
    );
    assert_eq!(
        (pool.take_idle(7, address, at(150)), pool.count()),
        (None, 1),
        "older ones are let go"
    );
}

/// A configuration that is read again may name another address for discovery. What the old one says or does not
/// say is of no interest from then on, and its version means nothing at the new one.
#[test]
fn discovery_may_move_and_is_asked_for_the_whole_list_there() {
    let asked = SETTINGS.replacen('{', r#"{"discovery":"ask","#, 1);
    for settings in [SETTINGS, &asked] {
        let mut s = Stage::new(settings, 1024, 192 << 20);
        let hear = |s: &mut Stage, request, event| {
            s.event_loop
                .on_event(s.now, Event::from(DiscoveryMessage { request, event }))
        };
        hear(&mut s, 1, DiscoveryEvent::Listed(group()));
        let mut given = RuntimeConfig {
            discovery: s.called.borrow()[0].0.address,
            max_descriptors: 1024,
            max_memory: 192 << 20,
        };
        s.event_loop.set_config(s.now, given);
        s.pass(0);
        assert_eq!(s.called.borrow().len(), 1, "the same address: the watch stands");
        given.discovery = "10.0.1.2:80".parse().expect("is an address");
        // Twice in a row must not call twice.
        s.event_loop.set_config(s.now, given);
        s.event_loop.set_config(s.now, given);
        s.pass(0);
        let calls: Vec<_> = s
            .called
            .borrow()
            .iter()
            .map(|(c, _)| (c.address, c.after))
            .collect();
        assert_eq!(
            calls[1..],
            [(given.discovery, None)],
            "at once, and the whole list"
        );
        assert!(matches!(
            s.called.borrow()[0].1.try_recv(),
            Err(TryRecvError::Disconnected)
        ));
        hear(&mut s, 1, DiscoveryEvent::Listed(list(9, Vec::new())));
        hear(&mut s, 1, DiscoveryEvent::Closed);
        s.client(1);
        s.asks(1, VIEW);
        assert!(
            s.sent().is_some(),
            "what was known stands until the new one answers"
        );
    }
}

/// Fewer descriptors or less memory than before bind whoever comes next, and end nothing that is open.
#[test]
fn limits_that_change_bind_from_then_on() {
    let mut s = stage();
    s.asks(1, "c=view,d=60000,cluster=1");
    let (connection, _) = s.sent().expect("is sent at once");
    let discovery = s.called.borrow()[0].0.address;
    let (sockets, memory) = (50, 192 << 20);
    s.event_loop.set_config(
        s.now,
        RuntimeConfig {
            discovery,
            max_descriptors: sockets,
            max_memory: memory,
        },
    );
    s.client(2);
    assert_eq!((s.told(1).as_str(), s.told(2).as_str()), ("", "turned away"));
    s.reply(connection, rows("v"), Some(false));
    assert_eq!(s.told(1), "rows(v)");
    // A quarter of the memory is for what clients send, and what they have sent is given back with its answer.
    assert_eq!(s.room.reserved(), 0);
    let memory = 400;
    s.event_loop.set_config(
        s.now,
        RuntimeConfig {
            discovery,
            max_descriptors: sockets,
            max_memory: memory,
        },
    );
    let held = StatementText::new(&"x".repeat(60), &s.room).expect("has room");
    assert!(StatementText::new(&"x".repeat(60), &s.room).is_none());
    drop(held);
    assert!(StatementText::new(&"x".repeat(60), &s.room).is_some());
}

#[test]
fn where_the_list_is_asked_for_the_module_says_when() {
    let asks = SETTINGS.replacen(
        '{',
        r#"{"discovery":"ask","rules":{"ask_within_us":10000000},"#,
        1,
    );
    let mut s = Stage::new(&asks, 1024, 192 << 20);
    assert_eq!(s.called.borrow().len(), 1, "at the start");
    s.event_loop.on_event(
        s.now,
        Event::from(DiscoveryMessage {
            request: 1,
            event: DiscoveryEvent::Closed,
        }),
    );
    s.pass(30);
    assert_eq!(s.called.borrow().len(), 1, "not on the network's own account");
    s.pass(70);
    assert_eq!(
        s.called.borrow().len(),
        2,
        "soon, for changes are missed meanwhile"
    );
}

/// Each call costs a discovery that is asked: what is known from before is not asked for again, unless that is no version of
/// what discovery holds. An agent that the list is pushed to is asked for the whole.
#[test]
fn where_the_list_is_asked_for_the_first_call_is_for_what_is_newer() {
    let asks = SETTINGS.replacen(
        '{',
        r#"{"discovery":"ask","rules":{"ask_within_us":10000000},"#,
        1,
    );
    for (settings, first) in [(asks.as_str(), Some(1)), (SETTINGS, None)] {
        let mut s = Stage::knowing(settings, 1024, 192 << 20);
        let after = |s: &Stage| s.called.borrow().last().map(|(call, _)| call.after);
        assert_eq!(after(&s), Some(first));
        s.event_loop.on_event(
            s.now,
            Event::from(DiscoveryMessage {
                request: 1,
                event: DiscoveryEvent::Outdated,
            }),
        );
        s.event_loop.on_event(
            s.now,
            Event::from(DiscoveryMessage {
                request: 1,
                event: DiscoveryEvent::Closed,
            }),
        );
        s.pass(1600);
        assert_eq!((s.called.borrow().len() > 1, after(&s)), (true, Some(None)));
    }
}

#[test]
fn a_probe_tells_position_and_role() {
    let mut s = Stage::new(SETTINGS, 1024, 192 << 20);
    assert!(s.event_loop.metrics.probes_answered > 0);
    let asked = messages::health_check(true);
    assert!(asked.windows(11).any(|w| w == b"SHOW vitals"));
    // The replica owes an answer for long enough to be shunned, and is probed until it speaks.
    s.client(1);
    s.asks(1, "c=view,d=60000,cluster=1");
    s.sent().expect("is sent at once");
    let before = s.event_loop.metrics.probes_sent;
    s.pass(3000);
    assert!(s.event_loop.metrics.probes_sent > before);
}

#[test]
fn clients_are_sent_away_and_those_that_still_come() {
    let mut s = stage();
    s.asks(1, VIEW);
    s.event_loop.begin_drain();
    s.client(2);
    assert_eq!((s.told(1).as_str(), s.told(2).as_str()), ("leave", "leave"));
    let (connection, _) = s.sent().expect("what was taken goes on");
    s.reply(connection, rows("v"), Some(false));
    assert_eq!(s.told(1), "rows(v)");
}

/// Our side of a client's connection is shut, and what it still sends is dropped: for a short while, and for as long as nobody
/// else needs its place.
#[test]
fn a_client_that_was_sent_off_is_held_for_its_way_alone() {
    let ended = |stage: &Stage, id: u32| {
        let end = stage.clients[&id].try_recv();
        matches!(end, Err(TryRecvError::Disconnected))
    };
    let mut stage = stage();
    stage
        .event_loop
        .on_event(stage.now, Event::Client(ClientEvent::HalfClosed { client: 1 }));
    stage.pass(299);
    assert!(!ended(&stage, 1));
    stage.pass(1);
    assert!(ended(&stage, 1));
    stage
        .event_loop
        .on_event(stage.now, Event::Client(ClientEvent::Closed { client: 1 }));
    assert_eq!(stage.event_loop.open_clients(), 0);
    // Six descriptors beyond the reserve: four clients.
    let mut stage = Stage::new(SETTINGS, 48 + 6, 192 << 20);
    (1..=4).for_each(|id| stage.client(id));
    stage.pass(1);
    stage
        .event_loop
        .on_event(stage.now, Event::Client(ClientEvent::HalfClosed { client: 2 }));
    stage.client(5);
    assert!(ended(&stage, 2), "it goes first");
    assert_eq!(
        [1, 3, 4, 5].map(|id| stage.told(id)),
        ["", "", "", ""],
        "and nobody else"
    );
}

/// Told to leave, a client in the middle of a message has a moment for its end, not all the time that others have.
#[test]
fn a_message_that_is_not_ended_does_not_hold_a_process_up_that_leaves() {
    let mut stage = stage();
    stage.asks(1, "c=view,d=900,cluster=9");
    assert_eq!(stage.told(1), "22023", "answered, so it rests now");
    let since = stage.now;
    stage.event_loop.on_event(
        since,
        Event::Client(ClientEvent::PartialMessage { client: 1, since }),
    );
    stage.event_loop.begin_drain();
    stage.pass(499);
    assert_eq!(stage.told(1), "leave");
    stage.pass(1);
    assert_eq!(stage.told(1), "time up");
}
