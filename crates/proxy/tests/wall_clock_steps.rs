//! Steps of the wall clock: the start of an upstream's process is told by a clock that differs from the one
//! that this process has read, by seconds or by an hour.

mod common;

use common::*;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const UPSTREAMS: usize = 10;
/// The upstream that restarts.
const RESTARTED: usize = 0;
const SLOW_START_MS: u64 = 3000;
/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(4);
/// Time in which shares are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Windows before the restart.
const WARM_UP_WINDOWS: usize = 3;
/// How far the clock that tells the start is off, in seconds.
const STEPS: [i64; 7] = [0, -7, -60, -3700, 7, 30, 3600];

/// A balancer before upstreams, and the discovery that it watches.
struct Scenario {
    upstreams: Vec<StubUpstream>,
    client: Client,
    watch: WatchStream,
    revision: u64,
    _proxy: ProxyProcess,
}

impl Scenario {
    fn start() -> Self {
        let upstreams: Vec<_> =
            (0..UPSTREAMS).map(|_| StubUpstream::start(Behavior::Respond(OK_RESPONSE))).collect();
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
        let discovery = StubDiscovery::start();
        let config = ProxyConfig::new(&addresses).discovery(discovery.address).deadline_ms(1000).text();
        let guarantees = format!(r#""guarantees":{{"cold_from":0.1,"cold_ms":{SLOW_START_MS}}},"parties":"#);
        let proxy = ProxyProcess::launch(&config.replace(r#""parties":"#, &guarantees), 256);
        let watch = discovery.next_call().watch;
        let ready = |(number, address): (usize, &SocketAddr)| {
            endpoint(&format!("s-{number}"), *address, EndpointState::Ready)
        };
        let endpoints: Vec<_> = addresses.iter().enumerate().map(ready).collect();
        watch.send_line(&snapshot(2, &endpoints));
        wait_until("the proxy listens", || proxy.is_listening());
        let client = proxy.connect();
        Self { upstreams, client, watch, revision: 2, _proxy: proxy }
    }

    /// Tells that the upstream has started at this Unix time.
    fn tell_start(&mut self, started_at_unix_ms: u64) {
        self.revision += 1;
        let entry = endpoint("s-0", self.upstreams[RESTARTED].address, EndpointState::Ready);
        let entry = entry.replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{started_at_unix_ms}"#));
        self.watch.send_line(&delta(self.revision, &[entry]));
    }

    /// Sends requests for a while. Returns the share of them that the restarted upstream got, in multiples of
    /// the mean.
    fn relative_share(&mut self) -> f64 {
        let counts = |upstreams: &[StubUpstream]| -> Vec<usize> {
            upstreams.iter().map(|upstream| upstream.requests().len()).collect()
        };
        // Nothing has changed: the watch is alive.
        self.watch.send_line("");
        let before = counts(&self.upstreams);
        let began = std::time::Instant::now();
        while began.elapsed() < WINDOW {
            assert_eq!(self.client.exchange(&idempotent_request(5000)).status(), 200);
            std::thread::sleep(REQUEST_PAUSE);
        }
        let after = counts(&self.upstreams);
        let total: usize = after.iter().sum::<usize>() - before.iter().sum::<usize>();
        (after[RESTARTED] - before[RESTARTED]) as f64 * UPSTREAMS as f64 / total as f64
    }
}

fn unix_ms_now() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    now.as_millis() as i64
}

/// The shares of an upstream in successive windows after its restart was told by a clock that is off by this
/// many seconds. The start is told again in each window.
fn shares_after_restart(step_seconds: i64) -> Vec<f64> {
    let mut scenario = Scenario::start();
    // The latency that is usual has to be known, or every upstream counts as fast.
    for _ in 0..WARM_UP_WINDOWS {
        scenario.relative_share();
    }
    let started_at = (unix_ms_now() + step_seconds * 1000) as u64;
    (0..6)
        .map(|_| {
            scenario.tell_start(started_at);
            scenario.relative_share()
        })
        .collect()
}

/// A step back took slow start away; a step ahead kept it from ending.
#[test]
fn a_restarted_upstream_is_warmed_up_in_the_same_time_whatever_the_wall_clock_says() {
    let cases: Vec<_> = STEPS
        .into_iter()
        .map(|step| (step, std::thread::spawn(move || shares_after_restart(step))))
        .collect();
    for (step, case) in cases {
        let shares = case.join().expect("the case can be played");
        println!("off by {step} s: {shares:.2?}");
        assert!(shares[0] < 0.75, "off by {step} s: it begins low, {shares:.2?}");
        assert!(shares[5] > 0.75, "off by {step} s: it ends, {shares:.2?}");
    }
}
