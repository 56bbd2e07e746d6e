//! Starts a proxy: binds its address, waits for the first endpoint list and begins to accept clients.

use crate::config::{Config, ConfigError};
use crate::discovery::client::{DiscoveryClient, FirstListProgress};
use crate::downstream::listener::Listener;
use crate::downstream::request::can_be_served;
use crate::driver::Driver;
use crate::lifecycle_phase::LifecyclePhase;
use crate::metrics::Metrics;
use crate::reload::reload_on_hangup;
use crate::signals::SignalFlag;
use crate::upstream::Upstreams;
use balancer_core::Balancer;
use balancer_settings::{InvalidSettings, Site};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// How long a new process waits for discovery's first complete message before it serves by the cached
/// endpoint list. A long list takes time to read.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long it waits without progress. Discovery's agent runs on this machine, so silence means that it is
/// down.
const FIRST_LIST_SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// How often the address is tried: what occupies it may go away in a moment.
const BIND_ATTEMPTS: usize = 20;
/// Pause between two attempts to bind the address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Why a proxy can't start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The configuration can't be loaded.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Settings(#[from] InvalidSettings),
    /// The listening address can't be bound.
    #[error("listen on {address}: {source}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The system's error at the last attempt.
        source: io::Error,
    },
    /// The asynchronous runtime can't be set up.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler can't be registered.
    #[error("signal handler: {0}")]
    Signal(#[source] io::Error),
    /// The bound socket can't listen.
    #[error("listen: {0}")]
    Listen(#[source] io::Error),
}

/// A proxy that accepts clients.
pub struct RunningProxy {
    /// Set by SIGTERM.
    pub terminate: SignalFlag,
    /// Carries out the balancer's decisions.
    pub driver: Rc<Driver>,
    /// The phase that the clients' side follows.
    pub phase: watch::Sender<LifecyclePhase>,
    /// Ends once the proxy drains and the last client has gone.
    pub accept_loop: JoinHandle<()>,
}

/// Starts a proxy. Returns once clients can connect. Fails if the settings are invalid, a signal handler
/// cannot be registered or the address cannot be bound or listened on.
pub async fn start(config: &Config) -> Result<RunningProxy, StartupError> {
    log_warnings(&config.site);
    let balancer = Balancer::new(config.site.settings.clone(), config.seed).map_err(InvalidSettings)?;
    // Both handlers are set before anybody can know that this process is ready: unhandled, the signals would
    // kill it.
    let terminate = SignalFlag::terminate().map_err(StartupError::Signal)?;
    let hangup = SignalFlag::hangup().map_err(StartupError::Signal)?;
    let socket =
        bind(config.listen).await.map_err(|source| StartupError::Bind { address: config.listen, source })?;
    let metrics = Rc::new(Metrics::default());
    let driver = start_driver(config, balancer, &metrics);
    if !config.site.settings.starts_watches {
        wait_for_first_list(&driver).await;
    }
    // Clients can't connect earlier than this.
    let listener = socket.listen(LISTEN_BACKLOG).map_err(StartupError::Listen)?;
    let address = listener.local_addr().map_err(StartupError::Listen)?;
    tracing::info!(listen = %address, version = driver.list_version(), "serving");
    spawn_local(async move { metrics.log_changes().await });
    let (phase, phase_receiver) = watch::channel(LifecyclePhase::Serving);
    let clients = Listener::new(Rc::clone(&driver), &config.site, phase_receiver);
    let accept_loop = spawn_local(clients.run(listener, config.max_client_connections()));
    spawn_local(reload_on_hangup(hangup, Rc::clone(&driver)));
    Ok(RunningProxy { terminate, driver, phase, accept_loop })
}

/// Logs what the author of the settings has to know of.
fn log_warnings(site: &Site) {
    for warning in &site.warnings {
        tracing::warn!("settings: {warning}");
    }
    for (name, class) in site.names.classes.iter().zip(&site.settings.classes) {
        if !can_be_served(class.deadline) {
            let deadline = class.deadline;
            tracing::warn!(class = name, ?deadline, "settings: hard_limit_ms is too short for any response");
        }
    }
}

/// Starts the driver with the cached endpoint list.
fn start_driver(config: &Config, balancer: Balancer, metrics: &Rc<Metrics>) -> Rc<Driver> {
    let settings = &config.site.settings;
    let upstreams = Upstreams::new(
        settings,
        config.max_upstream_connections(),
        config.max_buffered_response_bytes(),
        Rc::clone(metrics),
    );
    let discovery = DiscoveryClient::new(config.discovery, &config.site, Rc::clone(metrics));
    let cached_endpoints = discovery.read_cached(&config.cached_endpoints);
    tracing::info!(
        upstreams = cached_endpoints.entries.len(),
        version = discovery.version(),
        limits = ?config.limits,
        "starting"
    );
    let metrics = Rc::clone(metrics);
    Driver::start(balancer, upstreams, discovery, cached_endpoints, settings.starts_watches, metrics)
}

/// Binds a socket that does not listen yet; retries while the address is occupied.
async fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    for _ in 1..BIND_ATTEMPTS {
        match try_bind(address) {
            Ok(socket) => return Ok(socket),
            Err(error) => tracing::warn!(%address, %error, "bind failed"),
        }
        sleep(BIND_RETRY_INTERVAL).await;
    }
    try_bind(address)
}

fn try_bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Waits for discovery's first complete message, as long as something arrives. Not used where the balancer
/// decides when a watch is begun (`Settings::starts_watches`): discovery may be overloaded there by all
/// processes that start at the same time.
async fn wait_for_first_list(driver: &Driver) {
    let mut progress = driver.discovery_progress();
    let first_list = async {
        loop {
            match timeout(FIRST_LIST_SILENCE_TIMEOUT, progress.changed()).await {
                Ok(Ok(())) if *progress.borrow_and_update() == FirstListProgress::Received => return true,
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    };
    if timeout(FIRST_LIST_TIMEOUT, first_list).await != Ok(true) {
        tracing::warn!("no endpoint list from discovery in time, serving the cached one");
    }
}
