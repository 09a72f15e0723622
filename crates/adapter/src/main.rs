//! Connects an external simulator to admission control over standard input and output: decodes events into inputs of
//! the admission controller of their instance, and encodes the actions that it returns. One line is one batch. No
//! decisions are made here.

mod decode;
mod encode;
mod error;
mod instances;

use error::AdapterError;
use instances::Instances;
use std::io::{self, BufRead, Write};

fn run() -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut output = io::BufWriter::new(io::stdout().lock());
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let line = line.map_err(AdapterError::Input)?;
        let reply = instances
            .handle_batch(&line)
            .map_err(|error| AdapterError::AtLine {
                line: index + 1,
                source: Box::new(error),
            })?;
        serde_json::to_writer(&mut output, &reply)
            .map_err(|error| AdapterError::Output(error.into()))?;
        writeln!(output)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}

fn main() {
    if let Err(error) = run() {
        eprintln!("cottondyke-adapter: {error}");
        std::process::exit(1);
    }
}
