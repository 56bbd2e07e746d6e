//! Builds and configures a preloaded library that makes network calls of a process fail in ways that their
//! manual pages allow, and steps its wall clock. The library is built with the C compiler `cc` when a test
//! needs it.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shims/system_faults.c");

/// Faults that the library injects into a process.
#[derive(Clone, Copy, Debug)]
pub struct SystemFaults {
    /// How many of a thousand network calls fail, on average.
    pub per_mille: u32,
    /// Seed of the random numbers that choose the failing calls and the clock steps.
    pub seed: u64,
    /// Whether the wall clock steps at random, to offsets of 5 s to about an hour ahead of or behind the real
    /// time, and back.
    pub steps_clock: bool,
}

/// The compiled library.
#[derive(Clone, Debug)]
pub struct Shim {
    library: PathBuf,
}

impl Shim {
    /// Compiles the library in an existing directory. Returns an error if the directory cannot be written to
    /// or the compiler fails.
    pub fn build(directory: &Path) -> io::Result<Self> {
        let source = directory.join("system_faults.c");
        let library = directory.join("system_faults.so");
        std::fs::write(&source, SOURCE)?;
        let status = Command::new("cc")
            .args(["-Wall", "-Wextra", "-O1", "-shared", "-fPIC", "-o"])
            .arg(&library)
            .arg(&source)
            .arg("-ldl")
            .status()?;
        if status.success() {
            Ok(Self { library })
        } else {
            Err(io::Error::other(format!("the C compiler failed to build system_faults.c: {status}")))
        }
    }

    /// Returns the environment variables with which a process loads the library and gets these faults.
    pub fn environment(&self, faults: SystemFaults) -> Vec<(&'static str, OsString)> {
        vec![
            ("LD_PRELOAD", self.library.clone().into_os_string()),
            ("SYSTEM_FAULTS_PER_MILLE", faults.per_mille.to_string().into()),
            ("SYSTEM_FAULTS_SEED", faults.seed.to_string().into()),
            ("SYSTEM_FAULTS_CLOCK_STEPS", u8::from(faults.steps_clock).to_string().into()),
        ]
    }
}
