//! Command line of the routing service.

use asterlatch_driver::program::config::{self, Config, ConfigError};
use asterlatch_driver::program::log::{self, Format};
use asterlatch_driver::program::{commands, control_socket, gossip, operators, recover, serve};
use clap::{Args, Parser, Subcommand};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "asterlatch",
    version,
    about = "Routes client statements to the members of a replicated store"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// The operators' file, and the handling of an invalid one.
#[derive(Args)]
struct OperatorsArguments {
    /// Path of the operators' file
    #[arg(long, env = "ASTERLATCH_OPERATORS")]
    operators: Option<String>,
    /// Folder that stores the generations of its settings
    #[arg(long, env = "ASTERLATCH_STATE", requires = "operators")]
    state: Option<PathBuf>,
    /// Fail if the file is invalid, instead of starting with the newest stored generation
    #[arg(long)]
    strict: bool,
}

impl From<OperatorsArguments> for operators::OperatorsOptions {
    fn from(arguments: OperatorsArguments) -> operators::OperatorsOptions {
        operators::OperatorsOptions {
            file: arguments.operators,
            state_folder: arguments.state,
            strict: arguments.strict,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM or SIGINT; SIGUSR1 logs the counters, SIGHUP reloads the configuration
    Serve {
        /// Path of the configuration file, in JSON
        #[arg(long, env = "RELAY_CONFIG")]
        config: String,
        #[command(flatten)]
        operators: OperatorsArguments,
        /// Path of the control socket, for `upgrade` and `fleet`; SIGUSR2 upgrades to the same program
        #[arg(long, env = "ASTERLATCH_CONTROL")]
        control: Option<PathBuf>,
        /// Format of log lines
        #[arg(long, value_enum, default_value_t, env = "ASTERLATCH_LOG_FORMAT")]
        log_format: Format,
    },
    /// Check whether the configuration can be served, without serving it
    Check {
        /// Path of the configuration file, in JSON
        #[arg(long, env = "RELAY_CONFIG")]
        config: String,
        /// Path of the operators' file
        #[arg(long, env = "ASTERLATCH_OPERATORS")]
        operators: Option<String>,
    },
    /// Check, format, compare and show operators' files; list and roll back stored generations
    #[command(subcommand)]
    Config(commands::Command),
    /// Hand a running service over to a new process; exits with 0 once that has passed its probation, and
    /// with 1 if the old process continues to serve
    Upgrade {
        /// Control socket of the running service
        #[arg(long, env = "ASTERLATCH_CONTROL")]
        control: PathBuf,
        /// Executable of the new process
        #[arg(long)]
        to: PathBuf,
    },
    /// Show the drivers of the fleet and the records that a running service shares with them
    Fleet {
        #[arg(value_enum)]
        what: gossip::QueryKind,
        /// Control socket of the running service
        #[arg(long, env = "ASTERLATCH_CONTROL")]
        control: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Show which records of a driver's stored snapshot its next start would use, and why; changes nothing
    Recover {
        /// The folder given to `serve --state`
        folder: PathBuf,
        /// Name of the driver; by default the one that the snapshot names
        #[arg(long)]
        name: Option<String>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Print the version
    Version,
}

fn load_config(path: &str) -> Result<Config, ConfigError> {
    config::load(path, |variable| std::env::var(variable).ok())
}

/// Exit code of a command whose answer from a running service has been printed.
fn exit_code(succeeded: bool) -> ExitCode {
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Serve {
            config,
            operators,
            control,
            log_format,
        } => {
            log::start(log_format);
            let load = || load_config(&config);
            serve::serve(load()?, load, &operators.into(), control.as_deref())?;
        }
        Command::Check { config, operators } => {
            serve::check(&load_config(&config)?, operators.as_deref())?;
        }
        Command::Config(command) => return Ok(ExitCode::from(commands::run(&command))),
        Command::Upgrade { control, to } => {
            return Ok(exit_code(control_socket::request_upgrade(&control, &to)?));
        }
        Command::Fleet { what, control, json } => {
            return Ok(exit_code(gossip::query_service(&control, what, json)?));
        }
        Command::Recover { folder, name, json } => recover::run(&folder, name.as_deref(), json)?,
        Command::Version => println!("asterlatch {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run(Arguments::parse().command).unwrap_or_else(|error| {
        eprintln!("asterlatch: {error}");
        ExitCode::FAILURE
    })
}
