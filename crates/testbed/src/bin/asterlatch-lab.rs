//! `asterlatch-lab`: alias of `asterlatch-testbed` for scripts that call it by its previous name.

fn main() -> std::process::ExitCode {
    asterlatch_testbed::cli::main(env!("CARGO_BIN_NAME"))
}
