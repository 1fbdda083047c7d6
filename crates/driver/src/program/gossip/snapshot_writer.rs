//! Writes the snapshot of the replicated state on schedule.

use super::snapshot_file::{self, SnapshotFileError, WriteJob, WriteResult};
use super::GossipHandle;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::node::GossipNode;
use asterlatch_gossip::record::ObservedRecord;
use asterlatch_gossip::snapshot::{SnapshotEncoder, SnapshotSchedule, WriteRequest, WriteStatusChange};
use asterlatch_storage::log_file::PreviousLog;
use std::io;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, SyncSender};

/// Schedules the snapshot's writes, which a thread executes one at a time.
pub(super) struct SnapshotWriter {
    schedule: SnapshotSchedule,
    jobs: SyncSender<WriteJob>,
    results: Receiver<WriteResult>,
    /// Encodes records to append to the file; `None` if the file has to be rewritten.
    encoder: Option<SnapshotEncoder>,
}

impl SnapshotWriter {
    /// Starts the thread. `previous` states whether the snapshot in the folder was read; `handle` wakes the
    /// gossip thread after each write.
    pub(super) fn start(
        folder: &Path,
        previous: PreviousLog,
        interval: TimeSpan,
        now: Timestamp,
        handle: &GossipHandle,
    ) -> io::Result<SnapshotWriter> {
        let (sender, results) = channel();
        let handle = handle.clone();
        let on_written = move |result| {
            let is_received = sender.send(result).is_ok();
            handle.wake();
            is_received
        };
        Ok(SnapshotWriter {
            schedule: SnapshotSchedule::new(now, interval),
            jobs: snapshot_file::start(folder, previous, on_written)?,
            results,
            encoder: None,
        })
    }

    /// Whether the last write failed.
    pub(super) fn is_failing(&self) -> bool {
        self.schedule.is_failing()
    }

    /// Time at which the next write may be due.
    pub(super) fn next_at(&self) -> Timestamp {
        self.schedule.next_at()
    }

    /// Starts a write if one is due; returns log lines about finished writes.
    pub(super) fn poll(&mut self, node: &mut GossipNode, now: Timestamp) -> Vec<String> {
        let lines = self.collect_results(now);
        if node.has_changed() {
            self.schedule.mark_changed();
        }
        if let Some(request) = self.schedule.next_request(now) {
            let job = self.write_job(node, request);
            // At most one write is in flight, so the channel has room.
            let _ = self.jobs.try_send(job);
        }
        lines
    }

    fn collect_results(&mut self, now: Timestamp) -> Vec<String> {
        let mut lines = Vec::new();
        while let Ok(outcome) = self.results.try_recv() {
            if outcome.result.is_err() {
                self.encoder = None;
            }
            let change = self
                .schedule
                .on_written(now, outcome.request, outcome.records, outcome.result);
            lines.extend(change.as_ref().map(describe_change));
        }
        lines
    }

    /// Encodes the changed records if the file can be appended to, otherwise all records.
    fn write_job(&mut self, node: &mut GossipNode, request: WriteRequest) -> WriteJob {
        let changed = node.take_changed();
        let mut bytes = Vec::new();
        let (request, records) = match (request, changed) {
            (WriteRequest::Append, Some(changed)) if self.encoder.is_some() => (request, changed),
            _ => {
                bytes = self.begin_file(node);
                (WriteRequest::Rewrite, persistent_records(node))
            }
        };
        if let Some(encoder) = &mut self.encoder {
            for observed in &records {
                encoder.append(&mut bytes, &observed.record, observed.observed_at);
            }
        }
        WriteJob {
            request,
            bytes,
            records: records.len(),
        }
    }

    fn begin_file(&mut self, node: &GossipNode) -> Vec<u8> {
        let settings = node.settings();
        let incarnation = node.membership.identity().incarnation;
        let (header, encoder) = SnapshotEncoder::begin(&settings.fleet, &settings.name, incarnation);
        self.encoder = Some(encoder);
        header
    }
}

fn persistent_records(node: &GossipNode) -> Vec<ObservedRecord> {
    let entries = node.state.entries();
    let persistent = entries.filter(|entry| entry.record.kind().is_persistent());
    persistent.map(ObservedRecord::from).collect()
}

fn describe_change(change: &WriteStatusChange<SnapshotFileError>) -> String {
    match change {
        WriteStatusChange::Failing(error) => format!("cannot write the snapshot, will retry: {error}"),
        WriteStatusChange::Recovered => "the snapshot is written again".to_owned(),
    }
}
