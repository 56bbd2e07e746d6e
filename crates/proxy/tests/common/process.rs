//! The process of the proxy under test.

use super::log_text::LISTEN_FIELD;
use super::{Client, wait_until};
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// A process of the proxy. Dropping it kills the process.
pub struct ProxyProcess {
    child: Child,
    config_path: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    /// The thread that collects the log. It ends when the process closes its standard error.
    log_reader: Option<JoinHandle<()>>,
}

impl ProxyProcess {
    /// Starts a proxy with this configuration. The limit of the operating system on its open files is set to
    /// `sockets`, so that a proxy that opens more of them gets an error.
    pub fn launch(config: &str, sockets: usize) -> Self {
        let config_path = unique_config_path();
        std::fs::write(&config_path, config).unwrap();
        let mut child = Command::new("sh")
            .args([
                "-c",
                "ulimit -n $0 && exec $1",
                &sockets.to_string(),
                env!("CARGO_BIN_EXE_balancer-proxy"),
            ])
            .env("NODE_CONFIG", &config_path)
            .env("NODE_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let lines = Arc::clone(&log);
        let stderr = child.stderr.take().expect("standard error is piped");
        let log_reader = Some(std::thread::spawn(move || collect_lines(stderr, &lines)));
        Self { child, config_path, log, log_reader }
    }

    /// Returns whether the log shows that clients can connect.
    pub fn is_listening(&self) -> bool {
        self.listen_address().is_some()
    }

    /// Returns the address at which the proxy listens, read from its log. Returns `None` before it is logged.
    fn listen_address(&self) -> Option<SocketAddr> {
        let log = self.log.lock().unwrap();
        let after_field = log.iter().find_map(|line| line.split(LISTEN_FIELD).nth(1))?;
        after_field.split(' ').next()?.parse().ok()
    }

    /// Connects a client. Panics if the proxy does not listen.
    pub fn connect(&self) -> Client {
        Client::connect(self.listen_address().expect("the proxy listens"))
    }

    /// Connects a client. Returns an error if the proxy does not listen.
    pub fn try_connect(&self) -> io::Result<Client> {
        Client::try_connect(self.listen_address().ok_or(io::ErrorKind::NotConnected)?)
    }

    /// Returns the lines that have been logged so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Returns whether a line that has been logged so far contains this text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration file and sends SIGHUP to the process.
    pub fn reload(&self, config: &str) {
        let replacement = self.config_path.with_extension("new");
        std::fs::write(&replacement, config).unwrap();
        std::fs::rename(&replacement, &self.config_path).unwrap();
        self.signal("HUP");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
    }

    /// Waits until the process ends by itself, and returns its exit status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the proxy has ended", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.expect("the proxy has an exit status")
    }

    /// Waits until the process has ended by itself and its log is complete, and returns its exit status.
    pub fn wait_for_exit_and_log(&mut self) -> ExitStatus {
        let status = self.wait_for_exit();
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("the log can be read");
        }
        status
    }

    /// Returns the largest amount of memory, in KiB, that the process has had resident so far.
    pub fn peak_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak is listed");
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Returns whether the process has not ended yet.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        // Fails if the process has already ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // A configuration that remains among the temporary files does no harm.
        let _ = std::fs::remove_file(&self.config_path);
    }
}

fn unique_config_path() -> PathBuf {
    static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("balancer-proxy-{}-{number}.json", std::process::id()))
}

/// Appends each line of a log to `lines`. The log has to be read continuously, since the process would block
/// on a full pipe.
fn collect_lines(log: impl Read, lines: &Mutex<Vec<String>>) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        lines.lock().unwrap().push(line);
    }
}
