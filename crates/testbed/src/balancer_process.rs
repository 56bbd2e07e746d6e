//! A process of the balancer.

use serde_json::json;
use std::ffi::OsString;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks at the log of a process that starts.
const START_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The seed of the first balancer; the others count up from it.
const FIRST_SEED: u64 = 0x8c1f_30d2;
/// The log field that holds the address on which a process serves.
const LISTEN_FIELD: &str = "listen=";

/// What a process is started with.
pub struct ProcessOptions<'a> {
    /// The program.
    pub program: &'a Path,
    /// The index of this balancer.
    pub index: usize,
    /// How many balancers there are.
    pub balancers: usize,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The endpoint list known from before, in discovery's form.
    pub cached_endpoints: &'a str,
    /// The folder for its configuration file.
    pub folder: &'a Path,
    /// Variables that are added to its environment.
    pub environment: &'a [(&'static str, OsString)],
    /// The request classes, in the form of the settings; `None` for one idempotent class.
    pub classes: Option<serde_json::Value>,
    /// What the process logs.
    pub log_level: &'static str,
}

impl ProcessOptions<'_> {
    fn configuration_path(&self) -> PathBuf {
        self.folder.join(format!("balancer-{}.json", self.index))
    }

    /// Renders the configuration file, in the platform's form. Fails if the cached endpoints are not JSON.
    fn configuration(&self) -> io::Result<String> {
        let one_class =
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
                "classes": self.classes.clone().unwrap_or_else(one_class),
                "failure_domains": ["a"], "skus": ["m"], "locality": 0,
                "limits": {"conn_idle_ms": 5000, "connect_timeout_ms": 500, "try_limit": 4},
                "parties": [{"name": "acme", "allowance_per_s": 100_000.0}],
            },
        });
        Ok(configuration.to_string())
    }
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Shut down.
    Terminate,
    /// Reload the configuration.
    Hangup,
    /// Pause.
    Stop,
    /// Resume.
    Continue,
}

impl Signal {
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
    /// By itself, with success.
    Succeeded,
    /// By itself, with an error or a signal.
    Failed,
    /// It was killed.
    Killed,
}

/// A running process; killed when dropped.
pub struct BalancerProcess {
    child: Child,
    discovery: SocketAddr,
    configuration_path: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    /// Ends with the log.
    log_reader: Option<JoinHandle<()>>,
    started_at: Instant,
}

impl BalancerProcess {
    /// Starts a process. Fails if its configuration cannot be written or the program cannot be run.
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

    /// Waits until the process serves and returns its address. Fails if it ends or is not ready in 20 s.
    pub fn wait_until_serving(&mut self) -> io::Result<SocketAddr> {
        loop {
            let log = self.log();
            if let Some(address) = log.iter().find_map(|line| listen_address(line)) {
                return Ok(address);
            }
            if self.child.try_wait()?.is_some() || self.started_at.elapsed() > START_TIMEOUT {
                return Err(io::Error::other(format!("the balancer does not serve: {log:?}")));
            }
            thread::sleep(START_POLL_INTERVAL);
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let process_id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal.name(), &process_id]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other(format!("{signal:?} was not sent"))) }
    }

    /// Moves its discovery to another agent: changes the address in the configuration and has it reloaded.
    pub fn move_discovery(&mut self, address: SocketAddr) -> io::Result<()> {
        let old = std::fs::read_to_string(&self.configuration_path)?;
        let new = old.replacen(&self.discovery.to_string(), &address.to_string(), 1);
        let new_path = self.configuration_path.with_extension("new");
        std::fs::write(&new_path, new)?;
        std::fs::rename(&new_path, &self.configuration_path)?;
        self.discovery = address;
        self.signal(Signal::Hangup)
    }

    /// Returns its log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Kills the process, unless it has ended by itself. Returns how it ended.
    pub fn kill_and_wait(&mut self) -> io::Result<ProcessEnd> {
        if let Some(status) = self.child.try_wait()? {
            return Ok(if status.success() { ProcessEnd::Succeeded } else { ProcessEnd::Failed });
        }
        self.child.kill()?;
        self.child.wait()?;
        Ok(ProcessEnd::Killed)
    }

    /// Waits for the end of the log, which comes with the end of the process, and returns it.
    pub fn complete_log(&mut self) -> Vec<String> {
        if let Some(reader) = self.log_reader.take() {
            // A reader that has failed leaves what it has read.
            let _ = reader.join();
        }
        self.log()
    }

    /// Kills the process. Returns whether it was still running.
    pub fn kill(&mut self) -> io::Result<bool> {
        let was_running = self.child.try_wait()?.is_none();
        self.child.kill()?;
        self.child.wait()?;
        Ok(was_running)
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        // The process may have ended by itself or been killed before, and nobody is left to handle an error.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // The folder may have been removed already.
        let _ = std::fs::remove_file(&self.configuration_path);
    }
}

fn collect_lines(stderr: impl Read, log: &Mutex<Vec<String>>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        log.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

/// Returns the address that a log line states, if it is that of a process that has begun to serve.
fn listen_address(line: &str) -> Option<SocketAddr> {
    let value = line.split(LISTEN_FIELD).nth(1)?;
    value.split(' ').next()?.parse().ok()
}
