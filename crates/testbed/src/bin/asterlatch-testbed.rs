//! `asterlatch-testbed`: experiments on one machine.

fn main() -> std::process::ExitCode {
    asterlatch_testbed::program::main(env!("CARGO_BIN_NAME"))
}
