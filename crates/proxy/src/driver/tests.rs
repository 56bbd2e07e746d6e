//! Tests of the driver. Each test plays the client and, on a loopback socket, an upstream or discovery.

mod requests;
mod slow_discovery;
mod watches;

use super::endpoint_watch::{MAX_WATCH_BACKOFF, MIN_WATCH_BACKOFF, STABLE_WATCH_DURATION};
use super::*;
use crate::memory_budget::MemoryBudgets;
use crate::upstream::OutgoingRequest;
use balancer_core::{ClassId, TenantId};
use balancer_settings::Site;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const SEED: u64 = 7;
/// The head of discovery's response that carries an endpoint list or a watch.
const LIST_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Starts a driver that keeps a watch open by itself. Returns it with the listener that stands in for
/// discovery.
async fn watching_driver() -> (Rc<Driver>, TcpListener) {
    driver_with_discovery("automatic").await
}

/// Starts a driver whose `discovery` setting is `mode`. Returns it with the listener that stands in for
/// discovery.
async fn driver_with_discovery(mode: &str) -> (Rc<Driver>, TcpListener) {
    driver_with_poll_interval(mode, Duration::from_secs(60)).await
}

/// Starts a driver with the settings `discovery` and `ask_every_ms`. Returns it with the listener that stands
/// in for discovery.
async fn driver_with_poll_interval(mode: &str, poll_interval: Duration) -> (Rc<Driver>, TcpListener) {
    let poll_interval_ms = poll_interval.as_millis();
    let guarantees = format!(r#""guarantees":{{"ask_every_ms":{poll_interval_ms}}}"#);
    let discovery_settings = format!(r#""discovery":"{mode}",{guarantees}"#);
    let settings = format!(r#"{{"classes":[{{"name":"look"}}],{discovery_settings}}}"#);
    let site = balancer_settings::parse(&settings).unwrap();
    let listener = listen().await;
    let metrics = Rc::<Metrics>::default();
    let discovery = DiscoveryClient::new(listener.local_addr().unwrap(), &site, Rc::clone(&metrics));
    let balancer = Balancer::new(site.settings.clone(), SEED).unwrap();
    let memory = MemoryBudgets::for_upstream_connections(8, 0);
    let upstreams = Upstreams::new(&site.settings, 8, &memory, Rc::default());
    let balancer_starts_watches = site.settings.starts_watches;
    (
        Driver::start(
            balancer,
            upstreams,
            discovery,
            EndpointUpdate::failed(),
            balancer_starts_watches,
            metrics,
        ),
        listener,
    )
}

/// Starts a driver whose only upstream is `upstream`, with at most one connection to it. The driver never
/// cancels attempts.
fn driver_with_one_connection(upstream: &TcpListener) -> Rc<Driver> {
    let endpoint = upstream.local_addr().unwrap();
    let class = r#"{"name":"book","aim_ms":60000,"hard_limit_ms":60000,"effect":"at_most_once"}"#;
    let rest = r#""limits":{"cancelling":false},"parties":[{"name":"acme","allowance_per_s":1000.0}]"#;
    let mut site: Site = balancer_settings::parse(&format!(r#"{{"classes":[{class}],{rest}}}"#)).unwrap();
    let metrics = Rc::<Metrics>::default();
    let discovery = DiscoveryClient::new(endpoint, &site, Rc::clone(&metrics));
    let entry = format!(r#"{{"uid":"s-0","endpoint":"{endpoint}","state":"Ready"}}"#);
    let cached_endpoints = discovery.read_cached(&format!(r#"{{"rev":1,"all":true,"targets":[{entry}]}}"#));
    site.settings.connect_timeout = LONG_TIMEOUT;
    let balancer = Balancer::new(site.settings.clone(), SEED).unwrap();
    let memory = MemoryBudgets::for_upstream_connections(1, 0);
    let upstreams = Upstreams::new(&site.settings, 1, &memory, Rc::default());
    Driver::start(balancer, upstreams, discovery, cached_endpoints, true, metrics)
}

/// Accepts the next call to discovery and checks that it asks for a watch.
async fn accept_watch(discovery: &TcpListener) -> TcpStream {
    let (mut stream, _) = discovery.accept().await.unwrap();
    assert!(read(&mut stream).await.contains("stream=1"));
    stream
}

/// Waits until the driver uses a list of version `version`, and returns how long that took.
async fn wait_for_version(driver: &Driver, version: u64) -> Duration {
    let started_at = Instant::now();
    while driver.endpoint_list_version() != version {
        assert!(started_at.elapsed() < LONG_TIMEOUT, "version {version} never arrived");
        sleep(Duration::from_millis(10)).await;
    }
    started_at.elapsed()
}

/// Waits for bytes on a stream and returns what one read yields, at most 1024 bytes.
async fn read(stream: &mut TcpStream) -> String {
    let mut text = [0; 1024];
    let length = stream.read(&mut text).await.unwrap();
    String::from_utf8_lossy(&text[..length]).into_owned()
}
