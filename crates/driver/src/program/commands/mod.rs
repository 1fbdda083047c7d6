//! `asterlatch config ...`: commands on operators' files and stored generations, without a running service.

mod files;
mod generations;

use super::operators::schema;
use asterlatch_config::schema::Machine;
use asterlatch_config::service_schema::DEFAULT_MACHINE;
use asterlatch_config::unit::{Quantity, Unit};
use clap::{Args, Subcommand};
use std::io::Write;
use std::path::PathBuf;

/// A subcommand of `asterlatch config`. `--help` prints doc comments of its fields, so they have none.
#[allow(missing_docs)]
#[derive(Subcommand)]
pub enum Command {
    /// Check a file and print all diagnostics; exits with 0 if the file is valid, else with 1
    Check {
        file: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Rewrite a file in canonical format, or with --check only check its format
    Format {
        file: String,
        /// Write nothing; exits with 1 if the file is not formatted
        #[arg(long)]
        check: bool,
    },
    /// Print the settings that differ between two files; exits with 0 if none do, with 1 if some do, with 2
    /// if a file is invalid
    Diff {
        old: String,
        new: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Print all settings that a file results in as JSON, including defaults
    Show {
        file: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Print a reference of all settings, as Markdown
    Reference,
    /// Print the stored generations in a folder, newest first
    History { folder: PathBuf },
    /// Store an earlier generation as the newest one, which the next start without a valid file uses
    Rollback {
        folder: PathBuf,
        /// Number of changes to go back
        #[arg(default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..))]
        steps: u16,
    },
}

/// Limits of the machine, against which settings are checked.
#[derive(Args)]
pub struct MachineArguments {
    /// Memory limit of the process, such as 192MiB
    #[arg(long, value_parser = parse_memory)]
    memory: Option<i64>,
    /// Descriptor limit of the process
    #[arg(long, value_parser = clap::value_parser!(i64).range(1..))]
    descriptors: Option<i64>,
}

/// The error is a message for `clap` to print.
fn parse_memory(text: &str) -> Result<i64, String> {
    match Quantity::parse(text) {
        Ok(Quantity {
            unit: Unit::Size,
            amount,
        }) if amount > 0 => Ok(amount),
        _ => Err(format!("a size such as {}", Unit::Size.example())),
    }
}

impl MachineArguments {
    fn machine(&self) -> Machine {
        Machine {
            memory: self.memory.unwrap_or(DEFAULT_MACHINE.memory),
            descriptors: self.descriptors.unwrap_or(DEFAULT_MACHINE.descriptors),
        }
    }
}

/// Output of a command and its exit code. Standard error is printed first.
#[derive(Default)]
struct CommandOutput {
    stderr: String,
    stdout: String,
    exit_code: u8,
}

impl CommandOutput {
    fn success(stdout: String) -> CommandOutput {
        CommandOutput {
            stdout,
            ..CommandOutput::default()
        }
    }

    fn failure(stderr: String) -> CommandOutput {
        CommandOutput {
            stderr,
            exit_code: 1,
            ..CommandOutput::default()
        }
    }
}

/// Executes a command, prints its output, and returns its exit code.
pub fn run(command: &Command) -> u8 {
    let output = execute(command);
    // A closed output stream is not a failure of the command.
    let _ = std::io::stderr().write_all(output.stderr.as_bytes());
    let _ = std::io::stdout().write_all(output.stdout.as_bytes());
    output.exit_code
}

fn execute(command: &Command) -> CommandOutput {
    match command {
        Command::Check { file, machine } => files::check(file, machine.machine()),
        Command::Format { file, check: true } => files::check_format(file),
        Command::Format { file, check: false } => files::format(file),
        Command::Diff { old, new, machine } => files::diff(old, new, machine.machine()),
        Command::Show { file, machine } => files::show(file, machine.machine()),
        Command::Reference => CommandOutput::success(schema().reference()),
        Command::History { folder } => generations::output(folder, generations::history(folder)),
        Command::Rollback { folder, steps } => {
            generations::output(folder, generations::rollback(folder, usize::from(*steps)))
        }
    }
}
