//! Workloads with their properties and limits.

use super::limits::{Limits, WorkloadLimits};
use super::members::NameTable;
use asterlatch::interface::{Freshness, RetrySafety, Settings, WorkloadSettings};
use asterlatch::time::TimeSpan;
use asterlatch_settings::{normalize_name, Decoding};
use std::collections::BTreeMap;

/// Properties and limits of a workload.
pub struct Workload {
    freshness: Freshness,
    /// A client may safely retry its statements even if they may have been executed.
    pub is_client_retry_safe: bool,
    /// Executing a statement twice may change the result, so other drivers are asked before a client retry is
    /// sent.
    pub needs_deduplication: bool,
    /// Limits set by operators.
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

    /// Whether its statements belong to sessions: writes are recorded, and session reads must see them.
    pub fn uses_sessions(&self) -> bool {
        matches!(self.freshness, Freshness::Session | Freshness::Write)
    }

    /// Upper bound of the timeout of its statements.
    pub fn max_statement_timeout(&self, limits: &Limits) -> TimeSpan {
        let timeout = self.limits.max_timeout.unwrap_or(limits.max_statement_timeout);
        timeout.min(limits.max_statement_timeout)
    }
}

/// All workloads of the deployment, indexed in the order of its settings.
pub struct Workloads {
    names: NameTable,
    all: Vec<Workload>,
}

impl Workloads {
    /// Builds the table from the deployment's settings.
    pub fn new(settings: &Settings, decoding: &Decoding) -> Workloads {
        Workloads {
            names: NameTable::from_names(&decoding.workload_names),
            all: settings.workloads.iter().map(Workload::new).collect(),
        }
    }

    /// Index of the workload with this name; `None` if it is unknown.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.names.find(&normalize_name(name))
    }

    /// The workload with this index.
    ///
    /// # Panics
    /// If the index was not returned by [`Workloads::find`].
    pub fn get(&self, index: usize) -> &Workload {
        &self.all[index]
    }

    /// Replaces the limits of all workloads. Unknown names are ignored.
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
