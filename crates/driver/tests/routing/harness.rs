//! The event loop with a clock and channels in place of sockets.

use asterlatch::interface::ReplicaStatus;
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};
use asterlatch_driver::protocol::client_events::{ClientCommand, ClientEvent, FinalAnswer, StatementText};
use asterlatch_driver::protocol::endpoint_list::{Endpoint, EndpointList, EndpointStatus};
use asterlatch_driver::protocol::member_connection::{MemberCommand, MemberEvent, Reply};
use asterlatch_driver::routing::discovery_requests::DiscoveryRequest;
use asterlatch_driver::routing::event_loop::{Connectors, EventLoop, EventLoopOptions, Logger};
use asterlatch_driver::routing::events::Event;
use asterlatch_driver::routing::limits::Limits;
use asterlatch_driver::routing::runtime_config::RuntimeConfig;
use asterlatch_driver::transport::connection::ConnectionHandle;
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

pub(crate) const START: Timestamp = Timestamp(1_767_225_600_000_000);
pub(crate) const SETTINGS: &str = r#"{"categories":[
 {"name":"view","idempotency":"retryable","objective_us":500000,"worth":1.0,"late_worth":0.2},
 {"name":"post","idempotency":"fragile","objective_us":1200000,"worth":3.0,"late_worth":0.3},
 {"name":"old view","idempotency":"retryable","objective_us":500000,"worth":1.0,"late_worth":0.2}],
 "family_info":{"freshness":["loose","update","loose"],"behind":"hold","answers_stamped":true},
 "limits":{"cancel":true,"probes":true,"try_limit":10,"conn_idle_us":30000000,"connect_timeout_us":250000,
 "max_retry_after_us":500000},"report":{"fields":["x0","x1"],"how":"on_probe"},"tick_us":5000,"zones":["a"]}"#;

pub(crate) struct Quiet;

impl Logger for Quiet {
    fn log(&mut self, _now: Timestamp, _topic: &'static str, _text: Arguments) {}
}

/// Connections to members by number: the address, and the commands that it receives.
pub(crate) type Dialled = Rc<RefCell<BTreeMap<u32, (String, Receiver<MemberCommand>)>>>;
pub(crate) type Called = Rc<RefCell<Vec<(DiscoveryRequest, Receiver<Infallible>)>>>;

pub(crate) struct Harness {
    pub(crate) event_loop: EventLoop<Quiet>,
    pub(crate) now: Timestamp,
    pub(crate) dialled: Dialled,
    pub(crate) called: Called,
    pub(crate) clients: BTreeMap<u32, Receiver<ClientCommand>>,
    /// Connections that are established.
    pub(crate) up: BTreeSet<u32>,
    pub(crate) asked: u32,
    /// The budget for what clients send.
    pub(crate) room: MemoryBudget,
    /// The error number with which the next dial fails.
    pub(crate) fault: Rc<RefCell<Option<i32>>>,
}

pub(crate) fn entry(name: &str, status: EndpointStatus, is_primary: bool) -> Endpoint {
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

pub(crate) fn list(index: u64, entries: Vec<Endpoint>) -> EndpointList {
    EndpointList {
        index,
        is_complete: true,
        entries,
        skipped: 0,
    }
}

/// A primary at 10.0.0.1 and a replica at 10.0.0.2.
pub(crate) fn group() -> EndpointList {
    let (primary, replica) = (
        entry("p", EndpointStatus::Serving, true),
        entry("rr", EndpointStatus::Serving, false),
    );
    list(1, vec![primary, replica])
}

pub(crate) const PRIMARY: &str = "10.0.0.1:5432";
pub(crate) const REPLICA: &str = "10.0.0.2:5432";

impl Harness {
    pub(crate) fn new(settings: &str, sockets: usize, memory: usize) -> Harness {
        let mut harness = Harness::empty(settings, sockets, memory);
        harness.event_loop.apply_endpoint_list(START, &group());
        harness.begin()
    }

    /// An event loop that starts with a known list.
    pub(crate) fn knowing(settings: &str, sockets: usize, memory: usize) -> Harness {
        let mut harness = Harness::empty(settings, sockets, memory);
        harness.event_loop.start_with_list(START, &group());
        harness.advance(0);
        harness
    }

    pub(crate) fn empty(settings: &str, sockets: usize, memory: usize) -> Harness {
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
        Harness {
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

    /// The members' clock. The event loop's own time line is an hour ahead of it.
    pub(crate) fn remote_now(&self) -> RemoteTimestamp {
        RemoteTimestamp(self.now.0) - TimeSpan::millis(3_600_000)
    }

    /// Answers the initial health checks.
    pub(crate) fn begin(self) -> Harness {
        let mut harness = self;
        harness.advance(0);
        // The initial health checks are of no interest to the tests.
        let probes: Vec<_> = harness.dialled.borrow().keys().copied().collect();
        for connection in probes {
            harness.up.insert(connection);
            harness.member_event(MemberEvent::Connected { connection });
            harness.reply(connection, Reply::Rows(Vec::new()), None);
            harness
                .dialled
                .borrow()
                .get(&connection)
                .map(|(_, told)| told.try_recv());
        }
        harness
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        let end = self.now + TimeSpan::millis(ms);
        while self.event_loop.next_at() <= end {
            self.now = self.now.max(self.event_loop.next_at());
            self.event_loop.advance_to(self.now);
        }
        self.now = end;
        self.event_loop.advance_to(self.now);
    }

    /// Applies a change of the endpoint list.
    pub(crate) fn change_endpoint(&mut self, entry: Endpoint) {
        let (is_complete, change) = (false, list(2, vec![entry]));
        self.event_loop.apply_endpoint_list(
            self.now,
            &EndpointList {
                is_complete,
                ..change
            },
        );
    }

    pub(crate) fn member_event(&mut self, event: MemberEvent) {
        self.event_loop.on_event(self.now, Event::Member(event));
    }

    pub(crate) fn reply(&mut self, connection: u32, reply: Reply, is_primary: Option<bool>) {
        let (at, report) = (self.now, None);
        let status = ReplicaStatus {
            position: Some(self.remote_now()),
            is_primary,
        };
        self.member_event(MemberEvent::Replied {
            connection,
            at,
            reply,
            status,
            report,
        });
    }

    pub(crate) fn connect_client(&mut self, id: u32) {
        let (sender, told) = channel();
        self.clients.insert(id, told);
        self.event_loop.on_event(
            self.now,
            Event::Arrival(AcceptEvent::Client(id, ConnectionHandle::to_channel(sender))),
        );
    }

    pub(crate) fn send_statement(&mut self, client: u32, fields: &str) {
        self.asked += 1;
        self.send_statement_with_id(client, self.asked, fields);
    }

    pub(crate) fn send_statement_with_id(&mut self, client: u32, id: u32, fields: &str) {
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

    /// What the client has received since the last call, in short.
    pub(crate) fn received(&self, client: u32) -> String {
        let words = self.clients[&client].try_iter().map(|say| match say {
            ClientCommand::HandOver => "handed over".to_owned(),
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
            ClientCommand::Drain => "drain".to_owned(),
            ClientCommand::TimeOut => "timed out".to_owned(),
            ClientCommand::Reject => "rejected".to_owned(),
        });
        words.collect::<Vec<_>>().join(" ")
    }

    /// The connection that was opened last, and its address.
    pub(crate) fn last_opened(&self) -> (u32, String) {
        let dialled = self.dialled.borrow();
        let (id, (address, _)) = dialled.last_key_value().expect("one was opened");
        (*id, address.clone())
    }

    /// The connection on which a statement was just sent, and its address; opened connections are established first.
    pub(crate) fn dispatched(&mut self) -> Option<(u32, String)> {
        let opened: Vec<_> = self.dialled.borrow().keys().copied().collect();
        for connection in opened {
            if self.up.insert(connection) {
                self.member_event(MemberEvent::Connected { connection });
            }
        }
        self.query_written()
    }

    /// The same, without establishing any connection.
    pub(crate) fn query_written(&self) -> Option<(u32, String)> {
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

    pub(crate) fn is_open(&self, connection: u32) -> bool {
        let dialled = self.dialled.borrow();
        !matches!(dialled[&connection].1.try_recv(), Err(TryRecvError::Disconnected))
    }
}

pub(crate) const VIEW: &str = "c=view,d=900,cluster=1";
pub(crate) const POST: &str = "c=post,d=3000,cluster=1";

pub(crate) fn with_client() -> Harness {
    let mut harness = Harness::new(SETTINGS, 1024, 192 << 20);
    harness.connect_client(1);
    harness
}

pub(crate) fn rows(value: &str) -> Reply {
    Reply::Rows(value.as_bytes().to_vec())
}
