//! Slow start after a step of the wall clock: the start time of an upstream's process is reported by a clock
//! that differs from the clock of the proxy by seconds or by an hour.

mod common;

use common::*;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const UPSTREAMS: usize = 10;
/// Index of the upstream that restarts.
const RESTARTED: usize = 0;
const SLOW_START_MS: u64 = 3000;
/// Time between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(4);
/// Period over which the share of an upstream is measured.
const WINDOW: Duration = Duration::from_secs(1);
/// Number of windows before the restart.
const WARM_UP_WINDOWS: usize = 3;
/// How far the clock that reports the start time is ahead of the clock of the proxy, in seconds. Negative if
/// the reporting clock is behind.
const CLOCK_OFFSETS_S: [i64; 7] = [0, -7, -60, -3700, 7, 30, 3600];

/// A proxy, its upstreams, and the endpoint list that it watches.
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
        let config = ProxyConfig::new(&addresses).discovery(discovery.address).deadline_ms(1000).to_json();
        let guarantees = format!(r#""guarantees":{{"cold_from":0.1,"cold_ms":{SLOW_START_MS}}},"parties":"#);
        let proxy = ProxyProcess::launch(&config.replace(r#""parties":"#, &guarantees), 256);
        let watch = discovery.next_call().watch;
        let ready_endpoint = |(number, address): (usize, &SocketAddr)| {
            endpoint(&format!("s-{number}"), *address, EndpointState::Ready)
        };
        let endpoints: Vec<_> = addresses.iter().enumerate().map(ready_endpoint).collect();
        watch.send_line(&snapshot(2, &endpoints));
        wait_until("the proxy listens", || proxy.is_listening());
        let client = proxy.connect();
        Self { upstreams, client, watch, revision: 2, _proxy: proxy }
    }

    /// Reports that the restarted upstream started at this Unix time.
    fn report_start(&mut self, started_at_unix_ms: u64) {
        self.revision += 1;
        let entry = endpoint("s-0", self.upstreams[RESTARTED].address, EndpointState::Ready);
        let entry = entry.replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{started_at_unix_ms}"#));
        self.watch.send_line(&delta(self.revision, &[entry]));
    }

    /// Sends requests for one window. Returns the number of them that the restarted upstream got, as a
    /// multiple of the mean over all upstreams.
    fn relative_share(&mut self) -> f64 {
        let counts = |upstreams: &[StubUpstream]| -> Vec<usize> {
            upstreams.iter().map(|upstream| upstream.requests().len()).collect()
        };
        // An empty line keeps the watch alive and changes nothing.
        self.watch.send_line("");
        let before = counts(&self.upstreams);
        let window_started_at = std::time::Instant::now();
        while window_started_at.elapsed() < WINDOW {
            assert_eq!(self.client.exchange(&idempotent_request(5000)).status(), 200);
            std::thread::sleep(REQUEST_PAUSE);
        }
        let after = counts(&self.upstreams);
        let total: usize = after.iter().sum::<usize>() - before.iter().sum::<usize>();
        (after[RESTARTED] - before[RESTARTED]) as f64 * UPSTREAMS as f64 / total as f64
    }
}

fn unix_ms_now() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the system time is after 1970");
    now.as_millis() as i64
}

/// Returns the relative shares of the restarted upstream in successive windows after its restart. The start
/// time is reported by a clock that is ahead by `offset_s` seconds, and the same start time is reported again
/// before each window.
fn shares_after_restart(offset_s: i64) -> Vec<f64> {
    let mut scenario = Scenario::start();
    // The proxy needs to know the usual latency first; otherwise every upstream counts as fast.
    for _ in 0..WARM_UP_WINDOWS {
        scenario.relative_share();
    }
    let started_at_unix_ms = (unix_ms_now() + offset_s * 1000) as u64;
    (0..6)
        .map(|_| {
            scenario.report_start(started_at_unix_ms);
            scenario.relative_share()
        })
        .collect()
}

/// Guards against a slow start whose length depends on the agreement of the two clocks: it was skipped when
/// the reporting clock was behind, and did not end when that clock was ahead.
#[test]
fn slow_start_after_a_restart_begins_and_ends_with_any_offset_of_the_wall_clock() {
    let cases: Vec<_> = CLOCK_OFFSETS_S
        .into_iter()
        .map(|offset_s| (offset_s, std::thread::spawn(move || shares_after_restart(offset_s))))
        .collect();
    for (offset_s, case) in cases {
        let shares = case.join().expect("the case does not panic");
        println!("clock offset {offset_s} s: {shares:.2?}");
        assert!(shares[0] < 0.75, "clock offset {offset_s} s: the share should begin low: {shares:.2?}");
        assert!(shares[5] > 0.75, "clock offset {offset_s} s: slow start should have ended: {shares:.2?}");
    }
}
