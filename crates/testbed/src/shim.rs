//! A library that makes system calls of a process fail in ways that their documentation allows. It is built
//! with the system's C compiler when it is needed.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shims/system_faults.c");

/// Which system calls of a process fail.
#[derive(Clone, Copy, Debug)]
pub struct SystemFaults {
    /// How many of a thousand calls fail.
    pub per_mille: u32,
    /// The seed that chooses the calls.
    pub seed: u64,
    /// The wall clock is stepped now and then, by seconds or an hour.
    pub steps_clock: bool,
}

/// The built library.
#[derive(Clone, Debug)]
pub struct Shim {
    library: PathBuf,
}

impl Shim {
    /// Builds the library in a folder. Fails if the folder cannot be written or the compiler fails.
    pub fn build(folder: &Path) -> io::Result<Self> {
        let source = folder.join("system_faults.c");
        let library = folder.join("system_faults.so");
        std::fs::write(&source, SOURCE)?;
        let status = Command::new("cc")
            .args(["-Wall", "-Wextra", "-O1", "-shared", "-fPIC", "-o"])
            .arg(&library)
            .arg(&source)
            .arg("-ldl")
            .status()?;
        if status.success() { Ok(Self { library }) } else { Err(io::Error::other(format!("cc: {status}"))) }
    }

    /// Returns the environment variables that load the library into a process, with these faults.
    pub fn environment(&self, faults: SystemFaults) -> Vec<(&'static str, OsString)> {
        vec![
            ("LD_PRELOAD", self.library.clone().into_os_string()),
            ("SYSTEM_FAULTS_PER_MILLE", faults.per_mille.to_string().into()),
            ("SYSTEM_FAULTS_SEED", faults.seed.to_string().into()),
            ("SYSTEM_FAULTS_CLOCK_STEPS", u8::from(faults.steps_clock).to_string().into()),
        ]
    }
}
