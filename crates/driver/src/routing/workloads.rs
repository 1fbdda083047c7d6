//! Workloads by name, with their properties and limits.

use super::limits::{Limits, WorkloadLimits};
use super::members::NameTable;
use asterlatch::interface::{Freshness, RetrySafety, Settings, WorkloadSettings};
use asterlatch::time::TimeSpan;
use asterlatch_settings::{word, Decoding};
use std::collections::BTreeMap;

/// A workload.
pub struct Workload {
    freshness: Freshness,
    /// A client may retry its statements though they may have been executed.
    pub is_client_retry_safe: bool,
    /// Executing a statement twice may have a second effect, so other drivers are asked before a client retry is sent.
    pub needs_deduplication: bool,
    /// Limits that operators have set.
    pub limits: WorkloadLimits,
}

impl Workload {
    fn new(settings: &WorkloadSettings) -> Workload {
        Workload {
            freshness: settings.freshness,
            is_client_retry_safe: settings.is_client_retry_safe(),
            needs_deduplication: settings.retry_safety != RetrySafety::Idempotent,
            limits: WorkloadLimits::default(),
        }
    }

    /// Whether its statements write.
    pub fn is_write(&self) -> bool {
        self.freshness == Freshness::Write
    }

    /// Whether its statements belong to sessions: their writes are recorded, or their reads must see those.
    pub fn uses_sessions(&self) -> bool {
        matches!(self.freshness, Freshness::Session | Freshness::Write)
    }

    /// Upper bound for the timeout of its statements.
    pub fn max_statement_timeout(&self, limits: &Limits) -> TimeSpan {
        let own = self.limits.max_timeout.unwrap_or(limits.max_statement_timeout);
        own.min(limits.max_statement_timeout)
    }
}

/// All workloads of the deployment, in the order of its settings.
pub struct Workloads {
    names: NameTable,
    all: Vec<Workload>,
}

impl Workloads {
    /// The workloads of these settings.
    pub fn new(settings: &Settings, decoding: &Decoding) -> Workloads {
        Workloads {
            names: NameTable::of(&decoding.workloads),
            all: settings.workloads.iter().map(Workload::new).collect(),
        }
    }

    /// Index of the workload with this name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.names.find(&word(name))
    }

    /// The workload with this index.
    ///
    /// # Panics
    /// If the index does not come from [`Workloads::find`].
    pub fn get(&self, index: usize) -> &Workload {
        &self.all[index]
    }

    /// Replaces all limits. Names that the deployment does not know are ignored.
    pub fn set_limits(&mut self, by_name: &BTreeMap<String, WorkloadLimits>) {
        for workload in &mut self.all {
            workload.limits = WorkloadLimits::default();
        }
        for (name, limits) in by_name {
            let index = self.find(name);
            if let Some(workload) = index.and_then(|index| self.all.get_mut(index)) {
                workload.limits = *limits;
            }
        }
    }
}
