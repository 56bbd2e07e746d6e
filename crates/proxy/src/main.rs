//! `balancer-proxy`: a load balancer on real sockets. Every decision is the `balancer_core` library's.

mod config;
mod discovery;
mod downstream;
mod driver;
mod headers;
mod metrics;
mod rate_limited_log;
mod signals;
mod socket_io;
mod upstream;

use balancer_core::Balancer;
use balancer_settings::InvalidSettings;
use config::Config;
use discovery::client::{Discovery, Progress};
use downstream::listener::{LifecyclePhase, Server};
use driver::Driver;
use metrics::Metrics;
use signals::SignalFlag;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::runtime::LocalOptions;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::level_filters::LevelFilter;
use upstream::attempt::Upstreams;

/// After SIGTERM the front goes on dealing out new connections for 0.4 s at most, and clients go on using those
/// that they have. They may until this balancer's neighbour, perhaps just started itself, has been taken in ...
const LEAVE_LEAST: Duration = Duration::from_millis(600);
const LEAVE_MOST: Duration = Duration::from_millis(1200);
/// ... but no longer than this share of the longest deadline: what comes last must still have time.
const LEAVE_SHARE: f64 = 0.7;
/// SIGKILL may come when the longest deadline, 3 s at most, and 0.7 s more have passed; this is a bit before.
const KILL_DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// How long a new process waits for discovery's first list before it serves, and how long while nothing comes from
/// there. Discovery's agent is on this machine and answers at once; when it is silent the list known from before has to
/// do, while a long list takes its time to be read.
const FIRST_LIST_MOST: Duration = Duration::from_secs(5);
const FIRST_LIST_SILENCE_MOST: Duration = Duration::from_millis(400);
/// How often the address is tried, and the pause between two tries.
const BIND_TRIES: usize = 20;
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// For the answers to what is then still held.
const LAST_WORDS: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let level = std::env::var("NODE_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("balancer-proxy: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(serve(config))
}

async fn serve(config: Config) -> Result<(), Box<dyn Error>> {
    let balancer = Balancer::new(config.site.settings.clone(), config.seed).map_err(InvalidSettings)?;
    let term = SignalFlag::terminate()?;
    // Before anybody can know that this process is ready: unhandled, it would kill.
    let hangup = SignalFlag::hangup()?;
    let socket = bind(config.listen).await.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let metrics = Rc::new(Metrics::default());
    let settings = &config.site.settings;
    let (connections, long_answers) = (config.upstream_connections(), config.long_answers());
    let upstreams = Upstreams::new(settings, connections, long_answers, Rc::clone(&metrics));
    let discovery = Discovery::new(config.discovery, &config.site, Rc::clone(&metrics));
    let known = discovery.read_cached(&config.known);
    tracing::info!(
        upstreams = known.entries.len(),
        version = discovery.version(),
        limits = ?config.limits,
        "starting"
    );
    let driver = Driver::start(balancer, upstreams, discovery, known, settings.poll_endpoints);
    // Where the list has to be asked for, discovery may be crowded by those that have just started, too.
    if !settings.poll_endpoints {
        wait_for_list(&driver).await;
    }
    // Nobody can connect before.
    let listener = socket.listen(BACKLOG)?;
    tracing::info!(listen = %listener.local_addr()?, version = driver.list_version(), "serving");
    spawn_local(async move { metrics.log_changes().await });
    let (phase, phases) = watch::channel(LifecyclePhase::Serving);
    let server = Server::new(driver.clone(), &config.site, phases);
    let mut accepting = spawn_local(server.run(listener, config.client_connections()));
    spawn_local(reload(hangup, driver.clone()));

    term.raised().await;
    tracing::info!("leaving");
    phase.send_replace(LifecyclePhase::LameDuck);
    let deadlines = config.site.settings.classes.iter().map(|class| class.deadline);
    let longest = deadlines.max().unwrap_or_default().min(KILL_DEADLINE_MOST);
    let leave = longest.mul_f64(LEAVE_SHARE).clamp(LEAVE_LEAST, LEAVE_MOST);
    sleep(leave).await;
    phase.send_replace(LifecyclePhase::Draining);
    let rest = (longest + KILL_AFTER_DEADLINE).saturating_sub(leave + LAST_WORDS);
    if timeout(rest, &mut accepting).await.is_err() {
        driver.abort_all();
        let _ = timeout(LAST_WORDS, &mut accepting).await;
    }
    Ok(())
}

/// A socket at this address that does not listen yet. What stands in the way may pass in a moment.
async fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    for _ in 1..BIND_TRIES {
        match try_bind(address) {
            Ok(socket) => return Ok(socket),
            Err(e) => tracing::warn!("bind {address}: {e}"),
        }
        sleep(BIND_PAUSE).await;
    }
    try_bind(address)
}

fn try_bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Waits until discovery has told its list, or is silent.
async fn wait_for_list(driver: &Driver) {
    let mut progress = driver.discovery_progress();
    let told = async {
        loop {
            match timeout(FIRST_LIST_SILENCE_MOST, progress.changed()).await {
                Ok(Ok(())) if *progress.borrow_and_update() == Progress::Received => return true,
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    };
    if timeout(FIRST_LIST_MOST, told).await != Ok(true) {
        tracing::warn!("discovery is silent: serving by the list known from before");
    }
}

/// Reads the configuration anew at each SIGHUP. Only discovery's address is taken from it: all else stands
/// until the next start. A file that can't be read leaves everything as it is.
async fn reload(hangup: SignalFlag, driver: Rc<Driver>) {
    loop {
        hangup.raised().await;
        match Config::from_env() {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration read anew");
                driver.discovery_moved(config.discovery);
            }
            Err(e) => tracing::warn!("the configuration stays as it is: {e}"),
        }
    }
}
