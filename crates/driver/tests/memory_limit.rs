//! Memory of the driver under hundreds of clients that send more than they should.

mod harness;
use harness::*;
use std::io::Write;
use std::net::TcpStream;

const MEMORY_MB: u64 = 32;
const CLIENTS: usize = 450;

/// What each of the clients sends.
struct Flood {
    name: &'static str,
    bytes: Vec<u8>,
    /// Bytes that each client writes before the next one's turn.
    part_bytes: usize,
}

/// A query message with the head of a statement, many short fields, and a value of this size.
fn query(fields: usize, value_bytes: usize) -> Vec<u8> {
    let head = format!("/* id=7,c=view,d=20000,cluster=1{}", ",a=1".repeat(fields));
    let value = "x".repeat(value_bytes);
    message(b'Q', format!("{head} */ SELECT '{value}'\0").as_bytes())
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
    let mut clients: Vec<TcpStream> = (0..CLIENTS).map(|_| process.connect()).collect();
    for part in flood.bytes.chunks(flood.part_bytes) {
        clients.retain_mut(|client| client.write_all(part).is_ok());
    }
    clients
}

/// Guards against a process that passes its memory limit and is killed: buffers took more memory than was
/// counted, connections and open statements weren't counted at all, and rejections filled the event loop's queue.
#[test]
fn hundreds_of_unfinished_requests_stay_within_the_memory_limit() {
    let floods = [
        Flood {
            name: "stopped half way in large requests",
            bytes: without_end(query(0, 30_000)),
            part_bytes: usize::MAX,
        },
        Flood {
            name: "large requests written slowly",
            bytes: without_end(query(0, 120_000)),
            part_bytes: 1500,
        },
        Flood {
            name: "heads of very many short fields",
            bytes: without_end(query(30_000, 10)),
            part_bytes: 1500,
        },
        Flood {
            name: "many small requests ahead",
            bytes: query(0, 10).repeat(2000),
            part_bytes: 30_000,
        },
    ];
    for (number, flood) in floods.iter().enumerate() {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let config = config_text(unused_address(), unresponsive_discovery(), member.address)
            .replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#))
            .replace(r#""sockets":256"#, r#""sockets":1024"#);
        let process = start_driver_with_config(&format!("memory-{number}"), &config);
        let clients = run_flood(&process, flood);
        // Answered behind what the clients have sent so far.
        drop(process.connect());
        let peak = peak_memory_mb(&process);
        assert!(peak <= MEMORY_MB, "{}: {peak} MB", flood.name);
        drop(clients);
    }
}
