//! Gossip and the control socket, which only one process of the service runs at a time.

use super::start_retry::StartRetry;
use super::startup::Startup;
use super::ServeError;
use crate::program::config::Config;
use crate::program::control_socket::{self, UpgradeRequest};
use crate::program::gossip::{self, GossipConfig, GossipHandle};
use crate::program::log::{log, Log};
use crate::program::operators::OperatorsOptions;
use crate::routing::event_loop::EventLoop;
use crate::routing::events::Event;
use crate::transport::clock::Clock;
use asterlatch::time::Timestamp;
use asterlatch_config::resolved::ResolvedSettings;
use std::path::Path;
use std::sync::mpsc::Sender;

/// The control socket before it listens.
struct PendingControlSocket<'a> {
    path: &'a Path,
    upgrade_requests: Sender<UpgradeRequest>,
}

/// Gossip and the control socket. A successor starts them once its predecessor has exited: until then the
/// predecessor may have to continue, with its identity in the fleet and its control socket.
pub(super) struct DeferredServices<'a> {
    config: &'a Config,
    clock: Clock,
    queue: Sender<Event>,
    gossip: Option<GossipConfig>,
    state_folder: Option<&'a Path>,
    control_socket: Option<PendingControlSocket<'a>>,
}

impl<'a> DeferredServices<'a> {
    /// Starts neither of them.
    pub(super) fn new(
        startup: &Startup<'a>,
        resolved: &ResolvedSettings,
        options: &'a OperatorsOptions,
        control_path: Option<&'a Path>,
        upgrade_requests: Sender<UpgradeRequest>,
    ) -> DeferredServices<'a> {
        DeferredServices {
            config: startup.config,
            clock: startup.clock,
            queue: startup.queue.clone(),
            gossip: GossipConfig::from_resolved(resolved),
            state_folder: options.state_folder.as_deref(),
            control_socket: control_path.map(|path| PendingControlSocket {
                path,
                upgrade_requests,
            }),
        }
    }

    /// Starts both, or defers that to [`DeferredServices::start_deferred`] if this process has a predecessor.
    ///
    /// # Errors
    /// If either can't be started; if gossip fails the control socket is not started.
    pub(super) fn start_or_defer(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        has_predecessor: bool,
        retry: &StartRetry,
    ) -> Result<(), ServeError> {
        if !has_predecessor {
            let gossip = retry.run(|| self.start_gossip(event_loop))?;
            return retry.run(|| self.start_control_socket(gossip.clone()));
        }
        if self.gossip.is_some() {
            event_loop.defer_gossip();
        }
        Ok(())
    }

    /// Starts both in a process that already serves; failures are only logged.
    pub(super) fn start_deferred(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let gossip = self.start_gossip(event_loop).unwrap_or_else(|error| {
            log!(event_loop.logger, now, "fleet", "gossip is disabled: {error}");
            None
        });
        if let Err(error) = self.start_control_socket(gossip) {
            log!(
                event_loop.logger,
                now,
                "upgrade",
                "the control socket is disabled: {error}"
            );
        }
    }

    fn start_gossip(&self, event_loop: &mut EventLoop<Log>) -> Result<Option<GossipHandle>, ServeError> {
        let Some(config) = &self.gossip else {
            return Ok(None);
        };
        let queue = self.queue.clone();
        let started = gossip::start(config, self.config, self.clock, queue, self.state_folder)?;
        event_loop.join_gossip(started.gossip);
        Ok(Some(started.handle))
    }

    fn start_control_socket(&self, gossip: Option<GossipHandle>) -> Result<(), ServeError> {
        let Some(socket) = &self.control_socket else {
            return Ok(());
        };
        let upgrade_requests = socket.upgrade_requests.clone();
        control_socket::listen(socket.path, self.queue.clone(), upgrade_requests, gossip)?;
        Ok(())
    }
}
