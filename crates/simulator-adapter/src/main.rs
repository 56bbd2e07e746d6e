//! `simulator-adapter`: hosts many [`balancer_core::Balancer`]s and speaks the simulator's wire format on
//! standard input and output.
//!
//! It only translates; every decision is the library's. Malformed input ends the process with one line on
//! standard error and exit code 1. No part of the reply to that batch is written; earlier replies stand.

mod codes;
mod decode;
mod encode;
mod error;
mod frame;
mod host;
mod reader;
mod record;

use crate::encode::Reply;
use crate::error::AdapterError;
use crate::frame::FrameReader;
use crate::host::Host;
use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut frames = FrameReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut reply = Reply::default();
    while let Some(frame) = frames.next_frame()? {
        let batch = decode::decode_batch(frame)?;
        for record in batch.records {
            host.apply(batch.clock, record)?;
        }
        reply.clear();
        for pending in host.drain_actions() {
            reply.push(pending.instance, &pending.action);
        }
        output.write_all(reply.finish())?;
        output.flush()?;
    }
    Ok(())
}
