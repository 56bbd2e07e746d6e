//! The proxy under test as a process.

use super::log_text::LISTEN_FIELD;
use super::{Client, wait_until};
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// A running proxy; killed when it is dropped.
pub struct ProxyProcess {
    child: Child,
    config_path: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    /// Ends with the log.
    log_reader: Option<JoinHandle<()>>,
}

impl ProxyProcess {
    /// Starts a proxy with this configuration. The system limits its open files to the number of its sockets,
    /// too, so that going over the limit fails.
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
        let collected = Arc::clone(&log);
        let stderr = child.stderr.take().expect("a piped stderr");
        let log_reader = Some(std::thread::spawn(move || collect_lines(stderr, &collected)));
        Self { child, config_path, log, log_reader }
    }

    /// Whether clients can connect.
    pub fn is_listening(&self) -> bool {
        self.listen_address().is_some()
    }

    /// Where it listens, by its log.
    fn listen_address(&self) -> Option<SocketAddr> {
        let log = self.log.lock().unwrap();
        let after_name = log.iter().find_map(|line| line.split(LISTEN_FIELD).nth(1))?;
        after_name.split(' ').next()?.parse().ok()
    }

    /// Connects a client.
    pub fn connect(&self) -> Client {
        Client::connect(self.listen_address().expect("the proxy listens"))
    }

    /// Connects a client; fails if the process does not listen any more.
    pub fn try_connect(&self) -> io::Result<Client> {
        Client::try_connect(self.listen_address().ok_or(io::ErrorKind::NotConnected)?)
    }

    /// The lines of its log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Whether a line of its log contains this text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
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

    /// Waits until the process ends by itself.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the proxy ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.expect("the proxy has ended")
    }

    /// Waits until the process has ended by itself and its log is complete.
    pub fn wait_for_complete_log(&mut self) -> ExitStatus {
        let status = self.wait();
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("a log can be read");
        }
        status
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // What is left in the folder for temporary files does no harm.
        let _ = std::fs::remove_file(&self.config_path);
    }
}

fn unique_config_path() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("balancer-proxy-{}-{number}.json", std::process::id()))
}

/// Collects the lines of a log. It has to be read all the time, or the process would block on a full pipe.
fn collect_lines(log: impl Read, lines: &Mutex<Vec<String>>) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        lines.lock().unwrap().push(line);
    }
}
