//! A process that serves clients and writes down what it does, killed behind each of its steps.

use asterlatch_handover::codec::{Decoded, Framed};
use asterlatch_handover::io_journal::{
    ClientRecovery, ConnectionKey, JournalRecord, JournalReplay, ReplayError, SocketByteCounts,
    StatementVerdict,
};
use asterlatch_handover::message::ClientState;
use std::collections::BTreeSet;

/// What a client sends: each statement is its bytes up to a stop; an answer is as many bytes as this.
const ANSWER: u64 = 5;

/// The truth of one client, of which the former process sees only the records and the kernel's counts.
#[derive(Default)]
struct Truth {
    sent: Vec<u8>,
    read: usize,
    written: u64,
    /// Ends of statements that were sent to a member, or whose sending was announced.
    ran: BTreeSet<u64>,
    announced: BTreeSet<u64>,
    parsed: u64,
    answered: u64,
    /// Bytes of answers that lie ready to be written.
    unwritten: u64,
    transferred_length: usize,
}

fn is_retry_safe(end: u64) -> bool {
    end.is_multiple_of(2)
}

impl Truth {
    /// Where the statements end.
    fn ends(&self) -> Vec<u64> {
        let stops = self.sent.iter().enumerate().filter(|(_, b)| **b == b';');
        stops.map(|(at, _)| at as u64 + 1).collect()
    }

    /// How many answers are out whole, and whether one is out in part.
    fn answered(&self) -> (usize, bool) {
        (
            (self.written / ANSWER) as usize,
            !self.written.is_multiple_of(ANSWER),
        )
    }

    fn check(&self, back: &ClientRecovery, case: &str) {
        let (whole, partly) = self.answered();
        let ClientRecovery::Resume(client, verdicts) = back else {
            return assert!(partly, "{case}: cut off though nothing is half said");
        };
        assert!(!partly, "{case}: goes on behind half an answer");
        let ends = self.ends();
        let answered_to = if whole == 0 { 0 } else { ends[whole - 1] };
        let read = &self.sent[answered_to as usize..self.read];
        assert_eq!(client.input, read, "{case}: what was read and not answered");
        for end in ends.iter().filter(|end| **end > answered_to) {
            let verdict = verdicts.verdict_for(end - answered_to);
            let may = match verdict {
                StatementVerdict::Unread => *end as usize > self.read,
                StatementVerdict::Rejected => !self.ran.contains(end) || is_retry_safe(*end),
                StatementVerdict::Aborted => self.announced.contains(end) && !is_retry_safe(*end),
            };
            let read = *end as usize <= self.read;
            assert!(
                may && read != (verdict == StatementVerdict::Unread),
                "{case}: {end} is {verdict:?}"
            );
        }
    }
}

type Deed = fn(&mut Truth, u64);

/// What a process does next to a client: a record first, then the deed.
fn step(truth: &mut Truth, client: u32, chance: &mut fastrand::Rng) -> Option<(JournalRecord, Deed, u64)> {
    let ends = truth.ends();
    match chance.u8(0..4) {
        // The kernel gives less than was announced, too, as only part of it may be read then.
        0 if truth.read < truth.sent.len() => {
            let n = chance.usize(1..=truth.sent.len() - truth.read);
            let bytes = truth.sent[truth.read..truth.read + n].to_vec();
            let written_to = truth.written - truth.written % ANSWER;
            let record = JournalRecord::Read {
                client,
                written_to,
                bytes,
            };
            Some((record, |t, n| t.read += n as usize, n as u64))
        }
        1 => {
            let end = *ends
                .iter()
                .find(|e| **e > truth.parsed && **e as usize <= truth.read)?;
            truth.parsed = end;
            truth.announced.insert(end);
            let is_retry_safe = is_retry_safe(end);
            // Some are known to need no member.
            let goes = chance.u8(0..5) > 0;
            let deed: Deed = if goes {
                |t, end| t.ran.extend([end])
            } else {
                |_, _| {}
            };
            Some((
                JournalRecord::Dispatched {
                    client,
                    end,
                    is_retry_safe,
                },
                deed,
                end,
            ))
        }
        2 => {
            let end = *ends
                .iter()
                .find(|e| **e > truth.answered && **e <= truth.parsed)?;
            truth.answered = end;
            let record = JournalRecord::Write {
                client,
                length: ANSWER,
                written_to: truth.written - truth.written % ANSWER,
                answered_to: end,
                startup_complete: true,
                bytes_to_skip: 0,
            };
            Some((record, |t, n| t.unwritten += n, ANSWER))
        }
        _ => {
            let n = chance.u64(0..=truth.unwritten);
            truth.unwritten -= n;
            truth.written += n;
            None
        }
    }
}

#[test]
fn killed_behind_any_step_each_statement_gets_what_it_is_due() {
    let (mut killed, mut cut) = (0, 0);
    for seed in 0..300 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut ledger = JournalReplay::new(1 << 20);
        let mut clients: Vec<Truth> = (0..3).map(|_| Truth::default()).collect();
        for (n, truth) in clients.iter_mut().enumerate() {
            let count = chance.usize(1..6);
            let statements = (0..count).map(|_| "s".repeat(chance.usize(0..7)) + ";");
            truth.sent = statements.collect::<String>().into_bytes();
            // Some came from the former process, with part of what they sent.
            let (client, transfer_id) = (n as u32, n as u64 + 10);
            if chance.bool() {
                truth.transferred_length = chance.usize(0..=truth.sent.len());
                truth.read = truth.transferred_length;
                let input = truth.sent[..truth.transferred_length].to_vec();
                let moved = ClientState {
                    transfer_id,
                    startup_complete: true,
                    has_sent_statement: true,
                    bytes_to_skip: 0,
                    input,
                };
                ledger.begin_transfer(moved).expect("fits");
                ledger
                    .apply(JournalRecord::Adopted { client, transfer_id })
                    .expect("is on its way");
            } else {
                ledger.apply(JournalRecord::Accepted { client }).expect("fits");
            }
        }
        let check = |ledger: &JournalReplay, clients: &[Truth], case: &str| {
            let counts = |key| match key {
                ConnectionKey::Client(n) => clients.get(n as usize).map(|t| SocketByteCounts {
                    read: (t.read - t.transferred_length) as u64,
                    written: t.written,
                }),
                ConnectionKey::Transfer(_) => None,
            };
            let all = ledger.clone().recover_clients(counts);
            assert_eq!(all.len(), clients.len(), "{case}");
            for ((_, back), truth) in all.iter().zip(clients) {
                truth.check(back, case);
            }
            all.iter()
                .filter(|(_, b)| *b == ClientRecovery::Disconnect)
                .count()
        };
        for n in 0..60 {
            let client = chance.usize(0..3);
            let did = step(&mut clients[client], client as u32, &mut chance);
            if let Some((record, deed, amount)) = did {
                // The record goes through its form on the socket, and one cut short is none.
                let bytes = record.encode().expect("fits");
                assert_eq!(JournalRecord::decode(&bytes[..bytes.len() - 1]), Ok(None));
                let Decoded { message: record, .. } =
                    JournalRecord::decode(&bytes).expect("whole").expect("whole");
                ledger.apply(record).expect("makes sense");
                cut += check(&ledger, &clients, &format!("seed {seed}, announced step {n}"));
                deed(&mut clients[client], amount);
            }
            cut += check(&ledger, &clients, &format!("seed {seed}, step {n}"));
            killed += 1;
        }
    }
    assert!(killed == 18_000 && cut > 1000, "{cut} cut off");
}

/// Without writing down first what is done, somebody would be told that a write never ran which did.
#[test]
fn a_deed_before_its_record_is_found() {
    let mut ledger = JournalReplay::new(1 << 20);
    let mut truth = Truth {
        sent: b"abc;de;".to_vec(),
        ..Truth::default()
    };
    ledger.apply(JournalRecord::Accepted { client: 0 }).expect("fits");
    let bytes = truth.sent.clone();
    ledger
        .apply(JournalRecord::Read {
            client: 0,
            written_to: 0,
            bytes,
        })
        .expect("makes sense");
    truth.read = 7;
    truth.ran.insert(7);
    truth.announced.insert(7);
    let counts = SocketByteCounts { read: 7, written: 0 };
    let all = ledger.recover_clients(|_| Some(counts));
    let found = std::panic::catch_unwind(|| truth.check(&all[0].1, "deed first"));
    assert!(found.is_err());
}

/// What a peer that writes nonsense, or too much, makes of the ledger.
#[test]
fn nonsense_and_too_much_break_the_ledger() {
    let says = |client, answered_to, written_to| JournalRecord::Write {
        client,
        length: 4,
        written_to,
        answered_to,
        startup_complete: true,
        bytes_to_skip: 0,
    };
    let reads = |client, bytes: &[u8]| JournalRecord::Read {
        client,
        written_to: 0,
        bytes: bytes.to_vec(),
    };
    #[rustfmt::skip]
    let cases: [(&str, Vec<JournalRecord>, Option<ReplayError>); 8] = [
        ("a client that goes and is written of no more", vec![reads(1, b"x;"), JournalRecord::Closed { client: 1 }], None),
        ("an execution of a client that has gone", vec![JournalRecord::Closed { client: 1 }, JournalRecord::Dispatched { client: 1, end: 2, is_retry_safe: true }], None),
        ("a client that never came is gone", vec![JournalRecord::Closed { client: 9 }, JournalRecord::Closed { client: 1 }], None),
        ("reads of nobody", vec![reads(9, b"x")], Some(ReplayError::Inconsistent)),
        ("a statement that wasn't read", vec![JournalRecord::Dispatched { client: 1, end: 1, is_retry_safe: true }], Some(ReplayError::Inconsistent)),
        ("an answer to what wasn't read", vec![says(1, 5, 0), says(1, 5, 4)], Some(ReplayError::Inconsistent)),
        ("a number that wasn't given", vec![JournalRecord::Adopted { client: 2, transfer_id: 7 }], Some(ReplayError::Inconsistent)),
        ("more than there is room for", vec![reads(1, &[0; 2000])], Some(ReplayError::MemoryExceeded)),
    ];
    for (name, records, broken) in cases {
        let mut ledger = JournalReplay::new(1000);
        ledger.apply(JournalRecord::Accepted { client: 1 }).expect("fits");
        let result = records.into_iter().try_for_each(|r| ledger.apply(r));
        assert_eq!(result.err(), broken, "{name}");
        if broken.is_none() {
            assert_eq!(ledger.usage(), (0, 0), "{name}: nothing is kept");
        }
    }
}

/// A message that is passed over may be longer than any ledger.
#[test]
fn what_is_passed_over_is_not_kept() {
    let mut ledger = JournalReplay::new(1500);
    ledger.apply(JournalRecord::Accepted { client: 1 }).expect("fits");
    let (client, startup_complete) = (1, true);
    let reads = |written_to, n: usize| JournalRecord::Read {
        client,
        written_to,
        bytes: vec![b'y'; n],
    };
    ledger.apply(reads(0, 10)).expect("fits");
    let says = JournalRecord::Write {
        client,
        length: 8,
        written_to: 0,
        answered_to: 0,
        startup_complete,
        bytes_to_skip: 5000,
    };
    ledger.apply(says).expect("fits");
    for _ in 0..4 {
        ledger.apply(reads(8, 1000)).expect("is passed over");
    }
    let counts = SocketByteCounts {
        read: 4010,
        written: 8,
    };
    let all = ledger.clone().recover_clients(|_| Some(counts));
    let ClientRecovery::Resume(back, _) = &all[0].1 else {
        panic!("{all:?}")
    };
    assert_eq!((back.bytes_to_skip, back.input.len()), (990, 0));
    // Where the error is not out whole, nothing can be said any more.
    let counts = SocketByteCounts {
        read: 4010,
        written: 7,
    };
    assert_eq!(
        ledger.recover_clients(|_| Some(counts))[0].1,
        ClientRecovery::Disconnect
    );
}
