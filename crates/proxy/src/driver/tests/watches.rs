//! Tests of watches: when they are replaced, how long a list may take, and what the metrics count.

use super::*;

/// Maximum time between two calls to discovery. Somewhat less than 6 s, after which a change counts as
/// delivered although the watch failed.
const MAX_CALL_GAP: Duration = Duration::from_millis(5900);

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
