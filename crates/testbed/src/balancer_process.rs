//! Starts, signals and kills a balancer process, and collects its log.

use serde_json::json;
use std::ffi::OsString;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a process may take from its start until it serves.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the log of a starting process is checked.
const START_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Seed of balancer 0. Each further balancer has the next higher seed.
const FIRST_SEED: u64 = 0x8c1f_30d2;
/// Log field with the address on which the process serves.
const LISTEN_FIELD: &str = "listen=";

/// Options with which a process is started.
pub struct ProcessOptions<'a> {
    /// Path of the executable of the balancer.
    pub program: &'a Path,
    /// Index of this balancer, from 0 to `balancers` - 1.
    pub index: usize,
    /// Number of balancers in the settings, including this one.
    pub balancers: usize,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Endpoint list with which the process starts, in the JSON form of discovery.
    pub cached_endpoints: &'a str,
    /// Existing directory for the configuration file.
    pub directory: &'a Path,
    /// Variables that are added to the environment of the process.
    pub environment: &'a [(&'static str, OsString)],
    /// Request classes in the form of the settings; `None` stands for a single idempotent class.
    pub classes: Option<serde_json::Value>,
    /// Log level of the process: the value of `NODE_LOG`.
    pub log_level: &'static str,
}

impl ProcessOptions<'_> {
    fn configuration_path(&self) -> PathBuf {
        self.directory.join(format!("balancer-{}.json", self.index))
    }

    /// Returns the configuration file in the form that the platform writes. Returns an error if the cached
    /// endpoints are not JSON.
    fn configuration(&self) -> io::Result<String> {
        let default_classes =
            || json!([{"name": "look", "aim_ms": 2000, "hard_limit_ms": 4000, "effect": "idempotent"}]);
        let cached_endpoints: serde_json::Value = serde_json::from_str(self.cached_endpoints)?;
        let configuration = json!({
            "name": format!("n{}", self.index),
            "listen": "127.0.0.1:0",
            "discovery": self.discovery,
            "seed": format!("{:016x}", FIRST_SEED + self.index as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": cached_endpoints,
            "settings": {
                "balancers": self.balancers, "me": self.index, "discovery": "automatic",
                "classes": self.classes.clone().unwrap_or_else(default_classes),
                "failure_domains": ["a"], "skus": ["m"], "locality": 0,
                "limits": {"conn_idle_ms": 5000, "connect_timeout_ms": 500, "try_limit": 4},
                "parties": [{"name": "acme", "allowance_per_s": 100_000.0}],
            },
        });
        Ok(configuration.to_string())
    }
}

/// A signal that can be sent to a balancer process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM, which makes the process shut down.
    Terminate,
    /// SIGHUP, which makes the process reload its configuration.
    Hangup,
    /// SIGSTOP, which pauses the process.
    Stop,
    /// SIGCONT, which resumes the process.
    Continue,
}

impl Signal {
    /// Returns the name of the signal for `kill -s`.
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Hangup => "HUP",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// The process exited with status 0.
    Succeeded,
    /// The process exited with another status, or a signal ended it before it was killed.
    Failed,
    /// The process was still running and was killed.
    Killed,
}

/// A balancer process, which is killed when the value is dropped.
pub struct BalancerProcess {
    child: Child,
    discovery: SocketAddr,
    configuration_path: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    /// Thread that collects the log; it ends with the log.
    log_reader: Option<JoinHandle<()>>,
    started_at: Instant,
}

impl BalancerProcess {
    /// Starts a process. Returns an error if its configuration file cannot be written or the program cannot
    /// be run.
    pub fn start(options: &ProcessOptions<'_>) -> io::Result<Self> {
        let configuration_path = options.configuration_path();
        std::fs::write(&configuration_path, options.configuration()?)?;
        let started_at = Instant::now();
        let mut child = Command::new(options.program)
            .env("NODE_CONFIG", &configuration_path)
            .env("NODE_LOG", options.log_level)
            .envs(options.environment.iter().cloned())
            .stderr(Stdio::piped())
            .spawn()?;
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let log_reader = child.stderr.take().map(|stderr| {
            let log = Arc::clone(&log);
            thread::spawn(move || collect_lines(stderr, &log))
        });
        Ok(Self { child, discovery: options.discovery, configuration_path, log, log_reader, started_at })
    }

    /// Returns when the process was started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Waits until the process serves and returns its address. Returns an error if the process ends, or does
    /// not serve within 20 s of its start.
    pub fn wait_until_serving(&mut self) -> io::Result<SocketAddr> {
        loop {
            let log = self.log();
            if let Some(address) = log.iter().find_map(|line| listen_address(line)) {
                return Ok(address);
            }
            if self.child.try_wait()?.is_some() || self.started_at.elapsed() > START_TIMEOUT {
                return Err(io::Error::other(format!(
                    "the balancer process ended or did not begin to serve in time; its log: {log:?}"
                )));
            }
            thread::sleep(START_POLL_INTERVAL);
        }
    }

    /// Sends a signal to the process. Returns an error if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let process_id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal.name(), &process_id]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("sending signal {signal:?} to the balancer process failed")))
        }
    }

    /// Moves the process to another discovery agent: replaces the address in the configuration file and makes
    /// the process reload it.
    pub fn move_discovery(&mut self, address: SocketAddr) -> io::Result<()> {
        let old = std::fs::read_to_string(&self.configuration_path)?;
        let new = old.replacen(&self.discovery.to_string(), &address.to_string(), 1);
        let new_path = self.configuration_path.with_extension("new");
        std::fs::write(&new_path, new)?;
        std::fs::rename(&new_path, &self.configuration_path)?;
        self.discovery = address;
        self.signal(Signal::Hangup)
    }

    /// Returns the log lines that the process has written so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Kills the process if it is still running. Returns how it ended.
    pub fn kill_and_wait(&mut self) -> io::Result<ProcessEnd> {
        if let Some(status) = self.child.try_wait()? {
            return Ok(if status.success() { ProcessEnd::Succeeded } else { ProcessEnd::Failed });
        }
        self.child.kill()?;
        self.child.wait()?;
        Ok(ProcessEnd::Killed)
    }

    /// Waits until the process has closed its log, which it does when it ends, and returns the complete log.
    pub fn complete_log(&mut self) -> Vec<String> {
        if let Some(reader) = self.log_reader.take() {
            // If the reader has panicked, the lines that it has read are returned.
            let _ = reader.join();
        }
        self.log()
    }

    /// Kills the process. Returns whether it was still running before.
    pub fn kill(&mut self) -> io::Result<bool> {
        let was_running = self.child.try_wait()?.is_none();
        self.child.kill()?;
        self.child.wait()?;
        Ok(was_running)
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        // The process may have ended already, and a destructor cannot report an error.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // The directory may have been removed already.
        let _ = std::fs::remove_file(&self.configuration_path);
    }
}

/// Appends each line of the standard error stream to the log, until the stream ends.
fn collect_lines(stderr: impl Read, log: &Mutex<Vec<String>>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        log.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

/// Returns the listen address in a log line, or `None` if the line contains none.
fn listen_address(line: &str) -> Option<SocketAddr> {
    let value = line.split(LISTEN_FIELD).nth(1)?;
    value.split(' ').next()?.parse().ok()
}
