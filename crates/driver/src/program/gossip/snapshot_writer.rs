//! Keeps the snapshot of the replicated state on disk up to date.

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

/// The schedule of the snapshot's writes, with the thread that carries them out.
pub(super) struct SnapshotWriter {
    schedule: SnapshotSchedule,
    jobs: SyncSender<WriteJob>,
    results: Receiver<WriteResult>,
    /// Continues the file that was written last; `None` if it has to be rewritten.
    encoder: Option<SnapshotEncoder>,
}

impl SnapshotWriter {
    /// Starts the thread. `former` tells whether the snapshot of the folder was read; `handle` wakes the gossip thread after
    /// each write.
    pub(super) fn start(
        folder: &Path,
        former: PreviousLog,
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
            jobs: snapshot_file::start(folder, former, on_written)?,
            results,
            encoder: None,
        })
    }

    /// Whether the last write failed.
    pub(super) fn is_failing(&self) -> bool {
        self.schedule.is_failing()
    }

    /// When the next write may be due.
    pub(super) fn next_at(&self) -> Timestamp {
        self.schedule.next_at()
    }

    /// Starts a write if one is due; returns log lines on writes that ended.
    pub(super) fn poll(&mut self, node: &mut GossipNode, now: Timestamp) -> Vec<String> {
        let lines = self.take_results(now);
        if node.has_changed() {
            self.schedule.mark_changed();
        }
        if let Some(request) = self.schedule.next_request(now) {
            let job = self.write_job(node, request);
            // One at a time, so there is room for it.
            let _ = self.jobs.try_send(job);
        }
        lines
    }

    fn take_results(&mut self, now: Timestamp) -> Vec<String> {
        let mut lines = Vec::new();
        while let Ok(done) = self.results.try_recv() {
            if done.result.is_err() {
                self.encoder = None;
            }
            let change = self
                .schedule
                .on_written(now, done.request, done.records, done.result);
            lines.extend(change.as_ref().map(describe_change));
        }
        lines
    }

    /// The changed records if the file can be appended to, otherwise all of them.
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
        WriteStatusChange::Failing(error) => format!("nothing is kept until that is mended: {error}"),
        WriteStatusChange::Recovered => "the copy is kept again".to_owned(),
    }
}
