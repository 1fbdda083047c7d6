//! Processor time that a flood of invalid statements costs, relative to an earlier build named by `BEFORE`:
//! `make bench-flood BEFORE=path`. The builds alternate, so that other load on the machine affects both
//! alike.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

const STATEMENTS: usize = 20_000;
const BATCH_STATEMENTS: usize = 16;
const ROUNDS: usize = 25;

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    listener.local_addr().expect("read the bound address")
}

struct DriverProcess {
    child: Child,
    listen: SocketAddr,
    file: std::path::PathBuf,
}

fn start_driver(program: &str, name: &str) -> DriverProcess {
    let (listen, discovery) = (unused_address(), unused_address());
    let text = format!(
        r#"{{"name":"t","listen":"{listen}","discovery":"{discovery}","seed":"7",
        "settings":{{"categories":[{{"name":"view"}}],"family_info":{{"freshness":["loose"]}}}}}}"#
    );
    let file = std::env::temp_dir().join(format!("asterlatch-flood-{}-{name}.json", std::process::id()));
    std::fs::write(&file, text).expect("write the file");
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(&file);
    let child = command.stderr(Stdio::null()).spawn().expect("spawn the driver");
    while TcpStream::connect(listen).is_err() {
        std::thread::yield_now();
    }
    DriverProcess { child, listen, file }
}

impl DriverProcess {
    /// Returns the processor time used so far, in clock ticks of the kernel.
    fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))
            .expect("read the statistics of the process");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        fields[11]
            .parse::<u64>()
            .expect("parse the number of clock ticks")
            + fields[12]
                .parse::<u64>()
                .expect("parse the number of clock ticks")
    }

    fn flood(&self) {
        let mut stream = TcpStream::connect(self.listen).expect("connect");
        stream.write_all(&[0, 0, 0, 9, 0, 3, 0, 0, 0]).expect("send");
        let text = b"no comment at all\0";
        let statement = [&b"Q"[..], &(text.len() as u32 + 4).to_be_bytes(), text].concat();
        let batch = statement.repeat(BATCH_STATEMENTS);
        let mut buffer = vec![0; 1 << 16];
        let mut ready_count = 0;
        let mut sent_count = 0;
        // The answer to the startup message contains a ReadyForQuery as well.
        while ready_count < STATEMENTS + 1 {
            if ready_count > sent_count && sent_count < STATEMENTS {
                stream.write_all(&batch).expect("send");
                sent_count += BATCH_STATEMENTS;
            }
            let length = stream.read(&mut buffer).expect("read from the connection");
            assert!(
                length > 0,
                "the driver closed the connection after {ready_count} answers"
            );
            // Each answer ends with a ReadyForQuery; a batch of answers is small enough not to be split.
            ready_count += buffer[..length]
                .windows(6)
                .filter(|w| *w == b"Z\0\0\0\x05I")
                .count();
        }
    }
}

impl Drop for DriverProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn main() {
    let current_program = env!("CARGO_BIN_EXE_asterlatch").to_owned();
    let baseline_program = std::env::var("BEFORE")
        .ok()
        .filter(|path| !path.is_empty())
        .unwrap_or_else(|| current_program.clone());
    let (baseline, current) = (
        start_driver(&baseline_program, "before"),
        start_driver(&current_program, "now"),
    );
    let (baseline_start, current_start) = (baseline.cpu_ticks(), current.cpu_ticks());
    for _ in 0..ROUNDS {
        baseline.flood();
        current.flood();
    }
    let (baseline, current) = (
        baseline.cpu_ticks() - baseline_start,
        current.cpu_ticks() - current_start,
    );
    println!(
        "{} bad statements each: this build takes {:.2} of the processor time of the earlier build",
        STATEMENTS * ROUNDS,
        current as f64 / baseline.max(1) as f64
    );
}
