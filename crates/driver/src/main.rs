//! The routing service on real sockets: `asterlatch serve`.

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
    about = "Routes statements over the members of a replicated store"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// The operators' file, and what a faulty one leads to.
#[derive(Args)]
struct OperatorsArguments {
    /// The operators' file
    #[arg(long, env = "ASTERLATCH_OPERATORS")]
    operators: Option<String>,
    /// A folder for former generations of its meaning
    #[arg(long, env = "ASTERLATCH_STATE", requires = "operators")]
    state: Option<PathBuf>,
    /// Don't start on a former generation where the file is faulty
    #[arg(long)]
    strict: bool,
}

impl From<OperatorsArguments> for operators::Given {
    fn from(arguments: OperatorsArguments) -> operators::Given {
        operators::Given {
            file: arguments.operators,
            state: arguments.state,
            strict: arguments.strict,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until told to leave (SIGTERM); SIGUSR1 prints the counters, SIGHUP reads the configuration again
    Serve {
        /// The configuration, a JSON file
        #[arg(long, env = "RELAY_CONFIG")]
        config: String,
        #[command(flatten)]
        operators: OperatorsArguments,
        /// A Unix socket to ask for upgrades at; SIGUSR2 asks for one to the same program
        #[arg(long, env = "ASTERLATCH_CONTROL")]
        control: Option<PathBuf>,
        /// How lines of the log are written
        #[arg(long, value_enum, default_value_t, env = "ASTERLATCH_LOG_FORMAT")]
        log_format: Format,
    },
    /// Read the configuration and say whether it could be served, without serving
    Check {
        /// The configuration, a JSON file
        #[arg(long, env = "RELAY_CONFIG")]
        config: String,
        /// The operators' file
        #[arg(long, env = "ASTERLATCH_OPERATORS")]
        operators: Option<String>,
    },
    /// Check, format, compare and show operators' files; go back to former ones
    #[command(subcommand)]
    Config(commands::Command),
    /// Have a new process take a running service over: 0 once it is proven, 1 where the former one serves on
    Upgrade {
        /// The running service's socket
        #[arg(long, env = "ASTERLATCH_CONTROL")]
        control: PathBuf,
        /// The program to start
        #[arg(long)]
        to: PathBuf,
    },
    /// Show what a running service shares with other drivers, and who of them is there
    Fleet {
        #[arg(value_enum)]
        what: gossip::QueryKind,
        /// The running service's socket
        #[arg(long, env = "ASTERLATCH_CONTROL")]
        control: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Read what a driver has kept, and say what its next start would trust of that, and why; nothing is changed
    Recover {
        /// The folder that `serve --state` was given
        folder: PathBuf,
        /// Of this driver; else of whom the copy says it is
        #[arg(long)]
        name: Option<String>,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Print the version
    Version,
}

fn load_config(path: &str) -> Result<Config, ConfigError> {
    config::load(path, |variable| std::env::var(variable).ok())
}

/// Exit code of a command that asked a running service, which has answered already.
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
