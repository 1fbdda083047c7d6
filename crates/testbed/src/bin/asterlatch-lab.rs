//! `asterlatch-lab`: former name of `asterlatch-testbed`, kept for scripts that call it.

fn main() -> std::process::ExitCode {
    asterlatch_testbed::cli::main(env!("CARGO_BIN_NAME"))
}
