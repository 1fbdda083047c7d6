//! `asterlatch-testbed`: test bed on one machine.

fn main() -> std::process::ExitCode {
    asterlatch_testbed::cli::main(env!("CARGO_BIN_NAME"))
}
