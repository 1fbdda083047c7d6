//! Upgrades and killed successors under load.

use crate::harness::*;
use crate::upgrade_harness::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Clients that send statements until `stop` is set. Each thread returns the ids of its statements and their
/// answers.
struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<(u32, String)>>>,
}

fn start_load(harness: &UpgradeHarness, first_id: u32) -> Load {
    let (stop, next_id) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(first_id)),
    );
    let listen = harness.driver.process.listen;
    // Half of the clients reuse one connection, the others open one for each statement.
    let client = |client_index: usize| {
        let is_persistent = client_index.is_multiple_of(2);
        let (stop, next_id) = (stop.clone(), next_id.clone());
        thread::spawn(move || {
            let mut answers = Vec::new();
            let mut persistent_stream: Option<TcpStream> = None;
            while !stop.load(Ordering::Relaxed) {
                let id = next_id.fetch_add(1, Ordering::Relaxed);
                let mut stream = persistent_stream.take().unwrap_or_else(|| {
                    let mut stream = TcpStream::connect(listen).expect("connect");
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set timeout");
                    stream.write_all(&[0, 0, 0, 9, 0, 3, 0, 0, 0]).expect("send");
                    // A connection that a killed process has just accepted may close without an answer.
                    let welcome = read_answer(&mut stream).0;
                    assert!(
                        ["Z", ""].contains(&welcome.as_str()),
                        "answer to the startup message: {welcome}"
                    );
                    stream
                });
                let statement = statement(if id % 2 == 0 { "post" } else { "view" }, id);
                // Fails if the connection has been closed.
                let write_result = stream.write_all(&statement);
                let answer = read_answer(&mut stream).0;
                assert!(
                    write_result.is_ok() || answer.is_empty(),
                    "an answer to a statement that was not sent"
                );
                answers.push((id, answer.clone()));
                if answer.is_empty() {
                    continue;
                }
                if is_persistent {
                    persistent_stream = Some(stream);
                    continue;
                }
                // Nothing may follow the final answer.
                stream.write_all(&message(b'X', b"")).expect("send");
                assert_eq!(read_answer(&mut stream).0, "", "statement {id}");
            }
            answers
        })
    };
    Load {
        stop: stop.clone(),
        clients: (0..8).map(client).collect(),
    }
}

/// Statements of a load by outcome: answered with their row, answered with an error, and lost with their
/// connection.
#[derive(Debug, Default)]
struct Outcome {
    completed: usize,
    without_result: usize,
    disconnected: usize,
}

impl Load {
    /// Stops the load and checks the answers against the member's executions.
    fn check(self, member: &Member, first_id: u32) -> Outcome {
        self.stop.store(true, Ordering::Relaxed);
        let answers: Vec<_> = self
            .clients
            .into_iter()
            .flat_map(|c| c.join().expect("join the client thread"))
            .collect();
        let executions = take_execution_counts(member);
        let mut outcome = Outcome::default();
        for (id, answer) in &answers {
            let (execution_count, is_post) = (executions.get(id).copied().unwrap_or(0), id % 2 == 0);
            assert!(
                execution_count < 2,
                "statement {id} was executed {execution_count} times"
            );
            let (counter, is_consistent) = match answer.as_str() {
                "T D C Z" => (&mut outcome.completed, execution_count == 1),
                "E53300 Z" => (&mut outcome.without_result, !is_post || execution_count == 0),
                "E40003 Z" => (&mut outcome.without_result, is_post),
                "" => (&mut outcome.disconnected, true),
                _ => (&mut outcome.disconnected, false),
            };
            *counter += 1;
            assert!(
                is_consistent,
                "statement {id} was executed {execution_count} times and answered {answer}"
            );
        }
        let sent_ids: BTreeSet<_> = answers.iter().map(|(id, _)| *id).collect();
        let unknown_ids = executions
            .keys()
            .filter(|id| **id >= first_id && !sent_ids.contains(id))
            .count();
        assert_eq!(
            unknown_ids, 0,
            "the member executed statements that no client sent"
        );
        outcome
    }
}

/// Upgrades `count` times under load; before every third upgrade, the successor of another one is killed on
/// probation. Returns the outcome and the time under load.
fn run_upgrades(name: &str, count: usize) -> (Outcome, Duration) {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new(name, &member, HANDOVER_SETTINGS);
    let (mut total, mut load_duration) = (Outcome::default(), Duration::ZERO);
    let mut random = fastrand::Rng::with_seed(count as u64);
    for round in 0..count {
        let first_id = (round as u32 + 1) << 20;
        let (started_at, load) = (Instant::now(), start_load(&harness, first_id));
        let is_killed = round % 3 == 2;
        if is_killed {
            let (pid, upgrade_request) = harness.begin_upgrade();
            thread::sleep(Duration::from_micros(random.u64(0..150_000)));
            harness.signal(pid, "KILL");
            let output = upgrade_request.join().expect("join the thread");
            assert_eq!(output.status.code(), Some(1));
            harness
                .driver
                .wait_for_log("upgrade: failed, this process continues to serve: the new process ended");
        }
        harness.upgrade();
        let outcome = load.check(&member, first_id);
        load_duration += started_at.elapsed();
        assert!(outcome.completed > 20, "{outcome:?}");
        // Each client has at most one open statement when the successor is killed.
        assert!(
            is_killed || outcome.without_result + outcome.disconnected == 0,
            "no process was killed: {outcome:?}"
        );
        assert!(outcome.without_result + outcome.disconnected <= 8, "{outcome:?}");
        total.completed += outcome.completed;
        total.without_result += outcome.without_result;
        total.disconnected += outcome.disconnected;
    }
    (total, load_duration)
}

#[test]
fn upgrades_under_load_lose_and_duplicate_nothing() {
    run_upgrades("few", 3);
}

/// Run by `make trial-upgrade`.
#[test]
#[ignore = "long: make trial-upgrade"]
fn upgrade_twenty_times_under_load_loses_nothing() {
    let (total, load_duration) = run_upgrades("many", 20);
    let rate = total.completed as f64 / load_duration.as_secs_f64();
    println!("{} statements, {rate:.0} per second", total.completed);
    println!(
        "with killed processes: {} answered with an error, {} disconnected",
        total.without_result, total.disconnected
    );
    println!("20 passed, 0 failed");
}

/// Run by `make trial-faults`: SIGKILL to either process at random points of many upgrades. No statement is
/// executed twice, each answer matches the executions, and the remaining process serves.
#[test]
#[ignore = "long: make trial-faults"]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn handover_random_kills_duplicate_nothing() {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1u64);
    println!("seed {seed}");
    let mut random = fastrand::Rng::with_seed(seed);
    let member = start_member(MemberBehavior::Answer);
    let (mut kill_count, mut predecessor_served, mut successor_served, mut none_served) = (0, 0, 0, 0);
    let (mut answered, mut without_result, mut disconnected) = (0, 0, 0);
    while kill_count < 200 {
        let harness = UpgradeHarness::new(&format!("faults-{kill_count}"), &member, HANDOVER_SETTINGS);
        // Kills the predecessor or a successor, until the predecessor has exited.
        loop {
            assert_eq!(harness.execute("post", (kill_count + 1) << 8), "T D C Z");
            let mut command = harness.upgrade_command(env!("CARGO_BIN_EXE_asterlatch"));
            let upgrade_request = thread::spawn(move || command.output().expect("run the command"));
            let started_line = harness.driver.wait_for_log("upgrade: started ");
            let pid: u32 = started_line
                .rsplit(' ')
                .next()
                .and_then(|n| n.parse().ok())
                .expect("the log line ends with the process id");
            let (stop, first_id) = (Arc::new(AtomicBool::new(false)), ((kill_count + 1) << 8) + 1);
            let clients: Vec<_> = (0..3)
                .map(|index| start_reconnecting_client(&harness, &stop, first_id + index * 60))
                .collect();
            // An upgrade takes about 300 ms, and after the first few ms it is on probation.
            let max_delay_us = if random.u8(0..3) > 0 { 4000 } else { 300_000 };
            thread::sleep(Duration::from_micros(random.u64(0..max_delay_us)));
            let kills_predecessor = random.u8(0..4) == 0;
            let victim = if kills_predecessor {
                harness.driver.process.child.id()
            } else {
                pid
            };
            // The process may already have exited. Starting a shell would take longer than the handshake.
            let victim = i32::try_from(victim)
                .ok()
                .and_then(rustix::process::Pid::from_raw);
            let _ = rustix::process::kill_process(
                victim.expect("a valid process id"),
                rustix::process::Signal::KILL,
            );
            kill_count += 1;
            let is_success = upgrade_request.join().expect("join the thread").status.success();
            stop.store(true, Ordering::Relaxed);
            let answers: Vec<_> = clients
                .into_iter()
                .flat_map(|c| c.join().expect("join the client thread"))
                .collect();
            let executions = take_execution_counts(&member);
            for (id, answer) in &answers {
                let execution_count = executions.get(id).copied().unwrap_or(0);
                let is_consistent = match answer.as_str() {
                    "T D C Z" => execution_count == 1,
                    "E53300 Z" => execution_count == 0,
                    "E40003 Z" => execution_count < 2,
                    answer => answer.is_empty(),
                };
                assert!(
                    is_consistent,
                    "statement {id} was executed {execution_count} times and answered {answer}"
                );
                answered += u32::from(!answer.is_empty());
                without_result += u32::from(answer.starts_with('E'));
                disconnected += u32::from(answer.is_empty() && !kills_predecessor && !is_success);
            }
            assert!(
                executions.values().all(|n| *n == 1),
                "a statement was executed twice: {executions:?}"
            );
            if !kills_predecessor && !is_success {
                // The successor was killed before it was proven, so the predecessor continues to serve.
                harness
                    .driver
                    .wait_for_log("upgrade: failed, this process continues to serve");
                predecessor_served += 1;
                continue;
            }
            // The predecessor has exited or will exit; the successor serves only if it was asked to before.
            let is_served = !kills_predecessor
                || harness
                    .driver
                    .log_lines
                    .iter()
                    .any(|l| l.contains("the service is this one's"));
            match is_served {
                true => successor_served += 1,
                false => none_served += 1,
            }
            let mut harness = harness;
            harness.pid = Some(pid);
            break;
        }
        if kill_count % 40 == 0 {
            println!("{kill_count} kills");
        }
    }
    println!("served on: predecessor {predecessor_served} times, successor {successor_served} times");
    println!(
        "no process left, as the predecessor was killed before its request to serve: {none_served} times"
    );
    println!("{without_result} of {answered} answers were errors");
    println!("{disconnected} clients were disconnected by kills of successors on probation");
    println!("{kill_count} passed, 0 failed");
}

/// Starts a client that opens a connection for each statement and tolerates closed and refused ones.
fn start_reconnecting_client(
    harness: &UpgradeHarness,
    stop: &Arc<AtomicBool>,
    first_id: u32,
) -> JoinHandle<Vec<(u32, String)>> {
    let (listen, stop) = (harness.driver.process.listen, stop.clone());
    thread::spawn(move || {
        let mut answers = Vec::new();
        // Each id may be sent only once, so each client has its own range.
        for id in first_id..first_id + 60 {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let execute = || -> std::io::Result<String> {
                let mut stream = TcpStream::connect(listen)?;
                stream.set_read_timeout(Some(TEST_TIMEOUT))?;
                stream.write_all(&[0, 0, 0, 9, 0, 3, 0, 0, 0])?;
                if read_answer(&mut stream).0 != "Z" {
                    return Ok(String::new());
                }
                let text = format!("/* id={id:x},c=post,d=25000,cluster=1 */ SELECT {id}\0");
                stream.write_all(&message(b'Q', text.as_bytes()))?;
                Ok(read_answer(&mut stream).0)
            };
            answers.push((id, execute().unwrap_or_default()));
        }
        answers
    })
}
