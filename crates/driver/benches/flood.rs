//! What a flood of bad input costs the process: processor time of this build, and of an earlier one beside it
//! where `BEFORE` names its program. `make bench-flood BEFORE=path`. The two take turns, so that a busy
//! machine is busy for both; only their ratio is told.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

const STATEMENTS: usize = 20_000;
const AT_ONCE: usize = 16;
const ROUNDS: usize = 25;

fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    listener.local_addr().expect("read the bound address")
}

struct Served {
    child: Child,
    listen: SocketAddr,
    file: std::path::PathBuf,
}

fn serve(program: &str, name: &str) -> Served {
    let (listen, discovery) = (free(), free());
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
    Served { child, listen, file }
}

impl Served {
    /// Processor time so far, in ticks of the kernel.
    fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("read the file");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        fields[11]
            .parse::<u64>()
            .expect("parse the number of clock ticks")
            + fields[12]
                .parse::<u64>()
                .expect("parse the number of clock ticks")
    }

    fn flood(&self) {
        let mut stream = TcpStream::connect(self.listen).expect("connect to the driver");
        stream
            .write_all(&[0, 0, 0, 9, 0, 3, 0, 0, 0])
            .expect("write to the connection");
        let text = b"no comment at all\0";
        let one = [&b"Q"[..], &(text.len() as u32 + 4).to_be_bytes(), text].concat();
        let row = one.repeat(AT_ONCE);
        let mut buffer = vec![0; 1 << 16];
        let mut ready = 0;
        let mut sent = 0;
        // The welcome says ready once as well.
        while ready < STATEMENTS + 1 {
            if ready > sent && sent < STATEMENTS {
                stream.write_all(&row).expect("write to the connection");
                sent += AT_ONCE;
            }
            let n = stream.read(&mut buffer).expect("read from the connection");
            assert!(n > 0, "it hung up after {ready}");
            // Each answer ends in Z, its length, and I; the row is small enough to lie whole in what is read.
            ready += buffer[..n].windows(6).filter(|w| *w == b"Z\0\0\0\x05I").count();
        }
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn main() {
    let now = env!("CARGO_BIN_EXE_asterlatch").to_owned();
    let before = std::env::var("BEFORE")
        .ok()
        .filter(|b| !b.is_empty())
        .unwrap_or_else(|| now.clone());
    let (a, b) = (serve(&before, "before"), serve(&now, "now"));
    let (from_a, from_b) = (a.ticks(), b.ticks());
    for _ in 0..ROUNDS {
        a.flood();
        b.flood();
    }
    let (a, b) = (a.ticks() - from_a, b.ticks() - from_b);
    println!(
        "{} bad statements each: this build takes {:.2} of the processor time of the one before",
        STATEMENTS * ROUNDS,
        b as f64 / a.max(1) as f64
    );
}
