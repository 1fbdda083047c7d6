//! Test harness: the event loop with a simulated clock, and channels instead of descriptors.

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
use asterlatch_settings::{read, SettingsMap};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::fmt::Arguments;
use std::io;
use std::net::SocketAddr;
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

/// Discards log lines.
#[derive(Default)]
pub(crate) struct TestLogger {
    /// Called at each line.
    pub(crate) on_line: Option<Box<dyn FnMut()>>,
}

impl Logger for TestLogger {
    fn log(&mut self, _now: Timestamp, _topic: &'static str, _text: Arguments) {
        if let Some(on_line) = &mut self.on_line {
            on_line();
        }
    }
}

pub(crate) type TestEventLoop = EventLoop<TestLogger>;

/// Opened member connections by id, with their address and received commands. A dropped sender means closed.
pub(crate) type MemberConnections = Rc<RefCell<BTreeMap<u32, (String, Receiver<MemberCommand>)>>>;
/// Discovery requests in order. A dropped sender means that the connection is closed.
pub(crate) type DiscoveryRequestLog = Rc<RefCell<Vec<(DiscoveryRequest, Receiver<Infallible>)>>>;

pub(crate) struct Harness {
    pub(crate) event_loop: TestEventLoop,
    pub(crate) now: Timestamp,
    pub(crate) member_connections: MemberConnections,
    pub(crate) requests: DiscoveryRequestLog,
    pub(crate) clients: BTreeMap<u32, Receiver<ClientCommand>>,
    /// Ids of established member connections.
    pub(crate) established: BTreeSet<u32>,
    pub(crate) last_statement_id: u32,
    /// Memory budget for client input.
    pub(crate) client_memory: MemoryBudget,
    /// OS error code with which the next dial of a member fails.
    pub(crate) next_dial_error: Rc<RefCell<Option<i32>>>,
}

pub(crate) fn endpoint(name: &str, status: EndpointStatus, is_primary: bool) -> Endpoint {
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

pub(crate) fn endpoint_list(index: u64, entries: Vec<Endpoint>) -> EndpointList {
    EndpointList {
        index,
        is_complete: true,
        entries,
        skipped: 0,
    }
}

/// A primary at 10.0.0.1 and a replica at 10.0.0.2.
pub(crate) fn primary_and_replica() -> EndpointList {
    let (primary, replica) = (
        endpoint("p", EndpointStatus::Serving, true),
        endpoint("rr", EndpointStatus::Serving, false),
    );
    endpoint_list(1, vec![primary, replica])
}

pub(crate) const PRIMARY: &str = "10.0.0.1:5432";
pub(crate) const REPLICA: &str = "10.0.0.2:5432";

fn add_connection(
    connections: &MemberConnections,
    id: u32,
    address: SocketAddr,
) -> ConnectionHandle<MemberCommand> {
    let (sender, commands) = channel();
    connections
        .borrow_mut()
        .insert(id, (address.to_string(), commands));
    ConnectionHandle::to_channel(sender)
}

impl Harness {
    pub(crate) fn new(settings: &str, descriptors: usize, memory: usize) -> Harness {
        let mut harness = Harness::without_members(settings, descriptors, memory);
        harness
            .event_loop
            .apply_endpoint_list(START, &primary_and_replica());
        harness.answer_initial_health_checks()
    }

    /// Starts with an endpoint list that is known before discovery responds.
    pub(crate) fn with_known_list(settings: &str, descriptors: usize, memory: usize) -> Harness {
        let mut harness = Harness::without_members(settings, descriptors, memory);
        harness.event_loop.start_with_list(START, &primary_and_replica());
        harness.advance(0);
        harness
    }

    pub(crate) fn without_members(settings: &str, descriptors: usize, memory: usize) -> Harness {
        let (member_connections, requests, next_dial_error) = (
            MemberConnections::default(),
            DiscoveryRequestLog::default(),
            Rc::new(RefCell::new(None)),
        );
        let (opened, adopted, request_log, dial_error) = (
            member_connections.clone(),
            member_connections.clone(),
            requests.clone(),
            next_dial_error.clone(),
        );
        let config = RuntimeConfig {
            discovery: "10.0.1.1:80".parse().expect("parse the address"),
            max_descriptors: descriptors,
            max_memory: memory,
        };
        let limits = Limits::default();
        let memory = config.memory_budgets(&limits);
        let connectors = Connectors {
            dial_member: Box::new(move |id, address| match dial_error.borrow_mut().take() {
                Some(code) => Err(io::Error::from_raw_os_error(code)),
                None => Ok(add_connection(&opened, id, address)),
            }),
            dial_discovery: Box::new(move |request| {
                let (sender, commands) = channel();
                request_log.borrow_mut().push((request, commands));
                Ok(ConnectionHandle::to_channel(sender))
            }),
            adopt_client: Box::new(|_, _, _| Err(io::Error::other("no handover in this test"))),
            adopt_member_connection: Box::new(move |id, stream| {
                Ok(add_connection(&adopted, id, stream.peer_addr()?))
            }),
        };
        let options = EventLoopOptions {
            seed: 7,
            connectors,
            journal: None,
            config,
            limits,
            memory: memory.clone(),
        };
        let json = serde_json::from_str(settings).expect("parse the JSON");
        let (settings, decoding) = SettingsMap::from_json(&json)
            .and_then(|p| read(&p))
            .expect("read the settings");
        Harness {
            event_loop: EventLoop::new(&settings, decoding, options, START, TestLogger::default()),
            now: START,
            member_connections,
            requests,
            clients: BTreeMap::new(),
            established: BTreeSet::new(),
            last_statement_id: 0,
            client_memory: memory.clients,
            next_dial_error,
        }
    }

    /// The members' clock, an hour behind the event loop's.
    pub(crate) fn remote_now(&self) -> RemoteTimestamp {
        RemoteTimestamp(self.now.0) - TimeSpan::millis(3_600_000)
    }

    /// Answers the initial health checks, so that tests start with an idle connection to each member.
    pub(crate) fn answer_initial_health_checks(self) -> Harness {
        let mut harness = self;
        harness.advance(0);
        let health_checks: Vec<_> = harness.member_connections.borrow().keys().copied().collect();
        for connection in health_checks {
            harness.established.insert(connection);
            harness.member_event(MemberEvent::Connected { connection });
            harness.reply(connection, Reply::Rows(Vec::new()), None);
            harness
                .member_connections
                .borrow()
                .get(&connection)
                .map(|(_, commands)| commands.try_recv());
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
    pub(crate) fn change_endpoint(&mut self, endpoint: Endpoint) {
        let (is_complete, change) = (false, endpoint_list(2, vec![endpoint]));
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
            is_position_current: true,
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
        let (sender, commands) = channel();
        self.clients.insert(id, commands);
        self.event_loop.on_event(
            self.now,
            Event::Accept(AcceptEvent::Client(id, ConnectionHandle::to_channel(sender))),
        );
    }

    pub(crate) fn send_statement(&mut self, client: u32, fields: &str) {
        self.last_statement_id += 1;
        self.send_statement_with_id(client, self.last_statement_id, fields);
    }

    pub(crate) fn send_statement_with_id(&mut self, client: u32, id: u32, fields: &str) {
        let text = format!("/* id={id},{fields} */ SELECT blob FROM rows WHERE handle = 'k'");
        let (number, at) = (0, self.now);
        let text = StatementText::new(&text, &self.client_memory).expect("reserve memory for the statement");
        let statement = ClientEvent::Statement {
            client,
            end: 0,
            number,
            text,
            at,
        };
        self.event_loop.on_event(self.now, Event::Client(statement));
    }

    /// Summary of the commands to a client since the last call.
    pub(crate) fn received(&self, client: u32) -> String {
        let descriptions = self.clients[&client].try_iter().map(|command| match command {
            ClientCommand::HandOver => "handed over".to_owned(),
            ClientCommand::Answer(_, FinalAnswer::Rows { messages: rows, .. }) => {
                format!("rows({})", String::from_utf8_lossy(&rows))
            }
            ClientCommand::Answer(
                _,
                FinalAnswer::Error {
                    code,
                    retry_after_ms: delay_ms,
                    ..
                },
            ) => format!("{code}{}", delay_ms.map_or(String::new(), |ms| format!("+{ms}"))),
            ClientCommand::Drain => "drain".to_owned(),
            ClientCommand::TimeOut => "timed out".to_owned(),
            ClientCommand::Reject => "rejected".to_owned(),
        });
        descriptions.collect::<Vec<_>>().join(" ")
    }

    /// Id and address of the member connection opened last.
    pub(crate) fn last_opened(&self) -> (u32, String) {
        let member_connections = self.member_connections.borrow();
        let (id, (address, _)) = member_connections
            .last_key_value()
            .expect("a connection was opened");
        (*id, address.clone())
    }

    /// Establishes all opened connections, then takes a sent query like [`Harness::take_query`].
    pub(crate) fn next_query(&mut self) -> Option<(u32, String)> {
        let opened: Vec<_> = self.member_connections.borrow().keys().copied().collect();
        for connection in opened {
            if self.established.insert(connection) {
                self.member_event(MemberEvent::Connected { connection });
            }
        }
        self.take_query()
    }

    /// Takes a sent query and returns the id and address of its connection.
    pub(crate) fn take_query(&self) -> Option<(u32, String)> {
        let member_connections = self.member_connections.borrow();
        let found = member_connections
            .iter()
            .rev()
            .find_map(|(id, (address, commands))| {
                let MemberCommand::Query(query) = commands.try_recv().ok()? else {
                    return None;
                };
                let text = String::from_utf8_lossy(&query).into_owned();
                text.contains("SELECT blob").then(|| (*id, address.clone()))
            });
        found
    }

    pub(crate) fn is_open(&self, connection: u32) -> bool {
        let member_connections = self.member_connections.borrow();
        !matches!(
            member_connections[&connection].1.try_recv(),
            Err(TryRecvError::Disconnected)
        )
    }
}

pub(crate) const READ: &str = "c=view,d=900,cluster=1";
pub(crate) const WRITE: &str = "c=post,d=3000,cluster=1";

pub(crate) fn harness_with_client() -> Harness {
    let mut harness = Harness::new(SETTINGS, 1024, 192 << 20);
    harness.connect_client(1);
    harness
}

pub(crate) fn rows(value: &str) -> Reply {
    Reply::Rows(value.as_bytes().to_vec())
}
