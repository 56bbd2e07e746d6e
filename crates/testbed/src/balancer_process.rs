//! A process of the balancer.

use serde_json::json;
use std::ffi::OsString;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long a start may take.
const START_MOST: Duration = Duration::from_secs(20);

/// What a process is started with.
pub struct Setup<'a> {
    /// The program.
    pub program: &'a Path,
    /// Its number among the balancers, and how many there are.
    pub index: usize,
    /// How many balancers there are.
    pub balancers: usize,
    /// Where discovery's agent is.
    pub discovery: SocketAddr,
    /// The list known from before, in discovery's form.
    pub known: &'a str,
    /// Where its configuration is written.
    pub folder: &'a Path,
    /// What its environment holds besides.
    pub environment: &'a [(&'static str, OsString)],
}

/// A signal to a process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Read the configuration anew.
    Hangup,
    /// Stand still.
    Stop,
    /// Go on.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Hangup => "HUP",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// A running process; killed when dropped.
pub struct Balancer {
    child: Child,
    discovery: SocketAddr,
    configuration: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    started: Instant,
}

impl Balancer {
    /// Starts one.
    pub fn start(setup: &Setup<'_>) -> io::Result<Self> {
        let known: serde_json::Value = serde_json::from_str(setup.known)?;
        let configuration = setup.folder.join(format!("balancer-{}.json", setup.index));
        let text = json!({
            "name": format!("n{}", setup.index),
            "listen": "127.0.0.1:0",
            "discovery": setup.discovery,
            "seed": format!("{:016x}", 0x8c1f_30d2_u64 + setup.index as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": {
                "balancers": setup.balancers, "me": setup.index, "discovery": "automatic",
                "classes": [{"name": "look", "aim_ms": 2000, "hard_limit_ms": 4000, "effect": "idempotent"}],
                "failure_domains": ["a"], "skus": ["m"], "locality": 0,
                "limits": {"conn_idle_ms": 5000, "connect_timeout_ms": 500, "try_limit": 4},
                "parties": [{"name": "acme", "allowance_per_s": 100_000.0}],
            },
        });
        std::fs::write(&configuration, text.to_string())?;
        let started = Instant::now();
        let mut child = Command::new(setup.program)
            .env("NODE_CONFIG", &configuration)
            .env("NODE_LOG", "info")
            .envs(setup.environment.iter().cloned())
            .stderr(Stdio::piped())
            .spawn()?;
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        if let Some(stderr) = child.stderr.take() {
            let log = Arc::clone(&log);
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    log.lock().unwrap_or_else(PoisonError::into_inner).push(line);
                }
            });
        }
        Ok(Self { child, discovery: setup.discovery, configuration, log, started })
    }

    /// When it was started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Waits until it serves, and says where.
    pub fn address(&mut self) -> io::Result<SocketAddr> {
        loop {
            let log = self.log();
            let listen = log.iter().find_map(|line| line.split("listen=").nth(1));
            if let Some(address) = listen.and_then(|rest| rest.split(' ').next()?.parse().ok()) {
                return Ok(address);
            }
            if self.child.try_wait()?.is_some() || self.started.elapsed() > START_MOST {
                return Err(io::Error::other(format!("it does not serve: {log:?}")));
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let process = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal.name(), &process]).status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other(format!("{signal:?} was not sent"))) }
    }

    /// Moves its discovery: another address in the configuration, and a signal.
    pub fn move_discovery(&mut self, to: SocketAddr) -> io::Result<()> {
        let text = std::fs::read_to_string(&self.configuration)?;
        let moved = text.replacen(&self.discovery.to_string(), &to.to_string(), 1);
        let new = self.configuration.with_extension("new");
        std::fs::write(&new, moved)?;
        std::fs::rename(&new, &self.configuration)?;
        self.discovery = to;
        self.signal(Signal::Hangup)
    }

    /// Its log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Kills it; whether it was still running.
    pub fn kill(&mut self) -> io::Result<bool> {
        let ran = self.child.try_wait()?.is_none();
        self.child.kill()?;
        self.child.wait()?;
        Ok(ran)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration);
    }
}
