//! Upgrades of the running driver: handover to a successor, and successors that fail.

mod harness;
use asterlatch::time::TimeSpan;
use asterlatch_fault_injection::FaultPlan;
use harness::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const HANDOVER_SETTINGS: &str = "upgrade(hello = 2s, ready = 2s, taken = 1s, probation = 200ms, beat = 50ms, silence = 1s)\nlog(lines = 100/s)\n";

struct UpgradeHarness {
    folder: TempFolder,
    driver: OperatedDriver,
    /// The successor's process id; the process is killed on drop.
    pid: Option<u32>,
}

impl UpgradeHarness {
    fn new(name: &str, member: &Member, settings: &str) -> UpgradeHarness {
        let config = config_text(unused_address(), unresponsive_discovery(), member.address);
        UpgradeHarness::with_config(name, &config, settings)
    }

    fn with_config(name: &str, config: &str, settings: &str) -> UpgradeHarness {
        let folder = TempFolder::new(name);
        let file = folder.write("o.latch", settings);
        let control = folder.path("control");
        let arguments = ["--operators", &file, "--control", &control];
        let driver = start_with_operators_file_and_config(name, config, &arguments, &FaultPlan::default());
        // The control socket is opened after the listener.
        driver.wait_for_log("phase: t is serving");
        UpgradeHarness {
            folder,
            driver,
            pid: None,
        }
    }

    fn upgrade_command(&self, binary: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterlatch"));
        command.args([
            "upgrade",
            "--control",
            &self.folder.path("control"),
            "--to",
            binary,
        ]);
        command
    }

    fn request_upgrade(&self, binary: &str) -> Output {
        self.upgrade_command(binary).output().expect("run the command")
    }

    fn signal(&self, pid: u32, name: &str) {
        let status = spawn_process(Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}"))).wait();
        assert!(status.is_ok_and(|s| s.success()), "{name}");
    }

    /// Starts an upgrade; returns the successor's process id once it has been asked to serve on probation.
    fn begin_upgrade(&self) -> (u32, JoinHandle<Output>) {
        let mut command = self.upgrade_command(env!("CARGO_BIN_EXE_asterlatch"));
        let upgrade_request = thread::spawn(move || command.output().expect("run the command"));
        let started_line = self.driver.wait_for_log("upgrade: started ");
        let pid = started_line
            .rsplit(' ')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("the log line ends with the process id");
        self.driver
            .wait_for_log("upgrade: the successor is ready and asked to serve");
        (pid, upgrade_request)
    }

    /// Waits until clients move to the successor, which they do once it has acknowledged that it serves. Until
    /// then the commit may still be on its way.
    fn await_client_moves(&self, successor: u32) {
        let _client = self.driver.process.connect();
        self.wait_for_counter(successor, "open_clients=1 ");
    }

    fn upgrade(&mut self) {
        let (pid, upgrade_request) = self.begin_upgrade();
        let output = upgrade_request.join().expect("join the thread");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !output.status.success() {
            let next_line = || {
                self.driver
                    .log_lines
                    .recv_timeout(Duration::from_millis(500))
                    .ok()
            };
            let log: Vec<String> = std::iter::from_fn(next_line).collect();
            panic!("{text}\nlog:\n{}", log.join("\n"));
        }
        assert!(text.ends_with("done, the successor owns the service\n"), "{text}");
        self.driver.wait_for_log("upgrade: the predecessor has exited");
        self.pid = Some(pid);
    }

    /// Waits until the process logs this counter with its value, such as `open_clients=1 `.
    fn wait_for_counter(&self, pid: u32, counter: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            self.signal(pid, "USR1");
            let counters = self.driver.wait_for_log("counters: clients_accepted=");
            if format!("{counters} ").contains(&format!(" {counter}")) {
                return;
            }
            assert!(Instant::now() < deadline, "no {counter}in {counters}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Connects the only client, and waits until this process serves it.
    fn connect_at(&self, serving_pid: u32) -> TcpStream {
        let client = self.driver.process.connect();
        self.wait_for_counter(serving_pid, "open_clients=1 ");
        client
    }

    /// Makes the serving process, and so its successors, stay on probation until the test ends.
    fn set_long_probation(&self, serving_pid: u32) {
        let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 1h");
        std::fs::write(&self.driver.operators_file, settings).expect("write the operators' file");
        self.signal(serving_pid, "HUP");
        self.driver.wait_for_log("is applied");
    }

    /// The value of a counter that the process logs.
    fn counter(&self, pid: u32, name: &str) -> u64 {
        self.signal(pid, "USR1");
        let counters = self.driver.wait_for_log("counters: clients_accepted=");
        let value = counters.split(&format!(" {name}=")).nth(1);
        let value = value.and_then(|text| text.split(' ').next());
        value
            .and_then(|text| text.parse().ok())
            .expect("read the counter")
    }

    /// Replaces the configuration and makes the first process reload it.
    fn configure(&self, text: &str) {
        std::fs::write(&self.driver.process.path, text).expect("write the file");
        self.driver.process.signal("HUP");
        self.driver.wait_for_log("configuration: reloaded");
    }

    /// Executes a read that times out after 300 ms on a new connection, and returns the kinds of the answer's
    /// messages.
    fn execute_short_read(&self, id: u32) -> String {
        let mut client = self.driver.process.connect();
        let text = format!("/* id={id},c=view,d=300,cluster=1 */ SELECT {id}\0");
        client.write_all(&message(b'Q', text.as_bytes())).expect("send");
        read_answer(&mut client).0
    }

    /// Executes one statement on a new connection and returns the kinds of the answer's messages.
    fn execute(&self, workload: &str, id: u32) -> String {
        let mut client = self.driver.process.connect();
        send_statement_with_id(&mut client, workload, id);
        read_answer(&mut client).0
    }
}

impl Drop for UpgradeHarness {
    fn drop(&mut self) {
        if let Some(pid) = self.pid {
            let _ = spawn_process(
                Command::new("sh")
                    .arg("-c")
                    .arg(format!("kill -KILL {pid} 2>/dev/null")),
            )
            .wait();
        }
    }
}

fn statement(workload: &str, id: u32) -> Vec<u8> {
    let text = format!("/* id={id:x},c={workload},d=25000,cluster=1 */ SELECT {id}\0");
    message(b'Q', text.as_bytes())
}

fn send_statement_with_id(client: &mut TcpStream, workload: &str, id: u32) {
    client.write_all(&statement(workload, id)).expect("send");
}

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

/// Returns how often the member executed each statement since the last call.
fn take_execution_counts(member: &Member) -> BTreeMap<u32, u32> {
    let mut executions = BTreeMap::new();
    while let Ok(text) = member.events.try_recv() {
        let id = text.split("id=").nth(1).and_then(|t| t.split(',').next());
        let id = id
            .and_then(|digits| u32::from_str_radix(digits, 16).ok())
            .expect("parse the id of the statement");
        *executions.entry(id).or_default() += 1;
    }
    executions
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

#[test]
fn upgrade_successor_unable_to_serve_changes_nothing() {
    let member = start_member(MemberBehavior::Answer);
    let harness = UpgradeHarness::new("unable", &member, &HANDOVER_SETTINGS.replace("= 2s", "= 300ms"));
    let script = |name: &str, text: &str| {
        let path = harness.folder.write(name, &format!("#!/bin/bash\n{text}\n"));
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755))
            .expect("make the script executable");
        path
    };
    #[rustfmt::skip]
    let cases = [
        ("missing", harness.folder.path("nothing"), "No such file"),
        ("no program", harness.folder.write("text", "not a program"), "Permission denied"),
        ("exits with 0", script("zero", "exit 0"), "the new process ended"),
        ("crashes", script("crash", "kill -SEGV $$"), "the new process ended"),
        ("hangs", script("hang", "exec sleep 1000"), "was unresponsive while AwaitingHello"),
        ("sends invalid frames", script("invalid-frames", "eval \"head -c 4000 /dev/zero >&$ASTERLATCH_TAKEOVER\"; exec sleep 1000"), "what can't be read"),
    ];
    for (case_index, (name, binary, expected)) in cases.iter().enumerate() {
        let output = harness.request_upgrade(binary);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            output.status.code() == Some(1) && text.contains(expected),
            "{name}: {text}"
        );
        harness
            .driver
            .wait_for_log("upgrade: failed, this process continues to serve");
        assert_eq!(
            harness.execute("post", case_index as u32 + 1),
            "T D C Z",
            "{name}"
        );
    }
    // Learned state is invalid under changed deployment settings.
    let path = &harness.driver.process.path;
    let config = std::fs::read_to_string(path).expect("read the file");
    std::fs::write(path, config.replace("\"tick_us\":5000", "\"tick_us\":6000")).expect("write the file");
    let output = harness.request_upgrade(env!("CARGO_BIN_EXE_asterlatch"));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.contains("can't serve: the deployment's settings have changed"),
        "{text}"
    );
    std::fs::write(path, "{").expect("write the file");
    assert_eq!(
        harness
            .request_upgrade(env!("CARGO_BIN_EXE_asterlatch"))
            .status
            .code(),
        Some(1)
    );
    assert_eq!(harness.execute("post", 99), "T D C Z");
}

#[test]
fn upgrade_second_request_is_refused_and_shutdown_ends_successor() {
    let member = start_member(MemberBehavior::Answer);
    let harness = UpgradeHarness::new(
        "second",
        &member,
        &HANDOVER_SETTINGS.replace("hello = 2s", "hello = 10min"),
    );
    let hanging_script = harness.folder.write("hang", "#!/bin/sh\nexec sleep 1000\n");
    std::fs::set_permissions(&hanging_script, std::fs::Permissions::from_mode(0o755))
        .expect("make the script executable");
    let mut first = harness.upgrade_command(&hanging_script);
    let first = thread::spawn(move || first.output().expect("run the command"));
    let started_line = harness.driver.wait_for_log("upgrade: started ");
    let second = harness.request_upgrade(env!("CARGO_BIN_EXE_asterlatch"));
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&second.stdout).contains("another upgrade is in progress"));
    assert_eq!(harness.execute("view", 1), "T D C Z");
    harness.driver.process.signal("TERM");
    assert_eq!(first.join().expect("join the thread").status.code(), Some(1));
    harness.driver.wait_for_log("is stopped");
    let pid = started_line
        .rsplit(' ')
        .next()
        .expect("the log line ends with the process id");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while std::fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|s| !s.contains(") Z")) {
        assert!(Instant::now() < deadline, "the successor is still running");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A statement accepted before the handover is answered by the predecessor, exactly once.
#[test]
fn handover_write_in_flight_is_answered_once() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut harness = UpgradeHarness::new("in-flight", &member, HANDOVER_SETTINGS);
    let mut client = harness.driver.process.connect();
    send_statement_with_id(&mut client, "post", 7);
    assert!(member.next_event().contains("id=7,"));
    let (pid, upgrade_request) = harness.begin_upgrade();
    assert!(upgrade_request.join().expect("join the thread").status.success());
    harness.driver.wait_for_log("upgrade: proven");
    harness.pid = Some(pid);
    // The successor serves other clients meanwhile.
    let mut other = harness.driver.process.connect();
    send_statement_with_id(&mut other, "post", 8);
    assert!(member.next_event().contains("id=8,"));
    member.release.send(()).expect("release the statement");
    member.release.send(()).expect("release the statement");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    assert_eq!(read_answer(&mut other).0, "T D C Z");
    harness.driver.wait_for_log("is stopped");
    // After its answer the client has moved to the successor on the same connection.
    send_statement_with_id(&mut client, "post", 9);
    assert!(member.next_event().contains("id=9,"));
    member.release.send(()).expect("release the statement");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    assert!(
        member.events.try_recv().is_err(),
        "a statement was executed twice"
    );
}

/// If either process dies or hangs on probation, the other continues to serve.
#[test]
fn handover_process_dies_or_hangs_other_serves() {
    let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 1h");
    for (signal, signals_successor, expected_log) in [
        (
            "KILL",
            true,
            "upgrade: failed, this process continues to serve: the new process ended",
        ),
        (
            "STOP",
            true,
            "upgrade: failed, this process continues to serve: the new process was unresponsive while Standby",
        ),
        (
            "KILL",
            false,
            "upgrade: the predecessor is gone, the service is this one's",
        ),
    ] {
        let member = start_member(MemberBehavior::Answer);
        let mut harness = UpgradeHarness::new(&format!("failing-{signal}-{signals_successor}"), &member, &settings);
        assert_eq!(harness.execute("post", 1), "T D C Z");
        let (pid, _upgrade_request) = harness.begin_upgrade();
        harness.pid = Some(pid);
        assert_eq!(harness.execute("post", 2), "T D C Z");
        harness.await_client_moves(pid);
        let predecessor_pid = harness.driver.process.child.id();
        harness.signal(if signals_successor { pid } else { predecessor_pid }, signal);
        harness.driver.wait_for_log(expected_log);
        for id in 3..20 {
            assert_eq!(harness.execute("post", id), "T D C Z", "{signal} {signals_successor}");
        }
        let execution_count = std::iter::from_fn(|| member.events.try_recv().ok()).count();
        assert_eq!(execution_count, 19, "each statement is executed once");
        if signals_successor {
            // The next upgrade succeeds.
            harness.driver.replace_operators_file(HANDOVER_SETTINGS);
            harness.driver.wait_for_log("is applied");
            harness.upgrade();
            assert_eq!(harness.execute("post", 30), "T D C Z");
        }
    }
}

/// Sends a write, waits until the member has it, closes the connection, and waits until the process that serves it
/// has noticed that.
fn abandon_write(harness: &UpgradeHarness, member: &Member, id: u32, serving_pid: u32) {
    let mut client = harness.connect_at(serving_pid);
    send_statement_with_id(&mut client, "post", id);
    let statement = format!("id={id:x},");
    while !member.next_event().contains(&statement) {}
    drop(client);
    harness.wait_for_counter(serving_pid, "open_statements=0 ");
}

fn assert_not_sent_again(harness: &UpgradeHarness, member: &Member, id: u32, serving_pid: u32) {
    let mut client = harness.connect_at(serving_pid);
    while member.events.try_recv().is_ok() {}
    send_statement_with_id(&mut client, "post", id);
    assert_eq!(read_answer(&mut client).0, "E40003 Z", "id {id}");
    let statement = format!("id={id:x},");
    let is_sent_again = member.events.try_iter().any(|event| event.contains(&statement));
    assert!(!is_sent_again, "id {id} is sent again");
}

/// Guards against a write that is executed twice: its id came again at the other process of an upgrade after its
/// client had left.
#[test]
fn handover_id_sent_by_either_process_is_not_sent_again() {
    check_ids_of_handover(0);
}

/// Guards against the same in a later upgrade: the predecessor still counted on the I/O journal of its own handover,
/// which had ended, to tell its successor.
#[test]
fn handover_id_sent_by_either_process_of_second_upgrade_is_not_sent_again() {
    check_ids_of_handover(1);
}

fn check_ids_of_handover(earlier_upgrades: u32) {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut harness = UpgradeHarness::new(&format!("ids-{earlier_upgrades}"), &member, HANDOVER_SETTINGS);
    (0..earlier_upgrades).for_each(|_| harness.upgrade());
    let predecessor = harness.pid.unwrap_or(harness.driver.process.child.id());
    harness.set_long_probation(predecessor);
    abandon_write(&harness, &member, 1, predecessor);
    // Of these, as many are sent as the member takes at once; the rest wait in the predecessor.
    let mut waiting_client = harness.driver.process.connect();
    for id in 100..116 {
        send_statement_with_id(&mut waiting_client, "post", id);
    }
    harness.wait_for_counter(predecessor, "statements_taken=17 ");
    let sent = harness.counter(predecessor, "executions_sent") - 1;
    assert!(sent < 16, "statements wait in the predecessor");
    let is_statement = |event: &String| event.contains("id=");
    let next_statement = || std::iter::repeat_with(|| member.next_event()).find(is_statement);
    (0..sent).for_each(|_| drop(next_statement()));
    let (successor, _upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(successor);
    harness.await_client_moves(successor);
    // The predecessor sends the next one on probation, after the successor has its state.
    member.release.send(()).expect("release a statement");
    let sent_on_probation = next_statement().expect("a waiting statement is sent");
    let sent_id = sent_on_probation.split("id=").nth(1);
    let sent_id = sent_id.and_then(|text| text.split(',').next());
    let sent_id = u32::from_str_radix(sent_id.expect("the statement has an id"), 16).expect("parse the id");
    drop(waiting_client);
    harness.wait_for_counter(predecessor, "open_statements=0 ");
    for id in [1, sent_id] {
        assert_not_sent_again(&harness, &member, id, successor);
    }
    abandon_write(&harness, &member, 200, successor);
    // The predecessor knows it while both serve.
    harness.wait_for_counter(predecessor, "facts_from_peer_process=1 ");
    harness.signal(successor, "KILL");
    harness.pid = Some(predecessor);
    let failure = "upgrade: failed, this process continues to serve: the new process ended";
    harness.driver.wait_for_log(failure);
    for id in [1, sent_id, 200] {
        assert_not_sent_again(&harness, &member, id, predecessor);
    }
}

/// A configuration with a replica and with reads that must see their session's writes.
fn session_config(primary: &Member, replica: &Member) -> String {
    let replica = format!(
        r#"{{"name":"r","address":"{}","zone":"a","group":1,"status":"SERVING","weight":1.0,"since_ms":0,"rank":"copy"}}"#,
        replica.address
    );
    config_text(unused_address(), unresponsive_discovery(), primary.address)
        .replacen(
            r#""rank":"source"}"#,
            &format!(r#""rank":"source"}},{replica}"#),
            1,
        )
        .replacen(r#""name":"view""#, r#""name":"own""#, 1)
        .replacen(
            r#"["loose","update"]"#,
            r#"["own_writes","update"],"tokens":"router","answers_stamped":true"#,
            1,
        )
}

fn send_for_session(client: &mut TcpStream, workload: &str, id: u32, session: u32) {
    let text = format!(
        "/* id={id:x},c={workload},d=25000,cluster=1 */ SELECT blob FROM rows WHERE handle = '{session}'\0"
    );
    client.write_all(&message(b'Q', text.as_bytes())).expect("send");
}

/// Guards against reads that miss a write of their session: the other process of the upgrade had answered it after the
/// state was sent, or had died after its answer.
#[test]
fn handover_session_reads_see_writes_that_either_process_answered() {
    let role = |rank, lag| MemberRole {
        rank,
        lag: Some(TimeSpan::millis(lag)),
    };
    let primary = start_member_with_role(MemberBehavior::AnswerOnRelease, role("source", 0));
    let replica = start_member_with_role(MemberBehavior::Answer, role("copy", 60_000));
    let config = session_config(&primary, &replica);
    let mut harness = UpgradeHarness::with_config("session-writes", &config, HANDOVER_SETTINGS);
    let predecessor = harness.driver.process.child.id();
    harness.set_long_probation(predecessor);
    let mut client = harness.driver.process.connect();
    let await_answer_of_primary = |client: &mut TcpStream, id: u32| {
        let statement = format!("id={id:x},");
        while !primary.next_event().contains(&statement) {}
        primary.release.send(()).expect("release the statement");
        assert_eq!(read_answer(client).0, "T D C Z", "{id}");
    };
    // Reads of a session without writes go to the replica.
    send_for_session(&mut client, "own", 1, 7);
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    assert!(replica.next_event().contains("id=1,"));
    send_for_session(&mut client, "post", 2, 7);
    let (successor, _upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(successor);
    harness.await_client_moves(successor);
    await_answer_of_primary(&mut client, 2);
    harness.wait_for_counter(predecessor, "open_clients=0 ");
    send_for_session(&mut client, "own", 3, 7);
    await_answer_of_primary(&mut client, 3);
    send_for_session(&mut client, "post", 4, 8);
    await_answer_of_primary(&mut client, 4);
    harness.signal(successor, "KILL");
    harness.pid = Some(predecessor);
    let failure = "upgrade: failed, this process continues to serve: the new process ended";
    harness.driver.wait_for_log(failure);
    send_for_session(&mut client, "own", 6, 9);
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    assert!(replica.next_event().contains("id=6,"));
    send_for_session(&mut client, "own", 5, 8);
    await_answer_of_primary(&mut client, 5);
    assert!(
        replica.events.try_recv().is_err(),
        "the replica has none of these writes"
    );
}

/// If the successor dies on probation, the predecessor reclaims its clients, and answers its open statements
/// with errors that match what may have been executed.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn handover_successor_dies_clients_are_reclaimed() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
    let harness = UpgradeHarness::new("reclaim", &member, &settings);
    let listen = harness.driver.process.listen;
    let query = |id: u32, workload: &str| {
        let text = format!("/* id={id:x},c={workload},d=25000,cluster=1 */ SELECT {id}\0");
        message(b'Q', text.as_bytes())
    };
    // Some clients move, some connect to the successor, and one has not sent its startup message.
    let mut moved: Vec<_> = (0..4).map(|_| harness.driver.process.connect()).collect();
    let (pid, upgrade_request) = harness.begin_upgrade();
    let mut accepted: Vec<_> = (0..4).map(|_| harness.driver.process.connect()).collect();
    let mut unstarted = TcpStream::connect(listen).expect("connect");
    unstarted
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set timeout");
    let mut id = 0;
    // A release goes to any waiting statement, so no other statement may wait yet.
    for client in [&mut moved[0], &mut accepted[0]] {
        id += 1;
        client.write_all(&query(id, "post")).expect("send");
        member.next_event();
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(client).0, "T D C Z");
    }
    for clients in [&mut moved, &mut accepted] {
        // One client is idle after an answer, one waits for a write, and one has pipelined a read, a write
        // and a partial message.
        id += 10;
        clients[1].write_all(&query(id + 1, "post")).expect("send");
        member.next_event();
        let statements = [
            query(id + 2, "view"),
            query(id + 3, "post"),
            query(id + 4, "view"),
        ]
        .concat();
        clients[2]
            .write_all(&statements[..statements.len() - 5])
            .expect("send");
        member.next_event();
        member.next_event();
        // The successor may or may not have read the partial message when it is killed.
    }
    harness.signal(pid, "KILL");
    assert_eq!(
        upgrade_request.join().expect("join the thread").status.code(),
        Some(1)
    );
    let reclaimed = harness.driver.wait_for_log("clients reclaimed");
    // The four moved clients, the four new ones and the unstarted one.
    assert!(
        reclaimed.contains("9 clients reclaimed, 0 disconnected"),
        "{reclaimed}"
    );
    (0..6).for_each(|_| {
        assert_eq!(
            member.next_event(),
            "disconnected",
            "executions of the killed successor"
        )
    });
    for clients in [&mut moved, &mut accepted] {
        assert_eq!(
            read_answer(&mut clients[1]).0,
            "E40003 Z",
            "a write that may have been executed"
        );
        assert_eq!(
            read_answer(&mut clients[2]).0,
            "E53300 Z",
            "a read can be retried"
        );
        assert_eq!(read_answer(&mut clients[2]).0, "E40003 Z", "the pipelined write");
        id += 100;
        let statements = query(0, "view");
        clients[2]
            .write_all(&statements[statements.len() - 5..])
            .expect("send");
        assert!(
            member.next_event().contains("c=view"),
            "the partial message is completed"
        );
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(&mut clients[2]).0, "T D C Z");
        for client in clients.iter_mut() {
            id += 1;
            client.write_all(&query(id, "post")).expect("send");
            member.next_event();
            member.release.send(()).expect("release the statement");
            assert_eq!(
                read_answer(client).0,
                "T D C Z",
                "statement {id} after the reclaim"
            );
        }
    }
    unstarted.write_all(&[0, 0, 0, 9, 0, 3, 0, 0, 0]).expect("send");
    assert_eq!(read_answer(&mut unstarted).0, "Z");
}

/// A hanging predecessor must not block the successor's clients, nor resume them from an incomplete journal.
#[test]
fn io_journal_without_reader_is_abandoned() {
    let member = start_member(MemberBehavior::Answer);
    let settings = HANDOVER_SETTINGS
        .replace("probation = 200ms", "probation = 10min")
        .replace("silence = 1s", "silence = 10min");
    let mut harness = UpgradeHarness::new("unread", &member, &settings);
    let (pid, _upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(pid);
    let mut client = harness.driver.process.connect();
    // The client has moved to the successor.
    harness.wait_for_counter(pid, "open_clients=1 ");
    let predecessor_pid = harness.driver.process.child.id();
    harness.signal(predecessor_pid, "STOP");
    let large_statement = format!(
        "/* id=9,c=post,d=25000,cluster=1 */ SELECT '{}'\0",
        "x".repeat(1 << 20)
    );
    client
        .write_all(&message(b'Q', large_statement.as_bytes()))
        .expect("send");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    harness
        .driver
        .wait_for_log("the I/O journal is abandoned: the predecessor does not read it");
    harness.signal(pid, "KILL");
    harness.signal(predecessor_pid, "CONT");
    harness
        .driver
        .wait_for_log("clients disconnected, the I/O journal is incomplete");
    assert_eq!(read_answer(&mut client).0, "", "disconnected, not answered twice");
    assert_eq!(harness.execute("post", 10), "T D C Z");
}

/// Clients between two statements move together with input that was read but not yet accepted.
#[test]
fn handover_clients_move_with_unread_input() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new("move", &member, HANDOVER_SETTINGS);
    let listen = harness.driver.process.listen;
    let query = |id: u32, padding: usize| {
        let text = format!(
            "/* id={id:x},c=post,d=25000,cluster=1 */ SELECT '{}'\0",
            "x".repeat(padding)
        );
        message(b'Q', text.as_bytes())
    };
    // One client is idle; others are within a message header, a statement's text, or the startup message.
    let mut idle = harness.driver.process.connect();
    idle.write_all(&query(1, 10)).expect("send");
    assert_eq!(read_answer(&mut idle).0, "T D C Z");
    let splits = [1, 3, 5, 20, 30_000];
    let mut partial: Vec<_> = splits.iter().map(|_| harness.driver.process.connect()).collect();
    for (index, client) in partial.iter_mut().enumerate() {
        client
            .write_all(&query(10 + index as u32, 40_000)[..splits[index]])
            .expect("send");
    }
    let startup = [0, 0, 0, 9, 0, 3, 0, 0, 0];
    let connect = |input: &[u8]| {
        let mut stream = TcpStream::connect(listen).expect("connect");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set timeout");
        stream.write_all(input).expect("send");
        stream
    };
    let mut unstarted = [connect(&[]), connect(&startup[..5])];
    // Part of an oversized message was discarded.
    let mut oversized = harness.driver.process.connect();
    let too_long = message(b'Q', &vec![b'y'; 14 << 20]);
    oversized.write_all(&too_long[..1 << 20]).expect("send");
    harness.upgrade();
    assert!(
        harness.driver.process.child.wait().expect("wait").success(),
        "the predecessor has exited"
    );
    idle.write_all(&query(2, 10)).expect("send");
    assert_eq!(read_answer(&mut idle).0, "T D C Z", "idle client");
    for (index, client) in partial.iter_mut().enumerate() {
        client
            .write_all(&query(10 + index as u32, 40_000)[splits[index]..])
            .expect("send");
        assert_eq!(read_answer(client).0, "T D C Z", "split at {}", splits[index]);
    }
    unstarted[0].write_all(&startup).expect("send");
    unstarted[1].write_all(&startup[5..]).expect("send");
    for (index, client) in unstarted.iter_mut().enumerate() {
        assert_eq!(read_answer(client).0, "Z", "unstarted client {index}");
        client.write_all(&query(100 + index as u32, 10)).expect("send");
        assert_eq!(read_answer(client).0, "T D C Z", "unstarted client {index}");
    }
    oversized.write_all(&too_long[1 << 20..]).expect("send");
    assert_eq!(read_answer(&mut oversized).0, "E54000 Z", "discarded to its end");
    oversized.write_all(&query(200, 10)).expect("send");
    assert_eq!(read_answer(&mut oversized).0, "T D C Z");
    let executions: Vec<String> = std::iter::from_fn(|| member.events.try_recv().ok()).collect();
    assert_eq!(executions.len(), 10, "each statement is executed once");
}

fn list_entry(member: &Member, status: &str) -> String {
    format!(
        r#"{{"name":"m","address":"{}","zone":"a","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#,
        member.address
    )
}

/// Starts a discovery service that serves this endpoint list, and holds watch requests until a newer one is
/// set.
fn start_discovery(list: &Arc<Mutex<(u64, String)>>) -> std::net::SocketAddr {
    let (listener, address) = bind_listener();
    let list = list.clone();
    let serve_connection = |mut stream: TcpStream, list: Arc<Mutex<(u64, String)>>| -> std::io::Result<()> {
        loop {
            let head = read_request_head(&mut stream)?;
            let after = head
                .split("after=")
                .nth(1)
                .and_then(|t| t.split(['&', ' ']).next());
            let after: Option<u64> = after.and_then(|n| n.parse().ok());
            let body = loop {
                let (index, entry) = list.lock().expect("lock the endpoint list").clone();
                if after.is_none_or(|after| after < index) {
                    break format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{entry}]}}"#);
                }
                thread::sleep(Duration::from_millis(2));
            };
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
            )?;
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_connection(stream, list));
        }
    });
    address
}

/// A drain that discovery reports to one of both processes also applies to the other.
#[test]
fn co_serving_drain_of_either_process_binds_both() {
    for notifies_successor in [true, false] {
        let member = start_member(MemberBehavior::Answer);
        let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
        let mut harness = UpgradeHarness::new(&format!("drain-{notifies_successor}"), &member, &settings);
        let list = Arc::new(Mutex::new((2, list_entry(&member, "SERVING"))));
        let discovery_address = start_discovery(&list);
        // Only one process is configured with this discovery service; that of the other is unresponsive.
        let path = harness.driver.process.path.clone();
        let original_config = std::fs::read_to_string(&path).expect("read the file");
        let unresponsive_address = original_config
            .split("\"discovery\":\"")
            .nth(1)
            .and_then(|t| t.split('"').next());
        let changed_config = original_config.replace(
            unresponsive_address.expect("find the address of discovery"),
            &discovery_address.to_string(),
        );
        if notifies_successor {
            std::fs::write(&path, &changed_config).expect("write the file");
        } else {
            harness.configure(&changed_config);
            std::fs::write(&path, &original_config).expect("write the file");
        }
        let (pid, _upgrade_request) = harness.begin_upgrade();
        harness.pid = Some(pid);
        assert_eq!(harness.execute("view", 1), "T D C Z");
        *list.lock().expect("lock the endpoint list") = (3, list_entry(&member, "DRAINING"));
        let other_pid = if notifies_successor {
            harness.driver.process.child.id()
        } else {
            pid
        };
        harness.wait_for_counter(other_pid, "drains_from_peer_process=1 ");
        // The only member drains, so the read is rejected.
        assert_eq!(harness.execute_short_read(2), "E53300 Z", "{notifies_successor}");
        assert_eq!(
            take_execution_counts(&member).values().sum::<u32>(),
            1,
            "{notifies_successor}"
        );
    }
}

/// Guards against a successor that never polls the endpoint list: the predecessor had a request open, and each
/// left the next one to the other.
#[test]
fn handover_successor_polls_endpoint_list_by_itself() {
    let member = start_member(MemberBehavior::Answer);
    let list = Arc::new(Mutex::new((2, list_entry(&member, "SERVING"))));
    let config = config_text(unused_address(), start_discovery(&list), member.address);
    let polled = config.replacen(r#""settings":{"#, r#""settings":{"discovery":"ask","#, 1);
    let mut harness = UpgradeHarness::with_config("polled", &polled, HANDOVER_SETTINGS);
    let predecessor = harness.driver.process.child.id();
    // The predecessor's first request is answered, and the next one is open.
    harness.wait_for_counter(predecessor, "endpoint_lists_applied=2 ");
    harness.upgrade();
    let successor = harness.pid.expect("the upgrade has set it");
    harness.wait_for_counter(successor, "endpoint_lists_applied=1 ");
    *list.lock().expect("lock the endpoint list") = (3, list_entry(&member, "DRAINING"));
    harness.wait_for_counter(successor, "endpoint_lists_applied=2 ");
    // The only member drains, so the read is rejected.
    assert_eq!(harness.execute_short_read(1), "E53300 Z");
    assert_eq!(take_execution_counts(&member).values().sum::<u32>(), 0);
}

/// Guards against answers after SIGKILL: a predecessor that had handed over ignored SIGTERM while one of its
/// statements was open.
#[test]
fn handover_sigterm_to_draining_predecessor_answers_open_statement_in_time() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let config = config_text(unused_address(), unresponsive_discovery(), member.address);
    let limited = config.replace(r#""worth""#, r#""give_up_us":1000000,"worth""#);
    let mut harness = UpgradeHarness::with_config("late-sigterm", &limited, HANDOVER_SETTINGS);
    let mut client = harness.driver.process.connect();
    // The statement's own timeout is longer than the test waits for an answer.
    send_statement_with(&mut client, "post", 10 * TEST_TIMEOUT.as_millis() as u32, "x");
    member.next_event();
    let (successor, upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(successor);
    let output = upgrade_request.join().expect("join the thread");
    assert!(output.status.success(), "the successor owns the service");
    let predecessor = harness.driver.process.child.id();
    harness.signal(predecessor, "TERM");
    // The member never answers.
    assert_eq!(read_answer(&mut client).0, "E40003 Z");
    assert!(harness.driver.process.exits_successfully());
}

/// Executions in flight at either process count at the other.
#[test]
fn co_serving_in_flight_counts_are_exchanged() {
    for at_successor in [false, true] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
        let mut harness = UpgradeHarness::new(&format!("in-flight-{at_successor}"), &member, &settings);
        let mut client = harness.driver.process.connect();
        if !at_successor {
            send_statement_with_id(&mut client, "post", 1);
            member.next_event();
        }
        let (pid, _upgrade_request) = harness.begin_upgrade();
        harness.pid = Some(pid);
        if at_successor {
            // The client moves to the successor and sends its statement there.
            harness.wait_for_counter(pid, "open_clients=1 ");
            send_statement_with_id(&mut client, "post", 1);
            member.next_event();
        }
        let other_pid = if at_successor {
            harness.driver.process.child.id()
        } else {
            pid
        };
        harness.wait_for_counter(other_pid, "in_flight_at_peer_process=1 ");
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(&mut client).0, "T D C Z");
        harness.wait_for_counter(other_pid, "in_flight_at_peer_process=0 ");
    }
}

fn large_statement(id: u32) -> Vec<u8> {
    let text = format!("/* id={id:x},c=view,d=25000,cluster=1 */ SELECT 'large'\0");
    message(b'Q', text.as_bytes())
}

/// Number of large rows that exceeds the socket buffers of a client that doesn't read.
const LARGE_STATEMENTS: u32 = 12;

/// A slow reader gets all answers from the predecessor, and then moves to the successor.
#[test]
fn handover_slow_reader_gets_complete_answers() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new("slow", &member, HANDOVER_SETTINGS);
    let mut slow_client = harness.driver.process.connect();
    let statements: Vec<u8> = (1..=LARGE_STATEMENTS).flat_map(large_statement).collect();
    slow_client.write_all(&statements).expect("send");
    // All statements were executed, so their answers are buffered in the process or the kernel.
    (0..LARGE_STATEMENTS).for_each(|_| drop(member.next_event()));
    let (pid, upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(pid);
    assert!(
        upgrade_request.join().expect("join the thread").status.success(),
        "a slow reader does not delay the upgrade"
    );
    for answer_index in 1..=LARGE_STATEMENTS {
        let (kinds, value) = read_answer(&mut slow_client);
        assert_eq!(
            (kinds.as_str(), value.len()),
            ("T D C Z", LARGE_ROW_BYTES),
            "answer {answer_index}"
        );
    }
    harness.driver.wait_for_log("upgrade: the predecessor has exited");
    send_statement_with_id(&mut slow_client, "post", 100);
    assert_eq!(
        read_answer(&mut slow_client).0,
        "T D C Z",
        "continues at the successor"
    );
    assert_eq!(
        take_execution_counts(&member),
        BTreeMap::from([(100, 1)]),
        "nothing is executed again"
    );
}

/// If a process dies within an answer, the client is disconnected without a second answer; a client whose
/// answer is completely in the kernel's buffer reads it and continues.
#[test]
fn reclaim_partial_answer_disconnects_complete_answer_resumes() {
    let member = start_member(MemberBehavior::Answer);
    let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
    let harness = UpgradeHarness::new("partial-answer", &member, &settings);
    let mut partial_reader = harness.driver.process.connect();
    let (pid, _upgrade_request) = harness.begin_upgrade();
    let mut complete_reader = harness.driver.process.connect();
    // Both clients are at the successor.
    harness.wait_for_counter(pid, "open_clients=2 ");
    let statements: Vec<u8> = (1..=LARGE_STATEMENTS).flat_map(large_statement).collect();
    partial_reader.write_all(&statements).expect("send");
    send_statement_with_id(&mut complete_reader, "post", 50);
    (0..=LARGE_STATEMENTS).for_each(|_| drop(member.next_event()));
    complete_reader.peek(&mut [0]).expect("wait for the answer");
    partial_reader
        .peek(&mut [0])
        .expect("wait for the first answer to begin");
    // All statements are completed; wait until the kernel's buffers are full.
    harness.wait_for_counter(pid, &format!("completed={} ", LARGE_STATEMENTS + 1));
    let (mut last_readable, mut stable_polls) = (0, 0);
    while stable_polls < 30 {
        let readable =
            rustix::io::ioctl_fionread(&partial_reader).expect("read the number of readable bytes");
        stable_polls = if readable == last_readable {
            stable_polls + 1
        } else {
            0
        };
        last_readable = readable;
        thread::sleep(Duration::from_millis(10));
    }
    harness.signal(pid, "KILL");
    let reclaimed_line = harness.driver.wait_for_log("clients reclaimed");
    assert!(reclaimed_line.contains(" 1 disconnected"), "{reclaimed_line}");
    let mut answers = 0;
    loop {
        let (kinds, value) = read_answer(&mut partial_reader);
        if kinds != "T D C Z" {
            // The partial answer is truncated and nothing follows it.
            assert!(!kinds.contains('Z') && !kinds.contains('E'), "{kinds}");
            break;
        }
        assert_eq!(value.len(), LARGE_ROW_BYTES);
        answers += 1;
    }
    assert!(
        answers < LARGE_STATEMENTS,
        "the kernel buffered all {answers} answers, so none was partial"
    );
    assert_eq!(
        read_answer(&mut complete_reader).0,
        "T D C Z",
        "the buffered answer is read after the kill"
    );
    send_statement_with_id(&mut complete_reader, "post", 51);
    assert_eq!(
        read_answer(&mut complete_reader).0,
        "T D C Z",
        "continues after the reclaim"
    );
    let executions = take_execution_counts(&member);
    assert_eq!(executions, BTreeMap::from([(51, 1)]), "nothing is executed again");
}

/// On probation the predecessor accepts new clients; if it hangs or shuts down, the successor accepts them.
#[test]
fn handover_new_clients_reach_the_remaining_process() {
    for (signal, expected_log) in [
        ("STOP", "accepts, for the predecessor is unresponsive"),
        ("TERM", "accepts, for the predecessor drains"),
    ] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
        let mut harness = UpgradeHarness::new(&format!("accepts-{signal}"), &member, &settings);
        // The open statement prevents the predecessor from exiting.
        let mut draining_client = harness.driver.process.connect();
        send_statement_with_id(&mut draining_client, "post", 1);
        member.next_event();
        let (pid, _upgrade_request) = harness.begin_upgrade();
        harness.pid = Some(pid);
        harness.await_client_moves(pid);
        let predecessor_pid = harness.driver.process.child.id();
        harness.signal(predecessor_pid, signal);
        harness.driver.wait_for_log(expected_log);
        // A release goes to any waiting statement: one more for the statement from before the upgrade.
        member.release.send(()).expect("release the statement");
        for id in 2..5 {
            let mut client = harness.driver.process.connect();
            send_statement_with_id(&mut client, "post", id);
            member.next_event();
            member.release.send(()).expect("release the statement");
            assert_eq!(read_answer(&mut client).0, "T D C Z", "{signal}");
        }
        harness.signal(predecessor_pid, "CONT");
        assert_eq!(read_answer(&mut draining_client).0, "T D C Z", "{signal}");
    }
}

/// Clients beyond the successor's lower descriptor limit are closed instead of waiting without an answer; a
/// half-closed client is closed as well.
#[test]
fn handover_clients_beyond_descriptor_limit_are_closed() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new(
        "few-descriptors",
        &member,
        &HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 1s"),
    );
    let mut clients: Vec<_> = (0..60).map(|_| harness.driver.process.connect()).collect();
    let half_closed = clients.pop().expect("at least one client");
    half_closed
        .shutdown(std::net::Shutdown::Write)
        .expect("close the write side of the connection");
    let binary = env!("CARGO_BIN_EXE_asterlatch");
    let script = format!("#!/bin/sh\nulimit -n 50\nexec {binary} \"$@\"\n");
    let script_path = harness.folder.write("small", &script);
    std::fs::set_permissions(&script_path, std::fs::Permissions::from_mode(0o755))
        .expect("make the script executable");
    let mut command = harness.upgrade_command(&script_path);
    let upgrade_request = thread::spawn(move || command.output().expect("run the command"));
    let started_line = harness.driver.wait_for_log("upgrade: started ");
    harness.pid = started_line.rsplit(' ').next().and_then(|n| n.parse().ok());
    harness
        .driver
        .wait_for_log("the successor is ready and asked to serve");
    let (mut served, mut closed) = (0, 0);
    for (client_index, client) in clients.iter_mut().enumerate() {
        // Fails if the client has been closed.
        let _ = client.write_all(&statement("post", client_index as u32 + 1));
        match read_answer(client).0.as_str() {
            "T D C Z" => served += 1,
            "" => closed += 1,
            // No descriptor is left for a member connection.
            "E53300 Z" => {}
            other => panic!("client {client_index}: {other}"),
        }
    }
    let output = upgrade_request.join().expect("join the thread");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stdout)
    );
    assert!(served > 0 && closed > 5, "{served} served, {closed} closed");
    assert_eq!(
        take_execution_counts(&member)
            .values()
            .filter(|n| **n == 1)
            .count(),
        served,
        "each statement is executed once"
    );
}

/// SIGHUP to either process during an upgrade reloads its files without affecting the upgrade.
#[test]
fn handover_reload_during_upgrade_changes_nothing() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new(
        "reload",
        &member,
        &HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 1s"),
    );
    let mut idle_client = harness.driver.process.connect();
    let (pid, upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(pid);
    for signalled_pid in [harness.driver.process.child.id(), pid] {
        harness.signal(signalled_pid, "HUP");
        harness.driver.wait_for_log("configuration: reloaded");
        assert_eq!(harness.execute("post", signalled_pid), "T D C Z");
    }
    send_statement_with_id(&mut idle_client, "post", 7);
    assert_eq!(read_answer(&mut idle_client).0, "T D C Z");
    assert!(upgrade_request.join().expect("join the thread").status.success());
    harness.driver.wait_for_log("upgrade: the predecessor has exited");
    assert!(take_execution_counts(&member).values().all(|n| *n == 1));
}

/// Guards against a reload by the signalled process alone: the other one kept the former address of discovery. Both
/// serve on probation; behind it the predecessor still answers a statement.
#[test]
fn handover_reload_of_either_process_reaches_both() {
    for (probation, progress) in [
        ("10min", "upgrade: the successor is ready and asked to serve"),
        ("200ms", "upgrade: done, the successor owns the service"),
    ] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let settings = HANDOVER_SETTINGS.replace("200ms", probation);
        let mut harness = UpgradeHarness::new(&format!("reload-{probation}"), &member, &settings);
        let predecessor = harness.driver.process.child.id();
        let mut client = harness.driver.process.connect();
        send_statement_with_id(&mut client, "post", 1);
        while !member.next_event().contains("id=1,") {}
        let mut command = harness.upgrade_command(env!("CARGO_BIN_EXE_asterlatch"));
        let _upgrade_request = thread::spawn(move || command.output());
        let started = harness.driver.wait_for_log("upgrade: started ");
        let successor = started.rsplit(' ').next().and_then(|pid| pid.parse().ok());
        let successor = successor.expect("the log line ends with the process id");
        harness.pid = Some(successor);
        harness.driver.wait_for_log(progress);
        harness.await_client_moves(successor);
        harness.signal(predecessor, "HUP");
        harness.wait_for_counter(successor, "reloads=1 ");
        harness.signal(successor, "HUP");
        harness.wait_for_counter(predecessor, "reloads=2 ");
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(&mut client).0, "T D C Z", "{probation}");
    }
}

/// The resources that both processes together need are checked before the upgrade starts.
#[test]
fn upgrade_without_capacity_for_two_is_refused_with_usage() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new("capacity", &member, HANDOVER_SETTINGS);
    let path = harness.driver.process.path.clone();
    let config = std::fs::read_to_string(&path).expect("read the file");
    #[rustfmt::skip]
    let cases = [
        (r#""sockets":256"#, r#""sockets":50"#, "descriptors"),
        (r#""memory_mb":192"#, r#""memory_mb":8"#, "MB"),
    ];
    for (case_index, (before, after, unit)) in cases.into_iter().enumerate() {
        harness.configure(&config.replace(before, after));
        let output = harness.request_upgrade(env!("CARGO_BIN_EXE_asterlatch"));
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(1), "{text}");
        let is_expected = text.starts_with("failed: both processes together need") && text.contains(unit);
        assert!(is_expected, "{text}");
        harness
            .driver
            .wait_for_log("upgrade: cannot start: both processes together need");
        assert_eq!(harness.execute("post", case_index as u32 + 1), "T D C Z");
    }
    harness.configure(&config);
    harness.upgrade();
}

/// Idle member connections move too, which avoids a burst of handshakes at each upgrade.
#[test]
fn handover_idle_member_connections_move() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut harness = UpgradeHarness::new("idle", &member, HANDOVER_SETTINGS);
    let mut clients: Vec<_> = (0..5).map(|_| harness.driver.process.connect()).collect();
    let execute_all = |clients: &mut Vec<TcpStream>, first_id: u32| {
        for (client_index, client) in clients.iter_mut().enumerate() {
            send_statement_with_id(client, "view", first_id + client_index as u32);
            member.next_event();
        }
        clients
            .iter()
            .for_each(|_| member.release.send(()).expect("release the statement"));
        clients
            .iter_mut()
            .for_each(|c| assert_eq!(read_answer(c).0, "T D C Z"));
    };
    execute_all(&mut clients, 1);
    harness.upgrade();
    execute_all(&mut clients, 10);
    harness.signal(harness.pid.expect("a process has taken over"), "USR1");
    let counters = harness.driver.wait_for_log("counters: clients_accepted=");
    for counter in [
        "connections_adopted=5 ",
        "connections_opened=0 ",
        "clients_adopted=5 ",
        "completed=5 ",
    ] {
        assert!(
            counters.contains(&format!(" {counter}")),
            "{counter}in {counters}"
        );
    }
}

/// Pipelined statements keep their order: accepted ones are answered by the predecessor, the others by the
/// successor.
#[test]
fn handover_pipelined_statements_keep_their_order() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut harness = UpgradeHarness::new("pipeline", &member, HANDOVER_SETTINGS);
    let mut client = harness.driver.process.connect();
    let count = 40u32;
    let pipeline: Vec<u8> = (1..=count)
        .flat_map(|id| {
            message(
                b'Q',
                format!("/* id={id:x},c=view,d=25000,cluster=1 */ SELECT {id}\0").as_bytes(),
            )
        })
        .collect();
    client.write_all(&pipeline).expect("send");
    member.next_event();
    let (pid, upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(pid);
    (0..count).for_each(|_| member.release.send(()).expect("release the statement"));
    for statement_index in 0..count {
        assert_eq!(
            read_answer(&mut client).0,
            "T D C Z",
            "statement {statement_index}"
        );
    }
    assert!(upgrade_request.join().expect("join the thread").status.success());
    harness.driver.wait_for_log("is stopped");
    let mut executions: Vec<String> = std::iter::from_fn(|| member.events.try_recv().ok()).collect();
    executions.sort();
    executions.dedup();
    assert_eq!(
        executions.len() as u32 + 1,
        count,
        "each statement is executed once, and the first was received before"
    );
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
