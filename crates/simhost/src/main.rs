//! `asterlatch-simhost`: hosts the simulator's drivers, speaking its protocol on standard input and output.

mod decode;
mod error;
mod host;
mod wire;

use error::HostError;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn serve() -> Result<(), HostError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    while let Some(frame) = wire::read_frame(&mut input)? {
        let reply = host.process_frame(&frame)?;
        let result = output.write_all(&reply).and_then(|()| output.flush());
        result.map_err(HostError::WriteReply)?;
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
