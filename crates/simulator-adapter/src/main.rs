//! `simulator-adapter` runs many [`balancer_core::Balancer`]s in one process and connects them to the
//! simulator, whose wire format it reads from standard input and writes to standard output.
//!
//! An *instance* is one simulated balancer, which the simulator identifies by a number. The simulator sends
//! batches of event records, and the adapter answers each batch with one reply of action records.
//!
//! The adapter only translates between the wire format and `balancer_core`, which makes all decisions.
//! Malformed input ends the process with one line on standard error and exit code 1. The replies to earlier
//! batches have been written by then; no part of the reply to the malformed batch is written.

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
use crate::host::InstanceHost;
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

/// Reads batches and writes one reply to each, until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut frames = FrameReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = InstanceHost::default();
    let mut reply = Reply::default();
    while let Some(frame) = frames.next_frame()? {
        let batch = decode::decode_batch(frame)?;
        for record in batch.records {
            host.apply(batch.clock, record)?;
        }
        reply.clear();
        for instance_action in host.drain_actions() {
            reply.push(instance_action.instance, &instance_action.action);
        }
        output.write_all(reply.finish())?;
        output.flush()?;
    }
    Ok(())
}
