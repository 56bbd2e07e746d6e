//! A proxy that watches its discovery.

use super::{
    Behavior, Client, OK_RESPONSE, ProxyConfig, ProxyProcess, StubDiscovery, StubUpstream, WatchStream,
    at_most_once_request,
};

/// A proxy that watches its discovery and has served a request by its only upstream, `s-0`.
pub struct WatchingProxy {
    /// The upstream.
    pub upstream: StubUpstream,
    /// Its discovery.
    pub discovery: StubDiscovery,
    /// The configuration of the proxy.
    pub config: ProxyConfig,
    /// The process.
    pub proxy: ProxyProcess,
    /// The client that has sent the request.
    pub client: Client,
    /// The target of the call that began the watch.
    pub target: String,
    /// The watch.
    pub watch: WatchStream,
}

impl WatchingProxy {
    /// Starts a proxy that begins the watch by itself.
    pub fn start() -> Self {
        Self::start_with(|config| config)
    }

    /// Starts a proxy with a configuration that is changed before.
    pub fn start_with(change: impl FnOnce(ProxyConfig) -> ProxyConfig) -> Self {
        let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
        let discovery = StubDiscovery::start();
        let config = change(ProxyConfig::new(&[upstream.address]).discovery(discovery.address));
        let proxy = config.start();
        let mut client = proxy.connect();
        assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 200);
        let call = discovery.next_call();
        Self { upstream, discovery, config, proxy, client, target: call.target, watch: call.watch }
    }
}
