//! Tests with a discovery that answers each call, but only after seconds.

use super::*;

/// Time after which a change counts as delivered, from when discovery had it and could be reached, and the
/// shortest time after that within which requests to a draining upstream have to stop.
const NOTIFICATION_LIMIT: Duration = Duration::from_millis(6250);

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
/// answered. A change counts as delivered 6 s after discovery can be reached again.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_list_of_a_discovery_that_is_slow_after_an_outage_arrives_in_time() {
    for answer_time_ms in [0, 1900, 2500, 5000] {
        for outage_ms in [0, 1500, 8300, 20_700, 90_100] {
            check_notification_after_outage("automatic", answer_time_ms, outage_ms).await;
        }
    }
}

/// Guards against the same fault where the balancer asks for the list. It makes fewer calls.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_list_of_a_discovery_that_is_slow_after_an_outage_arrives_in_time_where_it_is_asked() {
    for answer_time_ms in [0, 1000, 3000] {
        for outage_ms in [0, 1500, 8300, 20_700, 22_800, 90_100] {
            check_notification_after_outage("subscribe", answer_time_ms, outage_ms).await;
        }
    }
}

async fn check_notification_after_outage(mode: &str, answer_time_ms: u64, outage_ms: u64) {
    let (driver, discovery) = driver_with_discovery(mode).await;
    let outage = Duration::from_millis(outage_ms);
    answer_late(discovery, 2, Instant::now() + outage, Duration::from_millis(answer_time_ms));

    sleep(outage).await;

    let time = wait_for_version(&driver, 2).await;
    assert!(
        time < NOTIFICATION_LIMIT,
        "answers after {answer_time_ms} ms, outage of {outage_ms} ms: {time:?}"
    );
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
            assert!(
                time < NOTIFICATION_LIMIT,
                "{poll_interval:?}, answers after {answer_time_ms} ms: {time:?}"
            );
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
            assert!(time < NOTIFICATION_LIMIT, "{mode}, list after {list_time_ms} ms: {time:?}");
        }
    }
}
