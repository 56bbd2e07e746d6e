//! Tests of the driver. Each test plays the client and, on a loopback socket, an upstream or discovery.

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
/// A response of an upstream without a body.
const EMPTY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Maximum time between two calls to discovery. Somewhat less than 6 s, after which a change counts as
/// delivered although the watch failed.
const MAX_CALL_GAP: Duration = Duration::from_millis(5900);

fn post_request(target: &'static str) -> IncomingRequest {
    IncomingRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        deadline: Instant::now() + LONG_TIMEOUT,
        expected_work_ms: None,
        is_client_retry: false,
        outgoing: OutgoingRequest {
            method: Method::POST,
            target: Uri::from_static(target),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        },
    }
}

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

/// Waits for bytes on a stream and returns what one read yields, at most 1024 bytes.
async fn read(stream: &mut TcpStream) -> String {
    let mut text = [0; 1024];
    let length = stream.read(&mut text).await.unwrap();
    String::from_utf8_lossy(&text[..length]).into_owned()
}

/// A change counts as delivered 6 s after a watch or a call failed in any way, whether the change arrived or
/// not. The next call has to follow within that time both where the driver starts watches ("automatic") and
/// where the balancer does ("subscribe").
#[tokio::test(flavor = "local", start_paused = true)]
async fn discovery_is_called_again_in_time_after_any_failure() {
    for mode in ["automatic", "subscribe"] {
        let (_driver, discovery) = driver_with_discovery(mode).await;
        // The first watch falls silent after its list, the second one after the head of its response.
        let mut first = accept_watch(&discovery).await;
        first.write_all(LIST_RESPONSE_HEAD).await.unwrap();
        first.write_all(b"22\r\n{\"rev\":1,\"all\":true,\"targets\":[]}\n\r\n").await.unwrap();
        let silent_since = Instant::now();
        let mut second = accept_watch(&discovery).await;
        second.write_all(LIST_RESPONSE_HEAD).await.unwrap();
        let _third = accept_watch(&discovery).await;
        let gap = silent_since.elapsed();
        assert!(gap < MAX_CALL_GAP, "{mode}: {gap:?} after the watch fell silent");
        // All kinds of failures occur in turn, until the backoff has reached its maximum.
        for failure in 0..24 {
            let previous_call_at = Instant::now();
            let mut failing = accept_watch(&discovery).await;
            let gap = previous_call_at.elapsed();
            assert!(gap < MAX_CALL_GAP, "{mode}, failure {failure}: {gap:?} after the previous call");
            let response = match failure % 4 {
                0 => continue,
                1 => b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                2 => LIST_RESPONSE_HEAD,
                _ => b"",
            };
            failing.write_all(response).await.unwrap();
            // Keeps the stream open until the driver closes it.
            spawn_local(async move { read(&mut failing).await });
        }
    }
}

/// A change that a broken watch misses counts as delivered: 6 s after the watch fell silent, even if the next
/// call gets no response, or at once if the connection of the watch was reset.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_watch_that_broke_is_replaced_in_time() {
    let (_driver, discovery) = watching_driver().await;
    let mut first = accept_watch(&discovery).await;
    first.write_all(LIST_RESPONSE_HEAD).await.unwrap();
    first.write_all(b"1\r\n\n\r\n").await.unwrap();
    let silent_since = Instant::now();
    // Calls without a response do not lengthen the gap, since discovery may come back at any time.
    let mut unanswered = Vec::new();
    for _ in 0..2 {
        unanswered.push(accept_watch(&discovery).await);
    }
    let unanswered_since = Instant::now();
    let mut third = accept_watch(&discovery).await;
    assert!(unanswered_since.elapsed() < Duration::from_millis(250), "{:?}", unanswered_since.elapsed());
    let gap = silent_since.elapsed();
    assert!(gap < Duration::from_millis(5500), "{gap:?}");

    // A watch that has lasted long enough is replaced at once.
    third.write_all(LIST_RESPONSE_HEAD).await.unwrap();
    sleep(STABLE_WATCH_DURATION).await;
    drop(third);
    let reset_at = Instant::now();
    accept_watch(&discovery).await;
    let gap = reset_at.elapsed();
    assert!(gap < Duration::from_millis(50), "{gap:?}");

    // A watch that ends as soon as it has started is replaced after a backoff, still well within the 250 ms
    // within which requests to a draining upstream have to stop.
    let ended_at = Instant::now();
    accept_watch(&discovery).await;
    let gap = ended_at.elapsed();
    assert!(gap >= MIN_WATCH_BACKOFF && gap < Duration::from_millis(100), "{gap:?}");

    // The backoff grows while watches keep ending at once.
    for _ in 0..4 {
        accept_watch(&discovery).await;
    }
    let ended_at = Instant::now();
    accept_watch(&discovery).await;
    assert!(ended_at.elapsed() >= MAX_WATCH_BACKOFF - Duration::from_millis(50));
}

/// The driver gives up a list without an end that is sent as fast as it is read, and calls discovery again
/// well before a change counts as delivered.
#[tokio::test(flavor = "local")]
async fn an_endless_list_is_given_up_in_time() {
    let (_driver, discovery) = watching_driver().await;
    let mut endless = accept_watch(&discovery).await;
    let started_at = Instant::now();
    let writing = spawn_local(async move {
        endless.write_all(LIST_RESPONSE_HEAD).await?;
        endless.write_all(b"23\r\n{\"rev\":1,\n \"all\":true,\n \"targets\":[\r\n").await?;
        let entry = "\n  {\n    \"uid\": \"s-\\\"]}\",\n    \"state\": \"Ready\"\n  },".repeat(600);
        let chunk = format!("{:x}\r\n{entry}\r\n", entry.len());
        loop {
            endless.write_all(chunk.as_bytes()).await?;
        }
        #[expect(unreachable_code, reason = "gives the type of the result")]
        std::io::Result::Ok(())
    });
    accept_watch(&discovery).await;
    let gap = started_at.elapsed();
    assert!(gap < Duration::from_secs(4), "{gap:?}");
    writing.abort();
}

/// Where the settings forbid cancelling, an attempt that waits for a connection is still not sent once its
/// client has disconnected, while an attempt that has been sent goes on.
#[tokio::test(flavor = "local")]
async fn a_request_whose_client_disconnected_while_it_waited_is_not_sent() {
    let upstream = listen().await;
    let driver = driver_with_one_connection(&upstream);
    let first = driver.submit(post_request("/first"));
    let (mut stream, _) = upstream.accept().await.unwrap();
    assert!(read(&mut stream).await.starts_with("POST /first"));
    // The first request uses the only connection, so both of these wait for it.
    let second = driver.submit(post_request("/second"));
    let third = driver.submit(post_request("/third"));
    yield_now().await;

    drop(second);
    drop(first);
    stream.write_all(EMPTY_RESPONSE).await.unwrap();
    let next = read(&mut stream).await;
    stream.write_all(EMPTY_RESPONSE).await.unwrap();

    assert!(next.starts_with("POST /third"), "{next:?}");
    assert!(matches!(third.response().await, FinalResponse::Served(_)));
}

/// At the end of the process, a request fails only if it may have been executed. A client may send a rejected
/// request again, but not one that failed.
#[tokio::test(flavor = "local")]
async fn aborting_all_attempts_rejects_requests_that_were_never_sent() {
    let upstream = listen().await;
    let driver = driver_with_one_connection(&upstream);
    let sent = driver.submit(post_request("/sent"));
    let (mut stream, _) = upstream.accept().await.unwrap();
    assert!(read(&mut stream).await.starts_with("POST /sent"));
    // The only connection is in use, so this request waits for it.
    let waiting = driver.submit(post_request("/waiting"));
    yield_now().await;

    driver.abort_all_attempts();

    assert!(matches!(sent.response().await, FinalResponse::Failed));
    assert!(matches!(waiting.response().await, FinalResponse::Rejected { .. }));
    let later = driver.submit(post_request("/later"));
    assert!(matches!(later.response().await, FinalResponse::Rejected { .. }));
}

/// Returns an endpoint list of 3,200 upstreams, about 480 KB.
fn long_list(revision: u64) -> Vec<u8> {
    let entry = |number| {
        format!(
            r#"{{"uid":"s-{number:08x}","endpoint":"10.1.{}.{}:3000","az":"a","model":"m2","pod_group":3,"state":"Ready","capacity_hint":1.0,"boot_ms":0}}"#,
            number / 250,
            number % 250
        )
    };
    let entries: Vec<_> = (0..3200).map(entry).collect();
    format!(r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#, entries.join(",")).into_bytes()
}

/// Sends a list in pieces over `duration`, with an additional pause in the middle.
async fn send_list_slowly(watch: &mut TcpStream, list: &[u8], duration: Duration, pause: Duration) {
    const PIECE_BYTES: usize = 1400;
    let piece_count = list.len().div_ceil(PIECE_BYTES);
    watch.write_all(LIST_RESPONSE_HEAD).await.unwrap();
    for (number, piece) in list.chunks(PIECE_BYTES).enumerate() {
        let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        if watch.write_all(&chunk).await.is_err() {
            return;
        }
        sleep(duration / piece_count as u32).await;
        if number == piece_count / 2 {
            sleep(pause).await;
        }
    }
}

/// Discovery may be slow, and a list may have thousands of upstreams. If the driver gave up a list that keeps
/// arriving, it would never get a complete one.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_long_list_that_keeps_arriving_is_read_to_its_end() {
    for seconds in [1, 2, 3, 4, 8] {
        let (driver, discovery) = watching_driver().await;
        let mut watch = accept_watch(&discovery).await;

        send_list_slowly(&mut watch, &long_list(seconds), Duration::from_secs(seconds), Duration::ZERO).await;
        sleep(Duration::from_millis(100)).await;

        assert_eq!(driver.endpoint_list_version(), seconds, "a list that takes {seconds} s to arrive");
    }
}

/// Guards against a watch that is ended while its list still arrives, because the balancer calls again for
/// lack of a list. The next watch would start the same list from its beginning.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_long_list_is_read_to_its_end_although_the_balancer_asks_for_a_watch_again() {
    for poll_interval_ms in [200, 2_000, 10_000] {
        let poll_interval = Duration::from_millis(poll_interval_ms);
        let (driver, discovery) = driver_with_poll_interval("subscribe", poll_interval).await;
        spawn_local(async move {
            loop {
                let mut watch = accept_watch(&discovery).await;
                spawn_local(async move {
                    send_list_slowly(&mut watch, &long_list(2), Duration::from_secs(8), Duration::ZERO).await;
                    sleep(LONG_TIMEOUT).await;
                });
            }
        });

        let time = wait_for_version(&driver, 2).await;
        assert!(time < Duration::from_secs(10), "poll interval {poll_interval:?}: {time:?}");
        assert_eq!(driver.metrics.discovery_calls.get(), 1, "poll interval {poll_interval:?}");
    }
}

/// A stall in the middle of a list counts as silence, just as one between two lists does. A list whose mean
/// rate is too low is given up as well.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_long_list_that_stalls_or_arrives_too_slowly_is_given_up_in_time() {
    let (driver, discovery) = watching_driver().await;
    let mut stalling = accept_watch(&discovery).await;
    let list = long_list(9);
    let second = Duration::from_secs(1);
    let sending =
        spawn_local(async move { send_list_slowly(&mut stalling, &list, second, 3 * second).await });
    let started_at = Instant::now();
    let mut slow = accept_watch(&discovery).await;
    assert!(started_at.elapsed() < 4 * second, "stalling list: {:?}", started_at.elapsed());
    sending.abort();

    slow.write_all(LIST_RESPONSE_HEAD).await.unwrap();
    let started_at = Instant::now();
    let sending = spawn_local(async move {
        for byte in long_list(9) {
            if slow.write_all(format!("1\r\n{}\r\n", byte as char).as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    });
    accept_watch(&discovery).await;
    assert!(started_at.elapsed() < 3 * second, "slow list: {:?}", started_at.elapsed());
    sending.abort();
    assert_eq!(driver.endpoint_list_version(), 0);
}

/// Starts a stand-in for discovery that answers each call with a list of version `version`, `answer_time`
/// after the call. It never answers the calls that arrive before `answers_from`.
fn answer_late(discovery: TcpListener, version: u64, answers_from: Instant, answer_time: Duration) {
    spawn_local(async move {
        loop {
            let mut call = accept_watch(&discovery).await;
            let is_answered = Instant::now() >= answers_from;
            spawn_local(async move {
                sleep(answer_time).await;
                if is_answered {
                    let list = format!(r#"{{"rev":{version},"all":true,"targets":[]}}"#);
                    let chunk = format!("{:x}\r\n{list}\r\n", list.len());
                    // Fails if the driver has given up the call.
                    let _ = call.write_all(&[LIST_RESPONSE_HEAD, chunk.as_bytes()].concat()).await;
                }
                sleep(LONG_TIMEOUT).await;
            });
        }
    });
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

/// Guards against a driver that never hears from a discovery that answers each call after seconds, because it
/// gives up each call before its answer. A change counts as delivered 4 s after the address of discovery has
/// changed.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_list_of_a_slow_discovery_at_a_new_address_arrives_in_time() {
    for answer_time_ms in [500, 1900, 2500, 3900] {
        let (driver, old_discovery) = watching_driver().await;
        let mut old_watch = accept_watch(&old_discovery).await;
        old_watch.write_all(LIST_RESPONSE_HEAD).await.unwrap();
        sleep(STABLE_WATCH_DURATION).await;
        let new_discovery = listen().await;
        let new_address = new_discovery.local_addr().unwrap();
        answer_late(new_discovery, 2, Instant::now(), Duration::from_millis(answer_time_ms));

        driver.set_discovery_address(new_address);

        let time = wait_for_version(&driver, 2).await;
        assert!(time < Duration::from_secs(4), "answers after {answer_time_ms} ms: {time:?}");
    }
}

/// Guards against the same fault after an outage, in which calls that were made during the outage are never
/// answered. A change counts as delivered 6 s after discovery can be reached again, and requests to a
/// draining upstream have to stop within another 250 ms.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_list_of_a_discovery_that_is_slow_after_an_outage_arrives_in_time() {
    for answer_time_ms in [0, 1900, 2500, 5000] {
        for outage_ms in [0, 1500, 8300, 90_100] {
            let (driver, discovery) = watching_driver().await;
            let outage = Duration::from_millis(outage_ms);
            answer_late(discovery, 2, Instant::now() + outage, Duration::from_millis(answer_time_ms));

            sleep(outage).await;

            let time = wait_for_version(&driver, 2).await;
            let limit = Duration::from_millis(6250);
            assert!(time < limit, "answers after {answer_time_ms} ms, outage of {outage_ms} ms: {time:?}");
        }
    }
}

/// Guards against a balancer that asks for the list and never hears from a discovery that answers each call
/// after seconds, because it gives up each call before its answer, however often it calls. A change counts as
/// delivered 6 s after discovery had it, and requests to a draining upstream have to stop within another
/// 250 ms.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_list_of_a_slow_discovery_arrives_in_time_where_the_balancer_asks_for_it() {
    for poll_interval_ms in [200, 2_000, 10_000] {
        for answer_time_ms in [900, 1500, 3000, 5000] {
            let poll_interval = Duration::from_millis(poll_interval_ms);
            let (driver, discovery) = driver_with_poll_interval("subscribe", poll_interval).await;
            answer_late(discovery, 2, Instant::now(), Duration::from_millis(answer_time_ms));

            let time = wait_for_version(&driver, 2).await;
            let limit = Duration::from_millis(6250);
            assert!(time < limit, "{poll_interval:?}, answers after {answer_time_ms} ms: {time:?}");
        }
    }
}

/// Guards against the same fault after an outage, in which calls that were made during the outage are never
/// answered.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_list_of_a_discovery_that_is_slow_after_an_outage_arrives_in_time_where_it_is_asked() {
    for answer_time_ms in [0, 1000, 2000] {
        for outage_ms in [0, 1500, 8300, 20_700, 90_100] {
            let (driver, discovery) = driver_with_discovery("subscribe").await;
            let outage = Duration::from_millis(outage_ms);
            answer_late(discovery, 2, Instant::now() + outage, Duration::from_millis(answer_time_ms));

            sleep(outage).await;

            let time = wait_for_version(&driver, 2).await;
            let limit = Duration::from_millis(6250);
            assert!(time < limit, "answers after {answer_time_ms} ms, outage of {outage_ms} ms: {time:?}");
        }
    }
}

/// Guards against a change of the address that ends the calls to the previous one shortly before their answer.
/// With changes every 2 s, a discovery that answers each call after 2.5 s was never heard. A change counts as
/// delivered 4 s after the address of discovery has changed.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_list_of_a_slow_discovery_arrives_in_time_although_its_address_changes_again() {
    let answer_time = Duration::from_millis(2500);
    for mode in ["automatic", "subscribe"] {
        let (driver, old_discovery) = driver_with_discovery(mode).await;
        let mut old_watch = accept_watch(&old_discovery).await;
        old_watch.write_all(LIST_RESPONSE_HEAD).await.unwrap();
        sleep(STABLE_WATCH_DURATION).await;
        let changed_at = Instant::now();
        for version in 2..=3 {
            let discovery = listen().await;
            let address = discovery.local_addr().unwrap();
            answer_late(discovery, version, Instant::now(), answer_time);
            driver.set_discovery_address(address);
            sleep(Duration::from_secs(2)).await;
        }

        assert_eq!(driver.endpoint_list_version(), 2, "{mode}: {:?}", changed_at.elapsed());

        let time = wait_for_version(&driver, 3).await;
        assert!(time < Duration::from_secs(1), "{mode}: {time:?}");
    }
}

/// Guards against a driver that never hears from a discovery that responds at once but sends its first list
/// after seconds, because it gives up each watch before its list.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_first_list_that_arrives_long_after_the_head_of_the_response_is_used_in_time() {
    for mode in ["automatic", "subscribe"] {
        for list_time_ms in [2000, 3000] {
            let (driver, discovery) = driver_with_discovery(mode).await;
            spawn_local(async move {
                loop {
                    let mut watch = accept_watch(&discovery).await;
                    spawn_local(async move {
                        watch.write_all(LIST_RESPONSE_HEAD).await.unwrap();
                        sleep(Duration::from_millis(list_time_ms)).await;
                        let list = b"22\r\n{\"rev\":2,\"all\":true,\"targets\":[]}\n\r\n";
                        // Fails if the driver has given up the watch.
                        let _ = watch.write_all(list).await;
                        sleep(LONG_TIMEOUT).await;
                    });
                }
            });

            let time = wait_for_version(&driver, 2).await;
            let limit = Duration::from_millis(6250);
            assert!(time < limit, "{mode}, list after {list_time_ms} ms: {time:?}");
        }
    }
}

/// While calls get no response, further ones are made, and each of them times out separately.
#[tokio::test(flavor = "local", start_paused = true)]
async fn calls_to_discovery_that_are_given_up_count_as_failed() {
    for mode in ["automatic", "subscribe"] {
        let (driver, discovery) = driver_with_discovery(mode).await;
        let mut unanswered = Vec::new();
        for _ in 0..3 {
            unanswered.push(accept_watch(&discovery).await);
        }
        // Longer than the timeout of a call.
        sleep(Duration::from_secs(3)).await;

        let failed = driver.metrics.discovery_calls_failed.get();
        let calls = driver.metrics.discovery_calls.get();
        assert!(failed >= 2 && failed <= calls, "{mode}: {failed} of {calls}");
    }
}

/// The cached endpoint list comes from the configuration, so the metrics of lists read from discovery leave
/// it out.
#[tokio::test(flavor = "local")]
async fn the_cached_list_does_not_count_as_read_from_discovery() {
    let upstream = listen().await;

    let driver = driver_with_one_connection(&upstream);

    assert_eq!(driver.endpoint_list_version(), 1);
    assert_eq!(driver.metrics.endpoint_lists.get(), 0);
    assert_eq!(driver.metrics.endpoint_list_bytes.get(), 0);
    assert_eq!(driver.metrics.endpoint_list_version.get(), 1);
}
