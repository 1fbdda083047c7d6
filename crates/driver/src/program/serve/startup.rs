//! Creates the event loop and its listener.

use super::connectors::connectors;
use super::start_retry::StartRetry;
use super::ServeError;
use crate::program::config::Config;
use crate::program::log::{log, Log};
use crate::program::operators::LogLine;
use crate::program::upgrade::{ResumedService, SuccessorRole};
use crate::protocol::client_session::ClientSession;
use crate::routing::event_loop::{EventLoop, EventLoopOptions};
use crate::routing::events::Event;
use crate::routing::limits::Limits;
use crate::routing::runtime_config::MemoryBudgets;
use crate::transport::clock::Clock;
use crate::transport::io_journal::IoJournalWriter;
use crate::transport::listener;
use std::net::TcpListener;
use std::sync::mpsc::Sender;

/// Common inputs of the parts of the process.
pub(super) struct Startup<'a> {
    pub(super) config: &'a Config,
    pub(super) clock: Clock,
    /// Queue of the event loop.
    pub(super) queue: Sender<Event>,
    pub(super) memory: MemoryBudgets,
    /// Journals client I/O while a predecessor may have to resume the clients.
    pub(super) journal: Option<IoJournalWriter>,
}

impl Startup<'_> {
    /// Creates an event loop that resumes from the predecessor's state, or starts with the configured
    /// endpoint list.
    pub(super) fn event_loop(&self, limits: Limits, resumed: Option<ResumedService>) -> EventLoop<Log> {
        let options = EventLoopOptions {
            seed: self.config.seed,
            connectors: connectors(self),
            journal: self.journal.clone(),
            config: self.config.runtime,
            limits,
            memory: self.memory.clone(),
        };
        let settings = &self.config.settings;
        let decoding = self.config.decoding.clone();
        let now = self.clock.now();
        let mut event_loop = EventLoop::new(settings, decoding, options, now, Log::default());
        if let Some(resumed) = resumed {
            if resumed.learned.facts.is_none() {
                let text = "the predecessor is an earlier build: ids of statements that it has dispatched, positions of \
                    writes that it answers from now on, and its reloads are unknown";
                log!(event_loop.logger, now, "upgrade", "{text}");
            }
            event_loop.resume(self.clock.now(), settings, resumed.learned);
        } else if let Some(list) = &self.config.known_endpoints {
            event_loop.start_with_list(self.clock.now(), list);
        }
        event_loop
    }

    /// Returns the predecessor's listener, else binds a new one.
    pub(super) fn bind_or_inherit(
        &self,
        successor: Option<&mut SuccessorRole>,
    ) -> Result<TcpListener, ServeError> {
        let address = self.config.listen;
        match successor.and_then(SuccessorRole::take_listener) {
            Some(listener) => Ok(listener),
            None => TcpListener::bind(address).map_err(|source| ServeError::Listener { address, source }),
        }
    }

    /// Starts accepting clients; if `is_paused`, only once the event loop enables it.
    pub(super) fn listen(
        &self,
        event_loop: &mut EventLoop<Log>,
        listener: TcpListener,
        is_paused: bool,
        retry: &StartRetry,
    ) -> Result<(), ServeError> {
        let address = self.config.listen;
        let mut unregistered = Some(listener);
        let io = retry.run(|| {
            let registered = listener::register(&mut unregistered);
            registered.map_err(|source| ServeError::Listener { address, source })
        })?;
        let memory = self.memory.clients.clone();
        let session_memory = memory.clone();
        let journal = self.journal.clone();
        let new_session =
            move |id| ClientSession::new(id, session_memory.clone()).with_journal(journal.clone());
        let listening = listener::listen::<_, Event>(
            io,
            is_paused,
            self.queue.clone(),
            (self.clock, memory),
            new_session,
        );
        event_loop.attach_listener(listening);
        Ok(())
    }

    /// Logs each line under its topic.
    pub(super) fn log_all(&self, event_loop: &mut EventLoop<Log>, lines: &[LogLine]) {
        for line in lines {
            log!(event_loop.logger, self.clock.now(), line.topic, "{}", line.text);
        }
    }
}
