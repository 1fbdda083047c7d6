//! Drivers with an operators' file.

use super::{
    config_text, start_driver_with_faults, unresponsive_discovery, unused_address, DriverProcess,
    TEST_TIMEOUT,
};
use asterlatch_fault_injection::FaultPlan;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Instant;

/// A driver with an operators' file, whose log is read line by line.
pub(crate) struct OperatedDriver {
    pub(crate) process: DriverProcess,
    pub(crate) operators_file: PathBuf,
    pub(crate) log_lines: Receiver<String>,
    whole_log: WholeLog,
}

pub(crate) fn start_with_operators_file(
    name: &str,
    member: SocketAddr,
    arguments: &[&str],
) -> OperatedDriver {
    start_with_operators_file_and_faults(name, member, arguments, &FaultPlan::default())
}

pub(crate) fn start_with_operators_file_and_faults(
    name: &str,
    member: SocketAddr,
    arguments: &[&str],
    faults: &FaultPlan,
) -> OperatedDriver {
    let text = config_text(unused_address(), unresponsive_discovery(), member);
    start_with_operators_file_and_config(name, &text, arguments, faults)
}

pub(crate) fn start_with_operators_file_and_config(
    name: &str,
    text: &str,
    arguments: &[&str],
    faults: &FaultPlan,
) -> OperatedDriver {
    let mut process = start_driver_with_faults(name, text, arguments, faults);
    let stderr = process.child.stderr.take().expect("stderr is piped");
    let (line_sender, log_lines) = channel();
    let whole_log = WholeLog::default();
    let log_copy = whole_log.clone();
    thread::spawn(move || {
        // The log may contain invalid UTF-8 if the process fails.
        let lines = BufReader::new(stderr).split(b'\n').map_while(Result::ok);
        for line in lines {
            let line = String::from_utf8_lossy(&line).into_owned();
            log_copy.push_line(&line);
            let _ = line_sender.send(line);
        }
    });
    let flag_index = arguments
        .iter()
        .position(|a| *a == "--operators")
        .expect("`--operators` is among the arguments");
    let operators_file = PathBuf::from(arguments[flag_index + 1]);
    OperatedDriver {
        process,
        operators_file,
        log_lines,
        whole_log,
    }
}

/// The log of a driver and its successors so far, printed if the test fails.
#[derive(Clone, Default)]
pub(crate) struct WholeLog(Arc<Mutex<String>>);

impl WholeLog {
    fn push_line(&self, line: &str) {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.push_str(line);
        log.push('\n');
    }
}

impl Drop for WholeLog {
    fn drop(&mut self) {
        if thread::panicking() {
            let log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            eprintln!("log of the driver:\n{log}");
        }
    }
}

impl OperatedDriver {
    /// Replaces the operators' file atomically and makes the driver reload it.
    pub(crate) fn replace_operators_file(&self, text: &str) {
        let new_file = self.operators_file.with_extension("new");
        std::fs::write(&new_file, text).expect("write the new operators' file");
        std::fs::rename(&new_file, &self.operators_file).expect("replace the operators' file");
        self.process.signal("HUP");
    }

    /// Reads the log up to a line that contains this text, and returns the line.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let mut seen = String::new();
        while let Ok(line) = self
            .log_lines
            .recv_timeout(deadline.saturating_duration_since(Instant::now()))
        {
            if line.contains(text) {
                return line;
            }
            seen = seen + &line + "\n";
        }
        panic!("the log has no line with '{text}':\n{seen}");
    }
}
