//! A library that fails system calls of a process, in ways that their documentation allows; built with the
//! system's C compiler when it is needed.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shims/system_faults.c");

/// Which system calls of a process fail.
#[derive(Clone, Copy, Debug)]
pub struct SystemFaults {
    /// How many of a thousand.
    pub per_mille: u32,
    /// Which ones.
    pub seed: u64,
}

/// The built library.
#[derive(Clone, Debug)]
pub struct Shim {
    library: PathBuf,
}

impl Shim {
    /// Builds the library in a folder.
    pub fn build(folder: &Path) -> io::Result<Self> {
        let source = folder.join("system_faults.c");
        let library = folder.join("system_faults.so");
        std::fs::write(&source, SOURCE)?;
        let mut compiler = Command::new("cc");
        compiler.args(["-Wall", "-Wextra", "-O1", "-shared", "-fPIC", "-o"]);
        let built = compiler.arg(&library).arg(&source).arg("-ldl").status()?;
        if built.success() { Ok(Self { library }) } else { Err(io::Error::other("cc failed")) }
    }

    /// What a process's environment has to hold for these faults.
    pub fn environment(&self, faults: SystemFaults) -> Vec<(&'static str, OsString)> {
        vec![
            ("LD_PRELOAD", self.library.clone().into_os_string()),
            ("SYSTEM_FAULTS_PER_MILLE", faults.per_mille.to_string().into()),
            ("SYSTEM_FAULTS_SEED", faults.seed.to_string().into()),
        ]
    }
}
