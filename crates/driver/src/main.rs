//! The routing service on real sockets: `asterlatch serve`.

use asterlatch_driver::program::config::{self, Config};
use asterlatch_driver::program::serve;
use clap::{Parser, Subcommand};
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

#[derive(Subcommand)]
enum Command {
    /// Serve clients until told to leave (SIGTERM); SIGUSR1 prints the counters, SIGHUP reads the configuration again
    Serve {
        /// The configuration, a JSON file
        #[arg(long, env = "RELAY_CONFIG")]
        config: String,
    },
    /// Read the configuration and say whether it could be served, without serving
    Check {
        /// The configuration, a JSON file
        #[arg(long, env = "RELAY_CONFIG")]
        config: String,
    },
    /// Print the version
    Version,
}

fn load(path: &str) -> Result<Config, String> {
    config::load(path, |variable| std::env::var(variable).ok())
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Serve { config } => load(&config).and_then(|c| serve::serve(c, || load(&config))),
        Command::Check { config } => load(&config).and_then(|c| serve::check(&c)),
        Command::Version => {
            println!("asterlatch {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("asterlatch: {fault}");
            ExitCode::FAILURE
        }
    }
}
