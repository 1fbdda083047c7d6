//! A driver process of a cluster: start, files and addresses.

use super::Cluster;
use crate::deployment::{check_serving, START_TIMEOUT};
use crate::error::{Error, Result};
use crate::fault_script::DriverFault;
use crate::program_under_test::ProgramUnderTest;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub(super) struct DriverProcess {
    pub(super) number: u32,
    pub(super) listen: SocketAddr,
    /// Addresses of its discovery; the first is the one in its configuration.
    pub(super) discoveries: [SocketAddr; 2],
    /// `None` while the process is down.
    pub(super) child: Option<Child>,
    pub(super) starts: u32,
    pub(super) runs_later_build: bool,
}

impl Cluster {
    pub(super) fn path(&self, number: u32, suffix: &str) -> PathBuf {
        self.folder.join(format!("d{number}.{suffix}"))
    }

    /// Addresses of all drivers, in the order of their numbers.
    pub fn listen_addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|process| process.listen).collect()
    }

    /// Offset of a driver's clock by the fault script, in seconds.
    fn clock_offset(&self, number: u32) -> i64 {
        let faults = self.script.driver_faults();
        let driver_faults = faults.iter().filter(|scheduled| scheduled.driver == number);
        driver_faults
            .filter_map(|scheduled| match scheduled.fault {
                DriverFault::ClockOffset(seconds) => Some(seconds),
                _ => None,
            })
            .sum()
    }

    pub(super) fn spawn_driver(&mut self, number: u32) -> Result<()> {
        let starts = self.processes[number as usize - 1].starts + 1;
        let log = File::create(self.path(number, &format!("{starts}.log")))?;
        let mut command = ProgramUnderTest::from(&self.program).command()?;
        if self.processes[number as usize - 1].runs_later_build {
            command.env("ASTERLATCH_LAB_LATER_WIRE", "1");
        }
        let child = command
            .arg("serve")
            .arg("--config")
            .arg(self.path(number, "json"))
            .arg("--operators")
            .arg(self.path(number, "latch"))
            .arg("--control")
            .arg(self.path(number, "control"))
            .arg("--state")
            .arg(self.path(number, "state"))
            .env("ASTERLATCH_LAB_CLOCK", self.clock_offset(number).to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|source| Error::StartProgram {
                program: self.program.clone(),
                source,
            })?;
        let process = &mut self.processes[number as usize - 1];
        process.child = Some(child);
        process.starts = starts;
        Ok(())
    }

    pub(super) fn await_serving(&self, number: u32) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while let Err(e) = check_serving(self.processes[number as usize - 1].listen) {
            if Instant::now() > deadline {
                let log = std::fs::read_to_string(self.path(number, "1.log")).unwrap_or_default();
                return Err(Error::DriverNotServing {
                    driver: number,
                    source: e,
                    log,
                });
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }
}
