//! Speaks the bench's wire on standard input and output and hosts one driver per instance.

mod host;
mod wire;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn serve() -> Result<(), wire::Fault> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    while let Some(batch) = wire::read_batch(&mut input)? {
        let frame = host.answer(&batch)?;
        output
            .write_all(&frame)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("asterlatch-simhost: {fault}");
            ExitCode::FAILURE
        }
    }
}
