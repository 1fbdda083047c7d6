//! A successor that serves clients and journals what it does, killed behind each of its steps.

use asterlatch_handover::codec::{Decoded, Framed};
use asterlatch_handover::io_journal::{
    ClientRecovery, ConnectionKey, JournalRecord, JournalReplay, ReplayError, ReplayUsage, SocketByteCounts,
    StatementVerdict,
};
use asterlatch_handover::message::ClientState;
use std::collections::BTreeSet;

/// Bytes of each answer. A statement is its bytes up to a semicolon.
const ANSWER_LENGTH: u64 = 5;
/// Steps that the successor takes before the last kill.
const STEPS: usize = 60;
const CLIENTS: usize = 3;

/// What truly happened to one client, of which the predecessor sees only the records and the kernel's counts.
#[derive(Default)]
struct ClientTruth {
    sent: Vec<u8>,
    read: usize,
    written: u64,
    /// Ends of statements that were sent to a member.
    executed: BTreeSet<u64>,
    /// Ends of statements whose dispatch was announced.
    announced: BTreeSet<u64>,
    parsed_to: u64,
    answered_to: u64,
    /// Bytes of answers that lie ready to be written.
    unwritten: u64,
    transferred: usize,
}

fn is_retry_safe(end: u64) -> bool {
    end.is_multiple_of(2)
}

impl ClientTruth {
    /// Offsets at which the statements end.
    fn ends(&self) -> Vec<u64> {
        let stops = self.sent.iter().enumerate().filter(|(_, byte)| **byte == b';');
        stops.map(|(at, _)| at as u64 + 1).collect()
    }

    fn complete_answers(&self) -> usize {
        (self.written / ANSWER_LENGTH) as usize
    }

    fn has_partial_answer(&self) -> bool {
        !self.written.is_multiple_of(ANSWER_LENGTH)
    }

    /// Offset up to which the kernel has taken complete answers.
    fn written_to(&self) -> u64 {
        self.written - self.written % ANSWER_LENGTH
    }

    fn byte_counts(&self) -> SocketByteCounts {
        SocketByteCounts {
            read: (self.read - self.transferred) as u64,
            written: self.written,
        }
    }

    fn check(&self, recovery: &ClientRecovery, case: &str) {
        let ClientRecovery::Resume { client, verdicts } = recovery else {
            return assert!(
                self.has_partial_answer(),
                "{case}: disconnected without a partial answer"
            );
        };
        assert!(
            !self.has_partial_answer(),
            "{case}: goes on behind a partial answer"
        );
        let ends = self.ends();
        let answered_to = match self.complete_answers() {
            0 => 0,
            count => ends[count - 1],
        };
        let unanswered = &self.sent[answered_to as usize..self.read];
        assert_eq!(client.input, unanswered, "{case}: read and not answered");
        for end in ends.iter().filter(|end| **end > answered_to) {
            let verdict = verdicts.verdict_for(end - answered_to);
            self.check_verdict(*end, verdict, case);
        }
    }

    fn check_verdict(&self, end: u64, verdict: StatementVerdict, case: &str) {
        let is_read = end as usize <= self.read;
        let is_true = match verdict {
            StatementVerdict::Unread => !is_read,
            StatementVerdict::Rejected => !self.executed.contains(&end) || is_retry_safe(end),
            StatementVerdict::Aborted => self.announced.contains(&end) && !is_retry_safe(end),
        };
        assert!(
            is_true && is_read != (verdict == StatementVerdict::Unread),
            "{case}: {end} is {verdict:?}"
        );
    }
}

/// What the successor does once its record is written.
enum Effect {
    Read(usize),
    Execute(u64),
    /// The statement turns out to need no member.
    SkipExecution,
    PrepareAnswer,
}

struct Announced {
    record: JournalRecord,
    effect: Effect,
}

impl ClientTruth {
    /// What the successor does next to a client; nothing where that needs no record.
    fn step(&mut self, client: u32, random: &mut fastrand::Rng) -> Option<Announced> {
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

    fn announce_read(&self, client: u32, random: &mut fastrand::Rng) -> Announced {
        let length = random.usize(1..=self.sent.len() - self.read);
        let record = JournalRecord::Read {
            client,
            written_to: self.written_to(),
            bytes: self.sent[self.read..self.read + length].to_vec(),
        };
        let effect = Effect::Read(length);
        Announced { record, effect }
    }

    fn announce_dispatch(&mut self, client: u32, random: &mut fastrand::Rng) -> Option<Announced> {
        let ends = self.ends();
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
        Some(Announced { record, effect })
    }

    fn announce_answer(&mut self, client: u32) -> Option<Announced> {
        let ends = self.ends();
        let is_next = |end: &&u64| **end > self.answered_to && **end <= self.parsed_to;
        let end = *ends.iter().find(is_next)?;
        self.answered_to = end;
        let record = JournalRecord::Write {
            client,
            length: ANSWER_LENGTH,
            written_to: self.written_to(),
            answered_to: end,
            startup_complete: true,
            bytes_to_skip: 0,
        };
        let effect = Effect::PrepareAnswer;
        Some(Announced { record, effect })
    }

    fn apply(&mut self, effect: &Effect) {
        match effect {
            Effect::Read(length) => self.read += length,
            Effect::Execute(end) => {
                self.executed.insert(*end);
            }
            Effect::SkipExecution => {}
            Effect::PrepareAnswer => self.unwritten += ANSWER_LENGTH,
        }
    }
}

/// A successor's clients and the predecessor's replay of them.
struct Scenario {
    random: fastrand::Rng,
    replay: JournalReplay,
    clients: Vec<ClientTruth>,
    disconnected: usize,
}

impl Scenario {
    /// Some clients are transferred with part of what they sent, the others accepted by the successor.
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
        let mut truth = ClientTruth {
            sent: statements.collect::<String>().into_bytes(),
            ..ClientTruth::default()
        };
        if random.bool() {
            truth.transferred = random.usize(0..=truth.sent.len());
            truth.read = truth.transferred;
            let transfer_id = u64::from(client) + 10;
            let transferred = ClientState {
                transfer_id,
                startup_complete: true,
                has_sent_statement: true,
                bytes_to_skip: 0,
                input: truth.sent[..truth.transferred].to_vec(),
            };
            self.replay.begin_transfer(transferred).expect("fits");
            let adopted = JournalRecord::Adopted { client, transfer_id };
            self.replay.apply(adopted).expect("is on its way");
        } else {
            let accepted = JournalRecord::Accepted { client };
            self.replay.apply(accepted).expect("fits");
        }
        self.clients.push(truth);
    }

    /// Kills the successor at this point, and checks what its clients are told.
    fn check_kill(&mut self, case: &str) {
        let byte_counts = |key| match key {
            ConnectionKey::Client(client) => Some(self.clients[client as usize].byte_counts()),
            ConnectionKey::Transfer(_) => None,
        };
        let recovered = self.replay.clone().recover_clients(byte_counts);
        assert_eq!(recovered.len(), self.clients.len(), "{case}");
        for (client, truth) in recovered.iter().zip(&self.clients) {
            truth.check(&client.recovery, case);
            self.disconnected += usize::from(client.recovery == ClientRecovery::Disconnect);
        }
    }

    fn run_step(&mut self, seed: u64, step: usize) {
        let client = self.random.usize(0..CLIENTS);
        let next = self.clients[client].step(client as u32, &mut self.random);
        if let Some(Announced { record, effect }) = next {
            // The record goes through its frame, and a frame cut short is none.
            let frame = record.encode().expect("fits");
            assert_eq!(JournalRecord::decode(&frame[..frame.len() - 1]), Ok(None));
            let Decoded { message, .. } = JournalRecord::decode(&frame)
                .expect("complete")
                .expect("complete");
            self.replay.apply(message).expect("makes sense");
            self.check_kill(&format!("seed {seed}, announced step {step}"));
            self.clients[client].apply(&effect);
        }
        self.check_kill(&format!("seed {seed}, step {step}"));
    }
}

#[test]
fn recover_clients_killed_behind_any_step_gives_each_statement_its_verdict() {
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
        "{disconnected} disconnected"
    );
}

/// Unless each effect is journaled before it happens, a client is told that a write never ran which did.
#[test]
fn check_effect_before_its_record_is_found() {
    let mut replay = JournalReplay::new(1 << 20);
    let mut truth = ClientTruth {
        sent: b"abc;de;".to_vec(),
        ..ClientTruth::default()
    };
    replay.apply(JournalRecord::Accepted { client: 0 }).expect("fits");
    let read = JournalRecord::Read {
        client: 0,
        written_to: 0,
        bytes: truth.sent.clone(),
    };
    replay.apply(read).expect("makes sense");
    truth.read = 7;
    truth.executed.insert(7);
    truth.announced.insert(7);
    let counts = SocketByteCounts { read: 7, written: 0 };
    let recovered = replay.recover_clients(|_| Some(counts));
    let found = std::panic::catch_unwind(|| truth.check(&recovered[0].recovery, "effect first"));
    assert!(found.is_err());
}

fn write(client: u32, answered_to: u64, written_to: u64) -> JournalRecord {
    JournalRecord::Write {
        client,
        length: 4,
        written_to,
        answered_to,
        startup_complete: true,
        bytes_to_skip: 0,
    }
}

fn read(client: u32, written_to: u64, bytes: &[u8]) -> JournalRecord {
    JournalRecord::Read {
        client,
        written_to,
        bytes: bytes.to_vec(),
    }
}

/// What a successor that writes nonsense, or too much, makes of its journal.
#[test]
fn apply_inconsistent_or_too_large_journal_fails() {
    use JournalRecord::{Adopted, Closed, Dispatched};
    #[rustfmt::skip]
    let cases: [(&str, Vec<JournalRecord>, Option<ReplayError>); 8] = [
        ("a client that closes and is written of no more",
            vec![read(1, 0, b"x;"), Closed { client: 1 }], None),
        ("a dispatch for a client that has closed",
            vec![Closed { client: 1 }, Dispatched { client: 1, end: 2, is_retry_safe: true }], None),
        ("a client that never came closes",
            vec![Closed { client: 9 }, Closed { client: 1 }], None),
        ("reads of nobody",
            vec![read(9, 0, b"x")], Some(ReplayError::Inconsistent)),
        ("a statement that wasn't read",
            vec![Dispatched { client: 1, end: 1, is_retry_safe: true }], Some(ReplayError::Inconsistent)),
        ("an answer to what wasn't read",
            vec![write(1, 5, 0), write(1, 5, 4)], Some(ReplayError::Inconsistent)),
        ("a transfer that wasn't begun",
            vec![Adopted { client: 2, transfer_id: 7 }], Some(ReplayError::Inconsistent)),
        ("more than there is room for",
            vec![read(1, 0, &[0; 2000])], Some(ReplayError::MemoryExceeded)),
    ];
    let empty = ReplayUsage {
        clients: 0,
        memory: 0,
    };
    for (name, records, error) in cases {
        let mut replay = JournalReplay::new(1000);
        replay.apply(JournalRecord::Accepted { client: 1 }).expect("fits");
        let result = records.into_iter().try_for_each(|record| replay.apply(record));
        assert_eq!(result.err(), error, "{name}");
        if error.is_none() {
            assert_eq!(replay.usage(), empty, "{name}: nothing is stored");
        }
    }
}

/// An oversized message that is discarded may be longer than any replay.
#[test]
fn apply_skipped_input_is_not_stored() {
    let mut replay = JournalReplay::new(1500);
    replay.apply(JournalRecord::Accepted { client: 1 }).expect("fits");
    replay.apply(read(1, 0, &[b'y'; 10])).expect("fits");
    let error_answer = JournalRecord::Write {
        client: 1,
        length: 8,
        written_to: 0,
        answered_to: 0,
        startup_complete: true,
        bytes_to_skip: 5000,
    };
    replay.apply(error_answer).expect("fits");
    for _ in 0..4 {
        replay.apply(read(1, 8, &[b'y'; 1000])).expect("is skipped");
    }
    let recover = |written| {
        let counts = SocketByteCounts { read: 4010, written };
        let recovered = replay.clone().recover_clients(|_| Some(counts));
        recovered.into_iter().next().expect("is known").recovery
    };
    let ClientRecovery::Resume { client, .. } = recover(8) else {
        panic!("{:?}", recover(8))
    };
    assert_eq!((client.bytes_to_skip, client.input.len()), (990, 0));
    // Without the whole error answer nothing can be sent any more.
    assert_eq!(recover(7), ClientRecovery::Disconnect);
}
