//! Stand-ins for clients, upstreams, discovery and the platform of one balancer, on loopback addresses.
//! They use the standard library only. The cases of this folder share them.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The rule was kept.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Locks a mutex, also after a panic of another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether the disruption is switched on. `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A source of random numbers with a fixed seed (splitmix64).
pub struct Random(AtomicU64);

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let state = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mut z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from `low` up to and without `high`.
    pub fn between(&self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low)
    }
}

struct RecordFile {
    file: Mutex<File>,
    started_at: Instant,
}

static RECORD: OnceLock<RecordFile> = OnceLock::new();

/// Opens the record of a case. Its path is the first argument of the program.
pub fn open_record() {
    let path = std::env::args().nth(1).expect("the first argument is the path of the record");
    let file = Mutex::new(File::create(path).expect("the record can be written"));
    let _ = RECORD.set(RecordFile { file, started_at: Instant::now() });
}

/// Returns the seconds since the record was opened.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |record| record.started_at.elapsed().as_secs_f64())
}

/// Writes a line with the time to the record.
pub fn record(line: impl Display) {
    if let Some(record) = RECORD.get() {
        let _ = writeln!(lock(&record.file), "{:9.4} {line}", now());
    }
}

/// Writes a line to the record and to standard output.
pub fn report(line: impl Display) {
    println!("{line}");
    record(line);
}

/// An HTTP message.
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers with their names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message whose body has a `Content-Length`. Returns an error at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|length: &String| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Message { start: start.trim_end().to_owned(), headers, body })
}

/// What an upstream does with a request. It writes the response itself. The connection is kept if it returns
/// `true`.
pub type Behavior = Arc<dyn Fn(&Message, &Arc<TcpStream>) -> bool + Send + Sync>;

/// An upstream.
pub struct Upstream {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
}

impl Upstream {
    pub fn start(name: &str, zone: &str, behavior: Behavior) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let behavior = Arc::clone(&behavior);
                spawn(move || serve_upstream_connection(stream, &behavior));
            }
        });
        Ok(Self { name: name.to_owned(), zone: zone.to_owned(), address })
    }

    /// Returns the entry of this upstream in the list of discovery.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"uid":"s-{}","endpoint":"{}","az":"{}","model":"std3","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#,
            self.name, self.address, self.zone
        )
    }
}

fn serve_upstream_connection(stream: TcpStream, behavior: &Behavior) {
    let _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let stream = Arc::new(stream);
    while let Ok(request) = read_message(&mut reader) {
        if !behavior(&request, &stream) {
            return;
        }
    }
}

/// Returns a response with a body.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The agent of discovery. It sends the whole list at the start of each watch, and an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    pub list: String,
}

impl Discovery {
    pub fn start(upstreams: &[Upstream]) -> io::Result<Self> {
        let entries: Vec<String> = upstreams.iter().map(|upstream| upstream.entry("Ready")).collect();
        let list = format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries.join(","));
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let sent_list = list.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = sent_list.clone();
                spawn(move || serve_watch(stream, &list));
            }
        });
        Ok(Self { address, list })
    }
}

fn serve_watch(stream: TcpStream, list: &str) -> io::Result<()> {
    read_message(&mut BufReader::new(stream.try_clone()?))?;
    let mut stream = stream;
    stream.set_nodelay(true)?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    stream.write_all(format!("{:x}\r\n{list}\n\r\n", list.len() + 1).as_bytes())?;
    loop {
        sleep(Duration::from_secs(2));
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

/// Settings of a small deployment: the classes, limits and guarantees of `deploy/sites/busan-clinic`, with one
/// balancer.
pub const SETTINGS: &str = r#"{"balancers":1,"me":0,"tier":0,"tiers":["clinic-web"],"locality":0,
"failure_domains":["gasan","pangyo","ilsan"],"skus":["std3","low4"],"discovery":"automatic",
"kind_of_service":"proxy","tick_ms":5.0,"weight_kind":"nominal","worth_by":"request","over_share_worth":0.05,
"clients":{"marks_retry":false},"extra":{"warm_keys":true},
"classes":[
{"name":"chart","aim_ms":800.0,"hard_limit_ms":2200.0,"effect":"idempotent","dedup_scope":"all","key_ttl_ms":5000.0,"worth":3.0,"late_worth":0.0,"streamed":false},
{"name":"visit","aim_ms":900.0,"hard_limit_ms":2500.0,"effect":"deduplicated","dedup_scope":"zone","key_ttl_ms":3000.0,"worth":4.0,"late_worth":0.0,"streamed":false},
{"name":"payment","aim_ms":1500.0,"hard_limit_ms":4000.0,"effect":"at_most_once","dedup_scope":"all","key_ttl_ms":5000.0,"worth":5.0,"late_worth":0.0,"streamed":false}],
"guarantees":{"answer_slack_ms":20.0,"ask_every_ms":10000.0,"cold_from":0.17,"cold_ms":24000.0,"drain_grace_ms":400.0,"fall_multiple":2.0,"overload_for_ms":2000.0},
"limits":{"cancelling":true,"conn_idle_ms":8000.0,"connect_timeout_ms":150.0,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,"max_retry_after_ms":3000.0,"max_streams":1,"may_probe":true,"most_held":20000,"peers":false,"retry_after":true,"second_copies":false,"try_limit":3},
"parties":[{"name":"ward-a","allowance_per_s":140.0,"share":0.7},{"name":"ward-b","allowance_per_s":60.0,"share":0.3}],
"prices":{"connection":0.0,"cross_zone":0.03,"discovery":0.0,"handshake":0.0,"late_fail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.04,"waste":0.1},
"telemetry":{"fields":["load_share","err_ps"],"how":"inline"}}"#;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Sends a signal to a process that the test has started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    unsafe { kill(pid as i32, signal) };
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The processes that the test has started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Makes the system kill the command's process when this one ends, in whatever way it ends.
fn end_with_this_process(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: `prctl` takes integers, and may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
}

/// A balancer that runs as a process of its own.
pub struct Balancer {
    pub address: SocketAddr,
    process: Child,
    folder: PathBuf,
}

impl Balancer {
    /// Starts a balancer with the command `run` of the deploy file and waits until it is ready. The current
    /// folder has to be the root of the repository.
    pub fn start(discovery: &Discovery, memory_mb: u64, sockets: u64) -> io::Result<Self> {
        let address = free_address()?;
        let folder = new_folder()?;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{},"settings":{SETTINGS}}}"#,
            discovery.address, discovery.list
        );
        let config_path = folder.join("config.json");
        let temporary = folder.join("tmp");
        fs::create_dir(&temporary)?;
        fs::write(&config_path, config)?;
        let mut command = Command::new("/bin/sh");
        end_with_this_process(&mut command);
        let process = command
            .arg("-c")
            .arg(run_command()?)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.address.to_string())
            .env("NODE_CONFIG", &config_path)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(folder.join("log"))?)
            .spawn()?;
        lock(&STARTED).push(process.id());
        let mut balancer = Self { address, process, folder };
        balancer.wait_until_ready()?;
        record(format_args!("balancer ready at {address}, limits {memory_mb} MB and {sockets} descriptors"));
        Ok(balancer)
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        for _ in 0..300 {
            if let Some(status) = self.process.try_wait()? {
                return Err(io::Error::other(format!("the balancer ended at its start: {status}")));
            }
            if self.is_ready() {
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the balancer was not ready within 30 s"))
    }

    fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::connect(self.address) else { return false };
        let request = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
        client.exchange(request.as_bytes()).is_ok_and(|response| response.status() == 200)
    }

    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Returns a field of the process's status in kB, such as `VmRSS`.
    pub fn memory_kb(&self, field: &str) -> u64 {
        memory_kb(self.process.id(), field)
    }
}

/// Returns a field of a process's status in kB, or 0 if the process has ended.
pub fn memory_kb(pid: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        lock(&STARTED).retain(|pid| *pid != self.process.id());
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the command `run` of the deploy file.
fn run_command() -> io::Result<String> {
    let deploy_file = fs::read_to_string(Path::new("deploy").join("balancer.toml"))?;
    let line = deploy_file.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command.map(str::to_owned).ok_or_else(|| io::Error::other("the deploy file has no command `run`"))
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// Creates a new temporary folder.
fn new_folder() -> io::Result<PathBuf> {
    let nanoseconds = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
    let folder = std::env::temp_dir().join(format!("review-{}-{nanoseconds}", std::process::id()));
    fs::create_dir(&folder)?;
    Ok(folder)
}

/// A client with one connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        stream.set_write_timeout(Some(Duration::from_secs(8)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request and waits for its response.
    pub fn exchange(&mut self, request: &[u8]) -> io::Result<Message> {
        self.stream.write_all(request)?;
        self.response()
    }

    pub fn response(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)
    }
}

/// Returns a request of a class in the form that the protocol page gives.
pub fn request(class: &str, id: &str, time_left_ms: u64, body: &str) -> Vec<u8> {
    let method = if class == "chart" { "GET" } else { "POST" };
    let mut head = format!(
        "{method} /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Account: ward-a\r\n\
         Cookie: user=7f3a9c21e0b4d655\r\nX-Time-Left-Ms: {time_left_ms}\r\n"
    );
    if class == "visit" {
        head += &format!("Idempotency-Key: key-{id}\r\n");
    }
    if method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    format!("{head}\r\n{}", if method == "POST" { body } else { "" }).into_bytes()
}

/// Time after which a run is given up.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// Runs a case and ends the process with its code. A run that takes too long could not run.
pub fn run_case(case: impl FnOnce() -> io::Result<i32>) -> ! {
    std::panic::set_hook(Box::new(|panic| report(format_args!("the check failed: {panic}"))));
    open_record();
    spawn(|| {
        sleep(RUN_LIMIT);
        lock(&STARTED).iter().for_each(|pid| signal(*pid, SIGKILL));
        report("the case could not run: it took too long");
        std::process::exit(COULD_NOT_RUN);
    });
    let result = catch_unwind(AssertUnwindSafe(case)).unwrap_or_else(|_| Err(io::Error::other("a panic")));
    let code = result.unwrap_or_else(|error| {
        report(format_args!("the case could not run: {error}"));
        COULD_NOT_RUN
    });
    report(format_args!("exit code {code}"));
    std::process::exit(code)
}
