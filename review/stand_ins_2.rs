//! Stand-ins for the second review: a balancer process, a discovery agent, an HTTP reader, a client connection
//! and the record of a run. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The exit codes that the issue asks for.
pub const HELD: u8 = 0;
pub const BROKEN: u8 = 1;
pub const COULD_NOT_RUN: u8 = 2;

/// Whether the disruption of the case is on.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, with the time of each line in seconds since its start.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self { file: Mutex::new(File::create(path)?), start: Instant::now() }))
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A small generator of random numbers, seeded per use so that runs draw the same faults.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// A number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A new correlation id or idempotency key.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut random = Random(NEXT.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    random.next();
    format!("{:016x}", random.next())
}

/// An HTTP message: its first line, its headers in lower case, and its body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads HTTP messages from a connection, and keeps the bytes that follow a message.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns `false` at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length > 0)
    }

    fn need(&mut self) -> io::Result<()> {
        if self.fill()? { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
    }

    /// Reads a head. `None` if the stream ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(position) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break position;
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { first_line, headers, body: Vec::new() }))
    }

    /// Reads a message with its body, which has a `Content-Length` or is chunked.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            loop {
                let line = self.line()?;
                let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                let data = self.exactly(length)?;
                message.body.extend_from_slice(&data);
                self.line()?;
                if length == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        message.body = self.exactly(length)?;
        Ok(Some(message))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(position) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..position]).into_owned();
                self.buffer.drain(..position + 2);
                return Ok(line);
            }
            self.need()?;
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.need()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }
}

/// Returns a port of this address that nobody uses now.
pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

/// An entry of the endpoint list.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub state: &'static str,
    pub boot_ms: u64,
    pub cell: u16,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"std3\",\"pod_group\":{},\"state\":\"{}\",\
             \"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.endpoint, self.zone, self.cell, self.state, self.boot_ms
        )
    }
}

/// The list of discovery, with the version at which each entry changed last.
pub struct List {
    pub rev: u64,
    entries: Vec<(Entry, u64)>,
}

impl List {
    pub fn whole(&self) -> String {
        let entries = self.entries.iter().filter(|(entry, _)| entry.state != "Gone");
        self.json(true, entries.map(|(entry, _)| entry.json()).collect())
    }

    fn changes_after(&self, rev: u64) -> String {
        let entries = self.entries.iter().filter(|(_, changed)| *changed > rev);
        self.json(false, entries.map(|(entry, _)| entry.json()).collect())
    }

    fn json(&self, all: bool, entries: Vec<String>) -> String {
        format!("{{\"rev\":{},\"all\":{all},\"targets\":[{}]}}", self.rev, entries.join(","))
    }
}

struct AgentState {
    list: Mutex<List>,
    changed: Condvar,
    /// Time from the arrival of a call to the head of its answer.
    delay_ms: AtomicU64,
    /// Whether no new connections are taken, and whether the open ones are closed.
    takes_none: AtomicBool,
    is_closed: AtomicBool,
    record: Arc<Record>,
}

/// Discovery: answers fetches and watches, as the protocol page says.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<AgentState>,
}

impl Agent {
    pub fn start(entries: Vec<Entry>, record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let entries = entries.into_iter().map(|entry| (entry, 1)).collect();
        let state = Arc::new(AgentState {
            list: Mutex::new(List { rev: 1, entries }),
            changed: Condvar::new(),
            delay_ms: AtomicU64::new(0),
            takes_none: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                if state.takes_none.load(Ordering::SeqCst) {
                    continue;
                }
                thread::spawn(move || {
                    let _ = answer_call(stream, &state);
                });
            }
        });
        Self { address, state }
    }

    /// Takes no new connections from now on, and closes the open ones after 1.5 s.
    pub fn retire(&self) {
        self.state.takes_none.store(true, Ordering::SeqCst);
        let state = Arc::clone(&self.state);
        thread::spawn(move || {
            thread::sleep(ms(1500));
            let _list = state.list.lock().unwrap();
            state.is_closed.store(true, Ordering::SeqCst);
            state.changed.notify_all();
        });
    }

    /// Lets each later call wait this long for its answer.
    pub fn delay_answers(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    pub fn whole_list(&self) -> String {
        self.state.list.lock().unwrap().whole()
    }

    /// Changes one entry, or adds it.
    pub fn change(&self, entry: Entry) {
        let mut list = self.state.list.lock().unwrap();
        list.rev += 1;
        let rev = list.rev;
        self.state.record.line(&format!("discovery rev {rev}: {} {} boot {}", entry.uid, entry.state, entry.boot_ms));
        match list.entries.iter_mut().find(|(known, _)| known.uid == entry.uid) {
            Some(slot) => *slot = (entry, rev),
            None => list.entries.push((entry, rev)),
        }
        self.state.changed.notify_all();
    }
}

fn answer_call(stream: TcpStream, state: &AgentState) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    let mut stream = stream;
    let Some(request) = reader.message()? else { return Ok(()) };
    let path = request.path().to_owned();
    state.record.line(&format!("discovery call {path}"));
    let delay = state.delay_ms.load(Ordering::SeqCst);
    if delay > 0 {
        thread::sleep(ms(delay));
    }
    let Some(index) = path.split("index=").nth(1).and_then(|text| text.parse::<u64>().ok()) else {
        let body = state.list.lock().unwrap().whole();
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    };
    let mut list = state.list.lock().unwrap();
    let first = if index == 0 || index > list.rev { list.whole() } else { list.changes_after(index) };
    let mut sent = list.rev;
    drop(list);
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write_chunk(&mut stream, &format!("{first}\n"))?;
    state.record.line(&format!("discovery answered {path} with rev {sent}"));
    loop {
        list = state.list.lock().unwrap();
        let deadline = Instant::now() + ms(2000);
        while list.rev == sent && Instant::now() < deadline && !state.is_closed.load(Ordering::SeqCst) {
            let left = deadline.saturating_duration_since(Instant::now());
            list = state.changed.wait_timeout(list, left).unwrap().0;
        }
        if state.is_closed.load(Ordering::SeqCst) {
            return Ok(());
        }
        let line = if list.rev == sent { "\n".to_owned() } else { format!("{}\n", list.changes_after(sent)) };
        sent = list.rev;
        drop(list);
        write_chunk(&mut stream, &line)?;
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Where the programs and this case are.
pub struct Paths {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temporary: PathBuf,
}

impl Paths {
    /// Reads `REVIEW_ROOT`, `REVIEW_CASE` and `REVIEW_TMP`, which `run.sh` sets.
    pub fn from_env() -> Self {
        let path = |name: &str| PathBuf::from(std::env::var_os(name).unwrap_or_else(|| panic!("{name} is not set")));
        Self { root: path("REVIEW_ROOT"), case: path("REVIEW_CASE"), temporary: path("REVIEW_TMP") }
    }

    /// The value of a command in the deploy file.
    pub fn deploy_command(&self, name: &str) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap();
        let line = text.lines().find(|line| line.starts_with(&format!("{name} ="))).unwrap();
        line.split('"').nth(1).unwrap().to_owned()
    }
}

/// A balancer that was started with `run` of the deploy file. It is killed when the value is dropped.
pub struct Balancer {
    pub child: Child,
    pub address: SocketAddr,
    pub name: String,
    discovery: SocketAddr,
    config_path: PathBuf,
}

/// What a balancer is started with.
pub struct BalancerOptions<'a> {
    pub name: &'a str,
    pub discovery: SocketAddr,
    pub known: &'a str,
    pub settings: &'a str,
    pub limits: &'a str,
    pub log_level: &'a str,
}

impl Balancer {
    pub fn start(paths: &Paths, options: &BalancerOptions<'_>) -> io::Result<Self> {
        let address: SocketAddr = format!("127.0.0.1:{}", free_port("127.0.0.1")).parse().unwrap();
        let mut random = Random(unix_ms() | 1);
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\"limits\":{},\
             \"known\":{},\"settings\":{}}}",
            options.name,
            options.discovery,
            random.next(),
            options.limits,
            options.known,
            options.settings
        );
        let config_path = paths.temporary.join(format!("{}.json", options.name));
        std::fs::write(&config_path, config)?;
        let log = File::create(paths.temporary.join(format!("{}.log", options.name)))?;
        let mut command = Command::new("/bin/sh");
        // A check that is itself ended in the middle leaves no balancer behind.
        unsafe { command.pre_exec(|| end_with_parent()) };
        let child = command
            .args(["-c", &paths.deploy_command("run")])
            .current_dir(&paths.root)
            .env("NODE_NAME", options.name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", options.discovery.to_string())
            .env("NODE_CONFIG", &config_path)
            .env("NODE_LOG", options.log_level)
            .env("TMPDIR", &paths.temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Self { child, address, name: options.name.to_owned(), discovery: options.discovery, config_path })
    }

    /// Waits until `GET /health/ready` answers 200.
    pub fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.has_ended() {
                return false;
            }
            if let Ok(mut connection) = Connection::open(self.address) {
                let request = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
                if connection.exchange(request.as_bytes(), ms(1000)).is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            thread::sleep(ms(10));
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces the configuration file by one that names another discovery, and sends SIGHUP.
    pub fn move_discovery(&mut self, address: SocketAddr) -> io::Result<()> {
        let text = std::fs::read_to_string(&self.config_path)?;
        let old = format!("\"discovery\":\"{}\"", self.discovery);
        let new_path = self.config_path.with_extension("new");
        std::fs::write(&new_path, text.replacen(&old, &format!("\"discovery\":\"{address}\""), 1))?;
        std::fs::rename(&new_path, &self.config_path)?;
        self.discovery = address;
        self.signal("HUP");
        Ok(())
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -s {name} {}", self.child.id())]).status();
    }
}

unsafe extern "C" {
    fn prctl(option: i32, argument: usize, ...) -> i32;
}

/// Lets the system kill this process when its parent ends (`PR_SET_PDEATHSIG` with `SIGKILL`).
fn end_with_parent() -> io::Result<()> {
    match unsafe { prctl(1, 9) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A connection of a client.
pub struct Connection {
    pub reader: Reader,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(2000))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: Reader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.stream.write_all(bytes)
    }

    /// Waits for an answer. Fails if the connection ends without one.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Message> {
        self.reader.stream.set_read_timeout(Some(limit))?;
        match self.reader.message()? {
            Some(answer) => Ok(answer),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    pub fn exchange(&mut self, bytes: &[u8], limit: Duration) -> io::Result<Message> {
        self.send(bytes)?;
        self.receive(limit)
    }

    pub fn close(&self) {
        let _ = self.reader.stream.shutdown(Shutdown::Both);
    }
}

/// A request as the protocol page shows it. `key` is present in classes that carry one.
pub struct Request<'a> {
    pub method: &'a str,
    pub class: &'a str,
    pub id: &'a str,
    pub tenant: &'a str,
    pub key: Option<&'a str>,
    pub time_left_ms: u64,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} /{} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {}\r\nX-Account: {}\r\nX-Time-Left-Ms: {}\r\n",
            self.method, self.class, self.id, self.tenant, self.time_left_ms
        );
        if let Some(key) = self.key {
            let _ = write!(head, "Idempotency-Key: {key}\r\n");
        }
        if self.method == "POST" {
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        if self.method == "POST" {
            bytes.extend_from_slice(self.body);
        }
        bytes
    }
}

/// A counter that several threads share.
#[derive(Default)]
pub struct Counts(Mutex<HashMap<String, u64>>);

impl Counts {
    pub fn add(&self, name: &str) {
        *self.0.lock().unwrap().entry(name.to_owned()).or_default() += 1;
    }

    pub fn get(&self, name: &str) -> u64 {
        self.0.lock().unwrap().get(name).copied().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        let counts = self.0.lock().unwrap();
        let mut names: Vec<_> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
        names.sort();
        names.join(", ")
    }
}

/// A flag that ends the threads of a run.
pub type Flag = Arc<AtomicBool>;

pub fn flag() -> Flag {
    Arc::new(AtomicBool::new(false))
}

pub fn exit(code: u8) -> ExitCode {
    ExitCode::from(code)
}

/// The settings of a small deployment, like those of `deploy/sites/busan-clinic`. `discovery` is `automatic` or
/// `subscribe`.
pub fn clinic_settings(balancers: u32, index: u32, discovery: &str) -> String {
    format!(
        r#"{{"balancers":{balancers},"me":{index},"discovery":"{discovery}","kind_of_service":"proxy",
"classes":[
{{"name":"chart","effect":"idempotent","dedup_scope":"all","aim_ms":800,"hard_limit_ms":2200,"key_ttl_ms":5000,"late_worth":0,"streamed":false,"worth":3}},
{{"name":"visit","effect":"deduplicated","dedup_scope":"zone","aim_ms":900,"hard_limit_ms":2500,"key_ttl_ms":3000,"late_worth":0,"streamed":false,"worth":4}},
{{"name":"payment","effect":"at_most_once","dedup_scope":"all","aim_ms":1500,"hard_limit_ms":4000,"key_ttl_ms":5000,"late_worth":0,"streamed":false,"worth":5}}],
"clients":{{"marks_retry":false}},
"failure_domains":["gasan","pangyo","ilsan"],"locality":0,"skus":["std3","low4"],
"goal":{{"whole":0.55,"worst_class":0.05,"worst_tenant":0.25,"worst_window":0.15}},
"guarantees":{{"answer_slack_ms":20,"ask_every_ms":10000,"cold_from":0.17,"cold_ms":24000,"drain_grace_ms":400,"fall_multiple":2,"overload_for_ms":2000}},
"limits":{{"cancelling":true,"conn_idle_ms":8000,"connect_timeout_ms":150,"cpu_us_per_request":0,"cpu_us_per_s":8000,"max_retry_after_ms":3000,"max_streams":1,"may_probe":true,"most_held":20000,"peers":false,"retry_after":true,"second_copies":false,"try_limit":3}},
"over_share_worth":0.05,
"parties":[{{"name":"ward-a","allowance_per_s":120,"share":0.6}},{{"name":"ward-b","allowance_per_s":80,"share":0.4}}],
"prices":{{"connection":0,"cross_zone":0.03,"discovery":0,"handshake":0,"late_fail":0.05,"probe":0.04,"waste":0.1}},
"telemetry":{{"fields":["load_share","err_ps"],"how":"inline"}},
"tick_ms":5,"tier":0,"tiers":["clinic-web"],"weight_kind":"live","worth_by":"request"}}"#
    )
}
