//! `asterlatch-simhost`: speaks the simulator's wire on standard input and output and hosts one driver per instance.

mod decode;
mod error;
mod host;
mod wire;

use error::HostError;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

const INPUT_BUFFER: usize = 1 << 16;

fn serve() -> Result<(), HostError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    while let Some(batch) = wire::read_batch(&mut input)? {
        let frame = host.answer(&batch)?;
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(HostError::WriteReply)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("asterlatch-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
