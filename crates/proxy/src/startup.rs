//! Starts a proxy: binds its address, waits for the first endpoint list and then accepts client connections.

use crate::config::{Config, ConfigError};
use crate::discovery::client::{DiscoveryClient, FirstListProgress};
use crate::downstream::listener::Listener;
use crate::downstream::request::can_be_served;
use crate::driver::Driver;
use crate::lifecycle_phase::LifecyclePhase;
use crate::memory_budget::MemoryBudgets;
use crate::metrics::Metrics;
use crate::reload::reload_on_sighup;
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

/// How long a new process waits for discovery to send the first complete endpoint list, or changes to the
/// cached one, before it serves with the cached list. A long list takes time to arrive.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a new process waits for the first list while nothing arrives. The discovery agent runs on this
/// machine, so silence means that the agent is down.
const FIRST_LIST_SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// How many times the proxy tries to bind its address. Another process that occupies the address may be about
/// to end.
const BIND_ATTEMPTS: usize = 20;
/// Time between two attempts to bind the address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The number of connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// An error that keeps a proxy from starting.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The configuration can't be loaded.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Settings(#[from] InvalidSettings),
    /// The listening address can't be bound.
    #[error("cannot bind the listening address {address}: {source}")]
    Bind {
        /// The configured listening address.
        address: SocketAddr,
        /// The error of the operating system at the last attempt.
        source: io::Error,
    },
    /// The asynchronous runtime can't be set up.
    #[error("cannot set up the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler can't be registered.
    #[error("cannot register a signal handler: {0}")]
    Signal(#[source] io::Error),
    /// The bound socket can't listen for connections.
    #[error("cannot listen on the bound socket: {0}")]
    Listen(#[source] io::Error),
}

/// A proxy that accepts client connections.
pub struct RunningProxy {
    /// Set when SIGTERM arrives.
    pub sigterm: SignalFlag,
    /// The driver that carries out the balancer's decisions.
    pub driver: Rc<Driver>,
    /// Sets the phase of the process, which the downstream side follows.
    pub phase: watch::Sender<LifecyclePhase>,
    /// The task that accepts client connections. Ends once the proxy drains and the last client has
    /// disconnected.
    pub accept_loop: JoinHandle<()>,
}

/// Starts a proxy and returns once clients can connect. Fails if the settings are invalid, a signal handler
/// can't be registered, or the listening address can't be bound or listened on.
pub async fn start(config: &Config) -> Result<RunningProxy, StartupError> {
    log_settings_warnings(&config.site);
    let balancer = Balancer::new(config.site.settings.clone(), config.seed).map_err(InvalidSettings)?;
    // An unhandled signal would kill the process, so both handlers are registered before anybody can see that
    // the process is ready and signal it.
    let sigterm = SignalFlag::register_sigterm().map_err(StartupError::Signal)?;
    let sighup = SignalFlag::register_sighup().map_err(StartupError::Signal)?;
    let socket =
        bind(config.listen).await.map_err(|source| StartupError::Bind { address: config.listen, source })?;
    let metrics = Rc::new(Metrics::default());
    let memory = MemoryBudgets::new(&config.memory_plan());
    let driver = start_driver(config, balancer, &memory, &metrics);
    if !config.site.settings.starts_watches {
        wait_for_first_list(&driver).await;
    }
    // Clients can't connect before this call.
    let tcp_listener = socket.listen(LISTEN_BACKLOG).map_err(StartupError::Listen)?;
    let address = tcp_listener.local_addr().map_err(StartupError::Listen)?;
    tracing::info!(listen = %address, version = driver.endpoint_list_version(), "serving");
    spawn_local(async move { metrics.log_changes().await });
    let (phase, phase_receiver) = watch::channel(LifecyclePhase::Serving);
    let listener = Listener::new(Rc::clone(&driver), &config.site, phase_receiver, memory);
    let accept_loop = spawn_local(listener.run(tcp_listener, config.max_client_connections()));
    spawn_local(reload_on_sighup(sighup, Rc::clone(&driver)));
    Ok(RunningProxy { sigterm, driver, phase, accept_loop })
}

/// Logs the warnings about the settings, including one for each class whose deadline is too short for any
/// response.
fn log_settings_warnings(site: &Site) {
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
fn start_driver(
    config: &Config,
    balancer: Balancer,
    memory: &MemoryBudgets,
    metrics: &Rc<Metrics>,
) -> Rc<Driver> {
    let settings = &config.site.settings;
    let max_connections = config.max_upstream_connections();
    let upstreams = Upstreams::new(settings, max_connections, memory, Rc::clone(metrics));
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

/// Returns a socket that is bound to the address but does not listen yet. If binding fails, retries until
/// [`BIND_ATTEMPTS`] attempts have been made.
async fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    for _ in 1..BIND_ATTEMPTS {
        match try_bind(address) {
            Ok(socket) => return Ok(socket),
            Err(error) => tracing::warn!(%address, %error, "cannot bind the listening address; retrying"),
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

/// Waits until discovery has sent the first complete endpoint list, or changes to the cached one, as long as
/// its bytes keep arriving. Not called if the balancer decides when to start a watch
/// (`Settings::starts_watches`), because discovery may then be overloaded by all the processes that start at
/// the same time.
async fn wait_for_first_list(driver: &Driver) {
    let mut progress = driver.first_list_progress();
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
        tracing::warn!("no endpoint list arrived from discovery in time; serving with the cached list");
    }
}
