//! How an execution or probe gets to its member. On a connection that stands it goes at once; where one has to come up
//! first nothing leaves before the module has looked again, for much may have come meanwhile.

use super::{Observer, Owner};
use crate::protocol::messages;
use crate::routing::errands::{Errand, Kind, Start, Up};
use asterlatch::interface::{ExecutionOutcome, ReplicaStatus};
use asterlatch::time::Timestamp;
use asterlatch_handover::io_journal::JournalRecord;

impl<O: Observer> Owner<O> {
    /// Gives the errand a connection.
    pub(super) fn start(&mut self, now: Timestamp, errand: Errand) {
        let address = self.members.address(errand.member);
        let started = match address {
            Some(address) => self.errands.start(now, errand, address),
            None => Err(ExecutionOutcome::NotSent),
        };
        match (started, errand.kind) {
            (Ok(Start::Stands(connection)), _) => self.send(now, connection, errand),
            (Ok(Start::Opens(cause)), kind) => {
                self.figures.opened(Some(cause));
                if let Kind::Execution { stmt, number } = kind {
                    self.module.on_connecting(stmt, number);
                }
            }
            (Err(ending), _) => self.end(errand, now, ending, ReplicaStatus::default()),
        }
    }

    /// Its connection had ended before anything was written: it starts anew, if it still may.
    pub(super) fn restart(&mut self, now: Timestamp, errand: Errand) {
        if self.may_go(now, errand.kind) {
            self.start(now, errand);
        } else {
            self.end(errand, now, ExecutionOutcome::NotSent, ReplicaStatus::default());
        }
    }

    pub(super) fn connection_up(&mut self, now: Timestamp, connection: u32) {
        let Up::For(errand) = self.errands.up(connection, now) else {
            return;
        };
        if self.may_go(now, errand.kind) {
            self.send(now, connection, errand);
        } else if let Some(errand) = self.errands.take_back(connection, now) {
            self.end(errand, now, ExecutionOutcome::NotSent, ReplicaStatus::default());
        }
    }

    fn may_go(&mut self, now: Timestamp, kind: Kind) -> bool {
        match kind {
            Kind::Execution { stmt, number } => self.module.may_dispatch(now, stmt, number),
            Kind::Probe => true,
        }
    }

    /// Hands what the errand is for to its connection, and writes that down first where another process may go on.
    fn send(&mut self, now: Timestamp, connection: u32, errand: Errand) {
        let query = match errand.kind {
            Kind::Execution { stmt, .. } => self.statements.query(stmt, now, errand.until),
            Kind::Probe => Some(messages::probe(self.decoding.reported)),
        };
        let Some(query) = query else {
            if let Some(errand) = self.errands.take_back(connection, now) {
                self.end(errand, now, ExecutionOutcome::NotSent, ReplicaStatus::default());
            }
            return;
        };
        if let (Kind::Execution { stmt, .. }, Some(witness)) = (errand.kind, &self.witness) {
            if let Some((client, end, harmless)) = self.statements.place(stmt).filter(|_| witness.is_on()) {
                let out = JournalRecord::Dispatched {
                    client,
                    end,
                    is_retry_safe: harmless,
                };
                witness.put(&out, None);
            }
        }
        self.errands.send(connection, query);
    }
}
