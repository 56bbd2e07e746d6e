//! A proxy with an active watch of the endpoint list.

use super::{
    Behavior, Client, OK_RESPONSE, ProxyConfig, ProxyProcess, StubDiscovery, StubUpstream, WatchStream,
    at_most_once_request,
};

/// A proxy that watches the endpoint list and has forwarded one request to its only upstream, `s-0`. The
/// connections of this request are still open.
pub struct WatchingProxy {
    /// The upstream `s-0`.
    pub upstream: StubUpstream,
    /// The discovery service that sends the endpoint list to the proxy.
    pub discovery: StubDiscovery,
    /// The configuration of the proxy.
    pub config: ProxyConfig,
    /// The process of the proxy.
    pub proxy: ProxyProcess,
    /// The client that sent the request.
    pub client: Client,
    /// The path and query of the call that started the watch.
    pub watch_target: String,
    /// The response to the call that started the watch.
    pub watch: WatchStream,
}

impl WatchingProxy {
    /// Starts a proxy in automatic discovery mode.
    pub fn start() -> Self {
        Self::start_with(|config| config)
    }

    /// Starts a proxy after applying `change` to its configuration.
    pub fn start_with(change: impl FnOnce(ProxyConfig) -> ProxyConfig) -> Self {
        let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
        let discovery = StubDiscovery::start();
        let config = change(ProxyConfig::new(&[upstream.address]).discovery(discovery.address));
        let proxy = config.start();
        let mut client = proxy.connect();
        assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 200);
        let call = discovery.next_call();
        Self { upstream, discovery, config, proxy, client, watch_target: call.target, watch: call.watch }
    }
}
