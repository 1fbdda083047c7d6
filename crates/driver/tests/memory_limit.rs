//! Memory of the driver under hundreds of clients that send more than they should.

mod harness;
use harness::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const CLIENTS: usize = 450;

/// Statements that a client sends without reading an answer.
const READS_AHEAD: usize = 16;
/// Time without a statement at the member behind which none is expected.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// Receive buffer of each client's socket.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// What each of the clients sends.
struct Flood {
    name: &'static str,
    behavior: MemberBehavior,
    /// Requests of the client with this number.
    requests: fn(usize) -> Vec<u8>,
    /// Bytes that each client writes before the next one's turn.
    part_bytes: usize,
}

/// A query message with the head of a statement, many short fields, and a value of this size.
fn query(fields: usize, value_bytes: usize) -> Vec<u8> {
    query_with("7", &",a=1".repeat(fields), &"x".repeat(value_bytes))
}

fn query_with(id: &str, fields: &str, value: &str) -> Vec<u8> {
    let text = format!("/* id={id},c=view,d=20000,cluster=1{fields} */ SELECT '{value}'\0");
    message(b'Q', text.as_bytes())
}

/// Reads with ids of their own.
fn medium_reads(client: usize) -> Vec<u8> {
    let read = |number| query_with(&format!("{client}x{number}"), "", "medium");
    (0..READS_AHEAD).flat_map(read).collect()
}

fn without_end(mut message: Vec<u8>) -> Vec<u8> {
    message.truncate(message.len() * 9 / 10);
    message
}

/// Peak of the resident memory, in MB.
fn peak_memory_mb(process: &DriverProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id()));
    let status = status.expect("read the status of the driver");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|text| text.trim().strip_suffix(" kB"));
    let kilobytes = kilobytes.and_then(|text| text.trim().parse::<u64>().ok());
    kilobytes.expect("read the peak of the resident memory") / 1024
}

/// Connects the clients and has them write their parts in turns. Clients that the driver closes meanwhile go.
fn run_flood(process: &DriverProcess, flood: &Flood) -> Vec<TcpStream> {
    let open = |number| {
        let client = process.connect();
        socket2::SockRef::from(&client)
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("set the receive buffer's size");
        (client, (flood.requests)(number))
    };
    let mut clients: Vec<(TcpStream, Vec<u8>)> = (0..CLIENTS).map(open).collect();
    while clients.iter().any(|(_, rest)| !rest.is_empty()) {
        clients.retain_mut(|(client, rest)| {
            let part: Vec<u8> = rest.drain(..flood.part_bytes.min(rest.len())).collect();
            client.write_all(&part).is_ok()
        });
    }
    clients.into_iter().map(|(client, _)| client).collect()
}

/// Guards against a process that passes its memory limit and is killed: buffers took more memory than was
/// counted, connections and open statements weren't counted at all, and rejections filled the event loop's queue.
#[test]
fn hundreds_of_unfinished_requests_stay_within_the_memory_limit() {
    let floods = [
        Flood {
            name: "stopped half way in large requests",
            behavior: MemberBehavior::AnswerOnRelease,
            requests: |_| without_end(query(0, 30_000)),
            part_bytes: usize::MAX,
        },
        Flood {
            name: "large requests written slowly",
            behavior: MemberBehavior::AnswerOnRelease,
            requests: |_| without_end(query(0, 120_000)),
            part_bytes: 1500,
        },
        Flood {
            name: "heads of very many short fields",
            behavior: MemberBehavior::AnswerOnRelease,
            requests: |_| without_end(query(30_000, 10)),
            part_bytes: 1500,
        },
        Flood {
            name: "many small requests ahead",
            behavior: MemberBehavior::AnswerOnRelease,
            requests: |_| query(0, 10).repeat(2000),
            part_bytes: 30_000,
        },
        Flood {
            name: "reads of 64 KB ahead whose answers aren't read",
            behavior: MemberBehavior::Answer,
            requests: medium_reads,
            part_bytes: usize::MAX,
        },
    ];
    for (number, flood) in floods.iter().enumerate() {
        let member = start_member(flood.behavior);
        let config = config_text(unused_address(), unresponsive_discovery(), member.address)
            .replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#))
            .replace(r#""sockets":256"#, r#""sockets":1024"#);
        let process = start_driver_with_config(&format!("memory-{number}"), &config);
        let clients = run_flood(&process, flood);
        // Answered behind what the clients have sent so far.
        drop(process.connect());
        if flood.behavior == MemberBehavior::Answer {
            while member.events.recv_timeout(QUIET_TIME).is_ok() {}
        }
        let peak = peak_memory_mb(&process);
        assert!(peak <= MEMORY_MB, "{}: {peak} MB", flood.name);
        drop(clients);
    }
}
