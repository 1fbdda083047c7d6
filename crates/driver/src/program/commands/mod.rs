//! `asterlatch config ...`: what operators do with their files and with stored generations, without a running service.

mod files;
mod generations;

use super::operators::schema;
use asterlatch_config::schema::Machine;
use asterlatch_config::service_schema::DEFAULT_MACHINE;
use asterlatch_config::unit::{Quantity, Unit};
use clap::{Args, Subcommand};
use std::io::Write;
use std::path::PathBuf;

/// A subcommand of `asterlatch config`. Doc comments of its fields would be printed by `--help`.
#[allow(missing_docs)]
#[derive(Subcommand)]
pub enum Command {
    /// Say all that is wrong with a file: 0 where nothing is, 1 otherwise
    Check {
        file: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Write a file in its one form; with --check only say whether it is
    Format {
        file: String,
        /// Change nothing; 1 where something would change
        #[arg(long)]
        check: bool,
    },
    /// Say what changes in meaning: 0 nothing, 1 something, 2 where one can't be read
    Diff {
        old: String,
        new: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Print the whole meaning as JSON, defaults included
    Show {
        file: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Print everything that may be set, as Markdown
    Reference,
    /// Print the stored generations of a folder, the newest first
    History { folder: PathBuf },
    /// Store an earlier generation as the newest one, for the next start without a valid file
    Rollback {
        folder: PathBuf,
        /// How many changes to go back by
        #[arg(default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..))]
        steps: u16,
    },
}

/// The machine that settings are held against.
#[derive(Args)]
pub struct MachineArguments {
    /// Memory of the process, such as 192MiB
    #[arg(long, value_parser = parse_memory)]
    memory: Option<i64>,
    /// Descriptors of the process
    #[arg(long, value_parser = clap::value_parser!(i64).range(1..))]
    descriptors: Option<i64>,
}

/// The error is what `clap` prints.
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

/// What a command prints, standard error first, and its exit code.
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

/// Carries a command out, prints its output, and returns its exit code.
pub fn run(command: &Command) -> u8 {
    let output = execute(command);
    // Output that nobody reads is no failure of the command.
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
