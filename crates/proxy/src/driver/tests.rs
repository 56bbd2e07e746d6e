//! Tests of the driver between an upstream or a discovery on loopback, both of which the test plays, and a
//! client.

use super::endpoint_watch::{MAX_WATCH_BACKOFF, MIN_WATCH_BACKOFF, STABLE_WATCH_DURATION};
use super::*;
use crate::upstream::OutgoingRequest;
use balancer_core::{ClassId, TenantId};
use balancer_settings::Site;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

const LONG: Duration = Duration::from_secs(60);
const SEED: u64 = 7;
/// The head of a list or a watch.
const LIST_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The response of an upstream.
const EMPTY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Somewhat less than the 6 s after which a change counts as delivered although the watch failed.
const FOLLOWED_IN_TIME: Duration = Duration::from_millis(5900);

fn post_request(target: &'static str) -> IncomingRequest {
    IncomingRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        deadline: Instant::now() + LONG,
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

/// A driver that keeps a watch open by itself, and the socket of its discovery.
async fn watching_driver() -> (Rc<Driver>, TcpListener) {
    driver_with_discovery("automatic").await
}

/// A driver that gets its endpoint list in this way, by the settings, and the socket of its discovery.
async fn driver_with_discovery(mode: &str) -> (Rc<Driver>, TcpListener) {
    let discovery_settings = format!(r#""discovery":"{mode}","guarantees":{{"ask_every_ms":60000}}"#);
    let settings = format!(r#"{{"classes":[{{"name":"look"}}],{discovery_settings}}}"#);
    let site = balancer_settings::parse(&settings).unwrap();
    let listener = listen().await;
    let metrics = Rc::<Metrics>::default();
    let discovery = DiscoveryClient::new(listener.local_addr().unwrap(), &site, Rc::clone(&metrics));
    let balancer = Balancer::new(site.settings.clone(), SEED).unwrap();
    let upstreams = Upstreams::new(&site.settings, 8, 0, Rc::default());
    let polls_endpoints = site.settings.starts_watches;
    (
        Driver::start(balancer, upstreams, discovery, EndpointUpdate::failed(), polls_endpoints, metrics),
        listener,
    )
}

/// A driver whose only upstream is at this socket, with one connection to it at the most. Attempts are never
/// cancelled.
fn driver_with_one_connection(upstream: &TcpListener) -> Rc<Driver> {
    let endpoint = upstream.local_addr().unwrap();
    let class = r#"{"name":"book","aim_ms":60000,"hard_limit_ms":60000,"effect":"at_most_once"}"#;
    let rest = r#""limits":{"cancelling":false},"parties":[{"name":"acme","allowance_per_s":1000.0}]"#;
    let mut site: Site = balancer_settings::parse(&format!(r#"{{"classes":[{class}],{rest}}}"#)).unwrap();
    let metrics = Rc::<Metrics>::default();
    let discovery = DiscoveryClient::new(endpoint, &site, Rc::clone(&metrics));
    let entry = format!(r#"{{"uid":"s-0","endpoint":"{endpoint}","state":"Ready"}}"#);
    let cached_endpoints = discovery.read_cached(&format!(r#"{{"rev":1,"all":true,"targets":[{entry}]}}"#));
    site.settings.connect_timeout = LONG;
    let balancer = Balancer::new(site.settings.clone(), SEED).unwrap();
    let upstreams = Upstreams::new(&site.settings, 1, 0, Rc::default());
    Driver::start(balancer, upstreams, discovery, cached_endpoints, true, metrics)
}

/// Accepts the next call for a watch.
async fn accept_watch(discovery: &TcpListener) -> TcpStream {
    let (mut stream, _) = discovery.accept().await.unwrap();
    assert!(read(&mut stream).await.contains("stream=1"));
    stream
}

/// Reads what has come on a stream.
async fn read(stream: &mut TcpStream) -> String {
    let mut text = [0; 1024];
    let length = stream.read(&mut text).await.unwrap();
    String::from_utf8_lossy(&text[..length]).into_owned()
}

/// A change counts as delivered, whether it came or not, 6 s after a watch or a call failed in any way. The
/// next call has to come within that time, where lists are pushed as well as where they are polled.
#[tokio::test(flavor = "local", start_paused = true)]
async fn discovery_is_followed_in_time_whatever_failed_before() {
    for mode in ["automatic", "subscribe"] {
        let (_driver, discovery) = driver_with_discovery(mode).await;
        // A watch falls silent after its list, and so does the next one after its head.
        let mut first = accept_watch(&discovery).await;
        first.write_all(LIST_HEAD).await.unwrap();
        first.write_all(b"22\r\n{\"rev\":1,\"all\":true,\"targets\":[]}\n\r\n").await.unwrap();
        let silent_since = Instant::now();
        let mut second = accept_watch(&discovery).await;
        second.write_all(LIST_HEAD).await.unwrap();
        let _third = accept_watch(&discovery).await;
        let gap = silent_since.elapsed();
        assert!(gap < FOLLOWED_IN_TIME, "{mode}: {gap:?} after it fell silent");
        // Failures of all kinds, until the backoff has reached its maximum.
        for failure in 0..24 {
            let previous_call_at = Instant::now();
            let mut failing = accept_watch(&discovery).await;
            let gap = previous_call_at.elapsed();
            assert!(gap < FOLLOWED_IN_TIME, "{mode}, {failure}: {gap:?} after the one before");
            let response = match failure % 4 {
                0 => continue,
                1 => b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                2 => LIST_HEAD,
                _ => b"",
            };
            failing.write_all(response).await.unwrap();
            // The stream stays open until the other side closes it.
            spawn_local(async move { read(&mut failing).await });
        }
    }
}

/// What a watch misses counts as delivered: 6 s later if the watch fell silent, even if the next call has no
/// response, and at once if its connection was reset.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_watch_is_back_in_time() {
    let (_driver, discovery) = watching_driver().await;
    let mut first = accept_watch(&discovery).await;
    first.write_all(LIST_HEAD).await.unwrap();
    first.write_all(b"1\r\n\n\r\n").await.unwrap();
    let silent_since = Instant::now();
    // Calls without a response do not make the gap longer: discovery may be back at any time.
    let mut unanswered = Vec::new();
    for _ in 0..2 {
        unanswered.push(accept_watch(&discovery).await);
    }
    let unanswered_since = Instant::now();
    let mut third = accept_watch(&discovery).await;
    assert!(unanswered_since.elapsed() < Duration::from_millis(250), "{:?}", unanswered_since.elapsed());
    let gap = silent_since.elapsed();
    assert!(gap < Duration::from_millis(5500), "{gap:?}");

    // A watch that has lasted is begun anew at once.
    third.write_all(LIST_HEAD).await.unwrap();
    sleep(STABLE_WATCH_DURATION).await;
    drop(third);
    let reset_at = Instant::now();
    accept_watch(&discovery).await;
    let gap = reset_at.elapsed();
    assert!(gap < Duration::from_millis(50), "{gap:?}");

    // One that ends as soon as it has begun is begun anew after a backoff, still well within the 250 ms in
    // which requests to a draining upstream have to stop.
    let ended_at = Instant::now();
    accept_watch(&discovery).await;
    let gap = ended_at.elapsed();
    assert!(gap >= MIN_WATCH_BACKOFF && gap < Duration::from_millis(100), "{gap:?}");

    // The backoff grows while that repeats.
    for _ in 0..4 {
        accept_watch(&discovery).await;
    }
    let ended_at = Instant::now();
    accept_watch(&discovery).await;
    assert!(ended_at.elapsed() >= MAX_WATCH_BACKOFF - Duration::from_millis(50));
}

/// A list without an end, sent as fast as it is read, is given up, and discovery is called again, well within
/// the time in which a change counts as delivered.
#[tokio::test(flavor = "local")]
async fn a_list_without_an_end_is_given_up_in_time() {
    let (_driver, discovery) = watching_driver().await;
    let mut endless = accept_watch(&discovery).await;
    let begun_at = Instant::now();
    let writing = spawn_local(async move {
        endless.write_all(LIST_HEAD).await?;
        endless.write_all(b"23\r\n{\"rev\":1,\n \"all\":true,\n \"targets\":[\r\n").await?;
        let entry = "\n  {\n    \"uid\": \"s-\\\"]}\",\n    \"state\": \"Ready\"\n  },".repeat(600);
        let chunk = format!("{:x}\r\n{entry}\r\n", entry.len());
        loop {
            endless.write_all(chunk.as_bytes()).await?;
        }
        #[expect(unreachable_code, reason = "it names the type")]
        std::io::Result::Ok(())
    });
    accept_watch(&discovery).await;
    let gap = begun_at.elapsed();
    assert!(gap < Duration::from_secs(4), "{gap:?}");
    writing.abort();
}

/// Where attempts may not be cancelled, one that waits for a connection is not sent once its client has
/// disconnected, while one that was sent goes on.
#[tokio::test(flavor = "local")]
async fn a_request_whose_client_left_while_it_waited_is_not_sent() {
    let upstream = listen().await;
    let driver = driver_with_one_connection(&upstream);
    let first = driver.submit(post_request("/first"));
    let (mut stream, _) = upstream.accept().await.unwrap();
    assert!(read(&mut stream).await.starts_with("POST /first"));
    // The only connection is in use: both wait for it.
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

/// At the end of the process, a client is told that its request failed only where it may have been executed.
#[tokio::test(flavor = "local")]
async fn a_request_that_was_never_sent_is_rejected_and_not_failed_when_all_attempts_are_aborted() {
    let upstream = listen().await;
    let driver = driver_with_one_connection(&upstream);
    let sent = driver.submit(post_request("/sent"));
    let (mut stream, _) = upstream.accept().await.unwrap();
    assert!(read(&mut stream).await.starts_with("POST /sent"));
    // The only connection is in use.
    let waiting = driver.submit(post_request("/waiting"));
    yield_now().await;

    driver.abort_all();

    assert!(matches!(sent.response().await, FinalResponse::Failed));
    assert!(matches!(waiting.response().await, FinalResponse::Rejected { .. }));
    let later = driver.submit(post_request("/later"));
    assert!(matches!(later.response().await, FinalResponse::Rejected { .. }));
}

/// A list of 3,200 upstreams, about 480 KB.
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

/// Sends a list in pieces that take this long together, with a pause in the middle.
async fn send_slowly(watch: &mut TcpStream, list: &[u8], duration: Duration, pause: Duration) {
    const PIECE_BYTES: usize = 1400;
    let pieces = list.len().div_ceil(PIECE_BYTES);
    watch.write_all(LIST_HEAD).await.unwrap();
    for (number, piece) in list.chunks(PIECE_BYTES).enumerate() {
        let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        if watch.write_all(&chunk).await.is_err() {
            return;
        }
        sleep(duration / pieces as u32).await;
        if number == pieces / 2 {
            sleep(pause).await;
        }
    }
}

/// Discovery may be slow, and a fleet has thousands of upstreams: a list that is broken off is never learned.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_long_list_that_keeps_arriving_is_followed_to_its_end() {
    for seconds in [1, 2, 3, 4, 8] {
        let (driver, discovery) = watching_driver().await;
        let mut watch = accept_watch(&discovery).await;

        send_slowly(&mut watch, &long_list(seconds), Duration::from_secs(seconds), Duration::ZERO).await;
        sleep(Duration::from_millis(100)).await;

        assert_eq!(driver.list_version(), seconds, "a list that arrives over {seconds} s");
    }
}

/// A stall in the middle of a list is silence, as between two lists.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_long_list_that_stalls_or_trickles_in_is_given_up_in_time() {
    let (driver, discovery) = watching_driver().await;
    let mut stalling = accept_watch(&discovery).await;
    let list = long_list(9);
    let second = Duration::from_secs(1);
    let sending = spawn_local(async move { send_slowly(&mut stalling, &list, second, 3 * second).await });
    let began_at = Instant::now();
    let mut trickling = accept_watch(&discovery).await;
    assert!(began_at.elapsed() < 4 * second, "stalling: {:?}", began_at.elapsed());
    sending.abort();

    trickling.write_all(LIST_HEAD).await.unwrap();
    let began_at = Instant::now();
    let sending = spawn_local(async move {
        for byte in long_list(9) {
            if trickling.write_all(format!("1\r\n{}\r\n", byte as char).as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    });
    accept_watch(&discovery).await;
    assert!(began_at.elapsed() < 3 * second, "trickling: {:?}", began_at.elapsed());
    sending.abort();
    assert_eq!(driver.list_version(), 0);
}

/// Where a call gets no response, several are made at once, and each of them is given up by itself.
#[tokio::test(flavor = "local", start_paused = true)]
async fn calls_to_discovery_that_are_given_up_count_as_failed() {
    for mode in ["automatic", "subscribe"] {
        let (driver, discovery) = driver_with_discovery(mode).await;
        let mut unanswered = Vec::new();
        for _ in 0..3 {
            unanswered.push(accept_watch(&discovery).await);
        }
        // Longer than any call is waited for.
        sleep(Duration::from_secs(3)).await;

        let failed = driver.metrics.discovery_calls_failed.get();
        let calls = driver.metrics.discovery_calls.get();
        assert!(failed >= 2 && failed <= calls, "{mode}: {failed} of {calls}");
    }
}

/// The list that a process knows at its start did not come from discovery.
#[tokio::test(flavor = "local")]
async fn the_cached_list_does_not_count_as_received() {
    let upstream = listen().await;

    let driver = driver_with_one_connection(&upstream);

    assert_eq!(driver.list_version(), 1);
    assert_eq!(driver.metrics.endpoint_lists.get(), 0);
    assert_eq!(driver.metrics.endpoint_list_bytes.get(), 0);
    assert_eq!(driver.metrics.endpoint_list_version.get(), 1);
}
