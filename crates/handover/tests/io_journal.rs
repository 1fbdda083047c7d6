//! Replay of the journal of a simulated successor that is killed after each of its steps. Guards against
//! clients that are told that an executed statement did not run, and against lost or repeated answers.

use asterlatch_handover::codec::{Decoded, Framed};
use asterlatch_handover::io_journal::{
    ClientRecovery, ConnectionKey, JournalRecord, JournalReplay, ReplayError, ReplayUsage, SocketByteCounts,
    StatementVerdict,
};
use asterlatch_handover::message::ClientState;
use std::collections::BTreeSet;

const ANSWER_BYTES: u64 = 5;
/// Steps of the successor in each scenario.
const STEPS: usize = 60;
const CLIENTS: usize = 3;

/// Actual state of a client, of which the predecessor knows only the journal and the kernel's byte counts.
/// Each statement ends with a semicolon.
#[derive(Default)]
struct ActualClient {
    sent: Vec<u8>,
    read: usize,
    written: u64,
    /// Ends of statements that were sent to a member.
    executed: BTreeSet<u64>,
    /// Ends of statements whose dispatch was announced.
    announced: BTreeSet<u64>,
    parsed_to: u64,
    answered_to: u64,
    /// Bytes of prepared answers that are not written yet.
    unwritten: u64,
    transferred: usize,
}

fn is_retry_safe(end: u64) -> bool {
    end.is_multiple_of(2)
}

impl ActualClient {
    /// Offsets at which the statements end.
    fn statement_ends(&self) -> Vec<u64> {
        let semicolons = self.sent.iter().enumerate().filter(|(_, byte)| **byte == b';');
        semicolons.map(|(offset, _)| offset as u64 + 1).collect()
    }

    fn complete_answers(&self) -> usize {
        (self.written / ANSWER_BYTES) as usize
    }

    fn has_partial_answer(&self) -> bool {
        !self.written.is_multiple_of(ANSWER_BYTES)
    }

    /// Offset up to which the kernel has accepted complete answers.
    fn written_to(&self) -> u64 {
        self.written - self.written % ANSWER_BYTES
    }

    fn byte_counts(&self) -> SocketByteCounts {
        SocketByteCounts {
            read: (self.read - self.transferred) as u64,
            written: self.written,
        }
    }

    fn check_recovery(&self, recovery: &ClientRecovery, case: &str) {
        let ClientRecovery::Resume { client, verdicts } = recovery else {
            return assert!(
                self.has_partial_answer(),
                "{case}: disconnected without a partial answer"
            );
        };
        assert!(
            !self.has_partial_answer(),
            "{case}: resumed after a partial answer"
        );
        let ends = self.statement_ends();
        let answered_to = match self.complete_answers() {
            0 => 0,
            count => ends[count - 1],
        };
        let unanswered = &self.sent[answered_to as usize..self.read];
        assert_eq!(client.input, unanswered, "{case}: unanswered input");
        for end in ends.iter().filter(|end| **end > answered_to) {
            let verdict = verdicts.verdict_for(end - answered_to);
            self.check_verdict(*end, verdict, case);
        }
    }

    fn check_verdict(&self, end: u64, verdict: StatementVerdict, case: &str) {
        let is_read = end as usize <= self.read;
        let is_correct = match verdict {
            StatementVerdict::Unread => !is_read,
            StatementVerdict::Rejected => !self.executed.contains(&end) || is_retry_safe(end),
            StatementVerdict::Aborted => self.announced.contains(&end) && !is_retry_safe(end),
        };
        assert!(
            is_correct && is_read != (verdict == StatementVerdict::Unread),
            "{case}: wrong verdict {verdict:?} on the statement that ends at {end}"
        );
    }
}

/// The successor's operation after its journal record is written.
enum Effect {
    Read(usize),
    Execute(u64),
    /// The statement was dispatched without being sent to a member.
    SkipExecution,
    PrepareAnswer,
}

struct AnnouncedEffect {
    record: JournalRecord,
    effect: Effect,
}

impl ActualClient {
    /// Takes a random step. Returns the record to write and its effect, or `None` if the step needs no
    /// record.
    fn take_step(&mut self, client: u32, random: &mut fastrand::Rng) -> Option<AnnouncedEffect> {
        match random.u8(0..4) {
            0 if self.read < self.sent.len() => Some(self.announce_read(client, random)),
            1 => self.announce_dispatch(client, random),
            2 => self.announce_answer(client),
            _ => {
                let written = random.u64(0..=self.unwritten);
                self.unwritten -= written;
                self.written += written;
                None
            }
        }
    }

    fn announce_read(&self, client: u32, random: &mut fastrand::Rng) -> AnnouncedEffect {
        let length = random.usize(1..=self.sent.len() - self.read);
        let record = JournalRecord::Read {
            client,
            written_to: self.written_to(),
            bytes: self.sent[self.read..self.read + length].to_vec(),
        };
        let effect = Effect::Read(length);
        AnnouncedEffect { record, effect }
    }

    fn announce_dispatch(&mut self, client: u32, random: &mut fastrand::Rng) -> Option<AnnouncedEffect> {
        let ends = self.statement_ends();
        let is_next = |end: &&u64| **end > self.parsed_to && **end as usize <= self.read;
        let end = *ends.iter().find(is_next)?;
        self.parsed_to = end;
        self.announced.insert(end);
        let record = JournalRecord::Dispatched {
            client,
            end,
            is_retry_safe: is_retry_safe(end),
        };
        let effect = if random.u8(0..5) > 0 {
            Effect::Execute(end)
        } else {
            Effect::SkipExecution
        };
        Some(AnnouncedEffect { record, effect })
    }

    fn announce_answer(&mut self, client: u32) -> Option<AnnouncedEffect> {
        let ends = self.statement_ends();
        let is_next = |end: &&u64| **end > self.answered_to && **end <= self.parsed_to;
        let end = *ends.iter().find(is_next)?;
        self.answered_to = end;
        let record = JournalRecord::Write {
            client,
            length: ANSWER_BYTES,
            written_to: self.written_to(),
            answered_to: end,
            startup_complete: true,
            bytes_to_skip: 0,
        };
        let effect = Effect::PrepareAnswer;
        Some(AnnouncedEffect { record, effect })
    }

    fn apply_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Read(length) => self.read += length,
            Effect::Execute(end) => {
                self.executed.insert(*end);
            }
            Effect::SkipExecution => {}
            Effect::PrepareAnswer => self.unwritten += ANSWER_BYTES,
        }
    }
}

/// The clients of a successor, and the predecessor's replay of its journal.
struct Scenario {
    random: fastrand::Rng,
    replay: JournalReplay,
    clients: Vec<ActualClient>,
    disconnected: usize,
}

impl Scenario {
    /// Some clients are transferred with part of their input, the others are accepted by the successor.
    fn new(seed: u64) -> Scenario {
        let mut scenario = Scenario {
            random: fastrand::Rng::with_seed(seed),
            replay: JournalReplay::new(1 << 20),
            clients: Vec::new(),
            disconnected: 0,
        };
        for client in 0..CLIENTS as u32 {
            scenario.add_client(client);
        }
        scenario
    }

    fn add_client(&mut self, client: u32) {
        let random = &mut self.random;
        let count = random.usize(1..6);
        let statements = (0..count).map(|_| "s".repeat(random.usize(0..7)) + ";");
        let mut actual = ActualClient {
            sent: statements.collect::<String>().into_bytes(),
            ..ActualClient::default()
        };
        if random.bool() {
            actual.transferred = random.usize(0..=actual.sent.len());
            actual.read = actual.transferred;
            let transfer_id = u64::from(client) + 10;
            let transferred = ClientState {
                transfer_id,
                startup_complete: true,
                has_sent_statement: true,
                bytes_to_skip: 0,
                input: actual.sent[..actual.transferred].to_vec(),
            };
            self.replay
                .begin_transfer(transferred)
                .expect("begin the transfer");
            let adopted = JournalRecord::Adopted { client, transfer_id };
            self.replay
                .apply(adopted)
                .expect("apply the record on the adoption");
        } else {
            let accepted = JournalRecord::Accepted { client };
            self.replay
                .apply(accepted)
                .expect("apply the record on the accepted client");
        }
        self.clients.push(actual);
    }

    /// Checks the recovery of all clients as if the successor were killed now.
    fn check_kill(&mut self, case: &str) {
        let byte_counts = |key| match key {
            ConnectionKey::Client(client) => Some(self.clients[client as usize].byte_counts()),
            ConnectionKey::Transfer(_) => None,
        };
        let recovered = self.replay.clone().recover_clients(byte_counts);
        assert_eq!(recovered.len(), self.clients.len(), "{case}");
        for (client, actual) in recovered.iter().zip(&self.clients) {
            actual.check_recovery(&client.recovery, case);
            self.disconnected += usize::from(client.recovery == ClientRecovery::Disconnect);
        }
    }

    fn run_step(&mut self, seed: u64, step: usize) {
        let client = self.random.usize(0..CLIENTS);
        let next = self.clients[client].take_step(client as u32, &mut self.random);
        if let Some(AnnouncedEffect { record, effect }) = next {
            // A truncated record must not be decoded.
            let frame = record.encode().expect("encode the record");
            assert_eq!(JournalRecord::decode(&frame[..frame.len() - 1]), Ok(None));
            let Decoded { message, .. } = JournalRecord::decode(&frame)
                .expect("the frame is valid")
                .expect("the frame is complete");
            self.replay.apply(message).expect("apply the record");
            self.check_kill(&format!("seed {seed}, announced step {step}"));
            self.clients[client].apply_effect(&effect);
        }
        self.check_kill(&format!("seed {seed}, step {step}"));
    }
}

#[test]
fn recover_clients_killed_after_any_step_yields_correct_verdicts() {
    let mut kills = 0;
    let mut disconnected = 0;
    for seed in 0..300 {
        let mut scenario = Scenario::new(seed);
        for step in 0..STEPS {
            scenario.run_step(seed, step);
            kills += 1;
        }
        disconnected += scenario.disconnected;
    }
    assert!(
        kills == 18_000 && disconnected > 1000,
        "{kills} kills, {disconnected} clients disconnected"
    );
}

/// The check must find a successor that executes a statement before journaling it: its client would be told
/// that an executed write did not run.
#[test]
fn check_recovery_effect_before_its_record_fails() {
    let mut replay = JournalReplay::new(1 << 20);
    let mut actual = ActualClient {
        sent: b"abc;de;".to_vec(),
        ..ActualClient::default()
    };
    replay
        .apply(JournalRecord::Accepted { client: 0 })
        .expect("apply the record on the accepted client");
    let read = JournalRecord::Read {
        client: 0,
        written_to: 0,
        bytes: actual.sent.clone(),
    };
    replay.apply(read).expect("apply the record on the read");
    actual.read = 7;
    actual.executed.insert(7);
    actual.announced.insert(7);
    let counts = SocketByteCounts { read: 7, written: 0 };
    let recovered = replay.recover_clients(|_| Some(counts));
    let result = std::panic::catch_unwind(|| actual.check_recovery(&recovered[0].recovery, "effect first"));
    assert!(result.is_err());
}

fn write_record(client: u32, answered_to: u64, written_to: u64) -> JournalRecord {
    JournalRecord::Write {
        client,
        length: 4,
        written_to,
        answered_to,
        startup_complete: true,
        bytes_to_skip: 0,
    }
}

fn read_record(client: u32, written_to: u64, bytes: &[u8]) -> JournalRecord {
    JournalRecord::Read {
        client,
        written_to,
        bytes: bytes.to_vec(),
    }
}

/// Guards against a faulty successor whose journal is inconsistent or unbounded.
#[test]
fn apply_inconsistent_or_too_large_journal_fails() {
    use JournalRecord::{Adopted, Closed, Dispatched};
    #[rustfmt::skip]
    let cases: [(&str, Vec<JournalRecord>, Option<ReplayError>); 8] = [
        ("closed client",
            vec![read_record(1, 0, b"x;"), Closed { client: 1 }], None),
        ("dispatch for a closed client",
            vec![Closed { client: 1 }, Dispatched { client: 1, end: 2, is_retry_safe: true }], None),
        ("close of an unknown client",
            vec![Closed { client: 9 }, Closed { client: 1 }], None),
        ("read from an unknown client",
            vec![read_record(9, 0, b"x")], Some(ReplayError::Inconsistent)),
        ("dispatch of an unread statement",
            vec![Dispatched { client: 1, end: 1, is_retry_safe: true }], Some(ReplayError::Inconsistent)),
        ("answer to unread input",
            vec![write_record(1, 5, 0), write_record(1, 5, 4)], Some(ReplayError::Inconsistent)),
        ("adoption without a transfer",
            vec![Adopted { client: 2, transfer_id: 7 }], Some(ReplayError::Inconsistent)),
        ("input above the memory limit",
            vec![read_record(1, 0, &[0; 2000])], Some(ReplayError::MemoryExceeded)),
    ];
    let empty = ReplayUsage {
        clients: 0,
        memory: 0,
    };
    for (name, records, error) in cases {
        let mut replay = JournalReplay::new(1000);
        replay
            .apply(JournalRecord::Accepted { client: 1 })
            .expect("apply the record on the accepted client");
        let result = records.into_iter().try_for_each(|record| replay.apply(record));
        assert_eq!(result.err(), error, "{name}");
        if error.is_none() {
            assert_eq!(replay.usage(), empty, "{name}: state of a closed client remains");
        }
    }
}

/// An oversized message that is skipped may be longer than the memory limit of the replay.
#[test]
fn apply_skipped_input_is_not_stored() {
    let mut replay = JournalReplay::new(1500);
    replay
        .apply(JournalRecord::Accepted { client: 1 })
        .expect("apply the record on the accepted client");
    replay
        .apply(read_record(1, 0, &[b'y'; 10]))
        .expect("apply the record on the first read");
    let error_answer = JournalRecord::Write {
        client: 1,
        length: 8,
        written_to: 0,
        answered_to: 0,
        startup_complete: true,
        bytes_to_skip: 5000,
    };
    replay
        .apply(error_answer)
        .expect("apply the record on the error answer");
    for _ in 0..4 {
        replay
            .apply(read_record(1, 8, &[b'y'; 1000]))
            .expect("apply the record on a skipped read");
    }
    let recover = |written| {
        let counts = SocketByteCounts { read: 4010, written };
        let recovered = replay.clone().recover_clients(|_| Some(counts));
        recovered
            .into_iter()
            .next()
            .expect("the client is recovered")
            .recovery
    };
    let ClientRecovery::Resume { client, .. } = recover(8) else {
        panic!("expected a resumed client: {:?}", recover(8))
    };
    assert_eq!((client.bytes_to_skip, client.input.len()), (990, 0));
    // A partial error answer can't be completed.
    assert_eq!(recover(7), ClientRecovery::Disconnect);
}
