//! Extreme values in every key of the configuration. A process either refuses to start and names the key in
//! its log, or it serves requests, reloads its configuration and shuts down without a panic.
//!
//! By default, and in CI, a sample of the cases runs, drawn from a fixed seed. To run all cases:
//! `EXTREME_VALUES=all cargo test --release -p balancer-proxy --test extreme_values -- --nocapture`.

mod common;

use common::*;
use serde_json::{Value, json};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Seed for the sample of cases.
const SEED: u64 = 27;
/// Number of cases in the sample, the value pairs included.
const SAMPLED_CASES: usize = 120;
/// Number of cases that run at once, each with a process of its own.
const PARALLEL_CASES: usize = 12;
/// A period that contains several ticks of the decision logic.
const SEVERAL_TICKS: Duration = Duration::from_millis(80);
/// Limit on the open files of each process, including its sockets.
const SOCKETS: usize = 256;
/// Text in the log of a process that has panicked.
const PANIC_TEXT: &str = "panicked";

/// Values for keys that take a number, up to the limits of a 64-bit float.
const NUMBERS: [&str; 19] = [
    "0",
    "5e-324",
    "1e-300",
    "1e-9",
    "1e-3",
    "0.5",
    "1",
    "20",
    "49.9",
    "65536",
    "1e9",
    "1e18",
    "1.8e22",
    "1.9e22",
    "1e300",
    "1.7976931348623157e308",
    "-0.0",
    "-1",
    "-1e300",
];
/// Values for keys that take an integer: the bounds of the integer types, values outside them and a fraction.
const INTEGERS: [&str; 14] = [
    "0",
    "1",
    "2",
    "255",
    "256",
    "65535",
    "65536",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "-1",
    "1.5",
];
const STRINGS: [&str; 4] = [r#""""#, r#""unknown""#, r#""all""#, "7"];
const BOOLEANS: [&str; 3] = ["true", "false", "1"];

/// Keys that take a number.
const NUMBER_KEYS: [&str; 35] = [
    "/settings/classes/0/aim_ms",
    "/settings/classes/0/aim_stretch",
    "/settings/classes/0/hard_limit_ms",
    "/settings/classes/0/worth",
    "/settings/classes/0/late_worth",
    "/settings/classes/2/key_ttl_ms",
    "/settings/classes/2/aim_ms",
    "/settings/classes/2/hard_limit_ms",
    "/settings/parties/0/allowance_per_s",
    "/settings/guarantees/answer_slack_ms",
    "/settings/guarantees/ask_every_ms",
    "/settings/guarantees/cold_from",
    "/settings/guarantees/cold_ms",
    "/settings/guarantees/drain_grace_ms",
    "/settings/guarantees/fall_multiple",
    "/settings/guarantees/overload_for_ms",
    "/settings/limits/conn_idle_ms",
    "/settings/limits/connect_timeout_ms",
    "/settings/limits/cpu_us_per_request",
    "/settings/limits/cpu_us_per_s",
    "/settings/limits/max_retry_after_ms",
    "/settings/over_share_worth",
    "/settings/tick_ms",
    "/settings/goal/slow_end",
    "/settings/goal/tail_miss",
    "/settings/prices/connection",
    "/settings/prices/cross_zone",
    "/settings/prices/handshake",
    "/settings/prices/late_fail",
    "/settings/prices/probe",
    "/settings/prices/waste",
    "/limits/cores",
    "/known/targets/0/capacity_hint",
    "/known/targets/0/boot_ms",
    "/known/targets/0/pod_group",
];
/// Keys that take an integer.
const INTEGER_KEYS: [&str; 9] = [
    "/settings/balancers",
    "/settings/me",
    "/settings/locality",
    "/settings/limits/max_streams",
    "/settings/limits/try_limit",
    "/settings/limits/most_held",
    "/limits/memory_mb",
    "/limits/sockets",
    "/known/rev",
];
/// Keys that take a string.
const STRING_KEYS: [&str; 8] = [
    "/settings/discovery",
    "/settings/weight_kind",
    "/settings/worth_by",
    "/settings/telemetry/how",
    "/settings/telemetry/fields/0",
    "/settings/classes/2/effect",
    "/settings/classes/2/dedup_scope",
    "/settings/kind_of_service",
];
/// Keys that take a boolean.
const BOOLEAN_KEYS: [&str; 8] = [
    "/settings/limits/cancelling",
    "/settings/limits/second_copies",
    "/settings/limits/may_probe",
    "/settings/limits/retry_after",
    "/settings/limits/peers",
    "/settings/classes/0/streamed",
    "/settings/clients/marks_retry",
    "/settings/extra/warm_keys",
];
/// Pairs of values that are valid one by one but unusual in combination.
const VALUE_PAIRS: [[(&str, &str); 2]; 7] = [
    [("/settings/classes/0/aim_ms", "5000"), ("/settings/classes/0/hard_limit_ms", "100")],
    [("/settings/classes/0/aim_ms", "1e300"), ("/settings/classes/0/hard_limit_ms", "1e300")],
    [("/settings/guarantees/cold_from", "50"), ("/settings/guarantees/cold_ms", "0")],
    [("/settings/guarantees/fall_multiple", "0"), ("/settings/guarantees/cold_from", "0")],
    [("/settings/guarantees/fall_multiple", "1e300"), ("/settings/guarantees/cold_ms", "1e300")],
    [("/settings/limits/connect_timeout_ms", "1e300"), ("/settings/limits/conn_idle_ms", "1e300")],
    [("/settings/parties/0/allowance_per_s", "1e308"), ("/settings/parties/1/allowance_per_s", "1e308")],
];

/// Changes to the valid configuration: pairs of a key, as a JSON pointer, and its new value.
type Case = Vec<(&'static str, &'static str)>;

fn all_cases() -> Vec<Case> {
    let mut cases: Vec<Case> = VALUE_PAIRS.iter().map(|pair| pair.to_vec()).collect();
    for (keys, values) in [
        (&NUMBER_KEYS[..], &NUMBERS[..]),
        (&INTEGER_KEYS[..], &INTEGERS[..]),
        (&STRING_KEYS[..], &STRINGS[..]),
        (&BOOLEAN_KEYS[..], &BOOLEANS[..]),
    ] {
        for key in keys {
            cases.extend(values.iter().map(|value| vec![(*key, *value)]));
        }
    }
    cases
}

/// Returns the cases to run: all of them if `EXTREME_VALUES` is `all`, otherwise the sample.
fn selected_cases() -> Vec<Case> {
    let mut cases = all_cases();
    if std::env::var("EXTREME_VALUES").is_ok_and(|value| value == "all") {
        return cases;
    }
    fastrand::Rng::with_seed(SEED).shuffle(&mut cases[VALUE_PAIRS.len()..]);
    cases.truncate(SAMPLED_CASES);
    cases
}

/// Returns a configuration in which every key has a valid value. One of its upstreams is in slow start.
fn valid_configuration(upstream: &StubUpstream) -> Value {
    let config_json = ProxyConfig::new(&[upstream.address, upstream.address]).deadline_ms(800).to_json();
    let mut configuration: Value = serde_json::from_str(&config_json).unwrap();
    let settings = &mut configuration["settings"];
    settings["guarantees"] = json!({
        "answer_slack_ms": 20.0, "ask_every_ms": 10000.0, "cold_from": 0.2, "cold_ms": 24000.0,
        "drain_grace_ms": 250.0, "fall_multiple": 2.5, "overload_for_ms": 3000.0,
    });
    settings["parties"] = json!([
        {"name": "acme", "allowance_per_s": 1000.0, "share": 0.5},
        {"name": "other", "allowance_per_s": 10.0, "share": 0.5},
    ]);
    settings["telemetry"] = json!({"how": "inline", "fields": ["load_share", "concurrent"]});
    for name in ["goal", "prices", "clients", "extra"] {
        settings[name] = json!({});
    }
    settings["weight_kind"] = json!("live");
    configuration["known"]["targets"][0]["boot_ms"] = json!(u64::MAX / 2);
    configuration
}

/// Sets the value at a JSON pointer, and adds the last key if it is missing.
fn set_value(configuration: &mut Value, pointer: &str, value: &str) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let value = serde_json::from_str(value).unwrap_or_else(|_| panic!("{value} is not a JSON value"));
    match configuration.pointer_mut(parent).unwrap_or_else(|| panic!("{parent} is not in the configuration"))
    {
        Value::Array(entries) => entries[key.parse::<usize>().unwrap()] = value,
        Value::Object(entries) => {
            entries.insert(key.to_owned(), value);
        }
        other => panic!("{pointer}: {other} is neither an array nor an object"),
    }
}

/// Runs a case. Returns the reason why it failed, or `None` if it passed.
fn run_case(case: &Case, configuration: &Value) -> Option<String> {
    let mut proxy = ProxyProcess::launch(&configuration.to_string(), SOCKETS);
    wait_until("the process listens or has ended", || proxy.is_listening() || !proxy.is_running());
    let failure = if proxy.is_listening() {
        check_serving_process(&mut proxy, configuration)
    } else {
        let status = proxy.wait_for_exit_and_log();
        check_refusal(case, &proxy, status)
    };
    if proxy.has_logged(PANIC_TEXT) { Some(format!("panicked: {:?}", proxy.log())) } else { failure }
}

/// Checks a process that refused to start. Its log has to name a changed key by the last part of the JSON
/// pointer that is not an array index, and the exit status has to be 1. Returns what is wrong, if anything.
fn check_refusal(case: &Case, proxy: &ProxyProcess, status: ExitStatus) -> Option<String> {
    let names_a_key = case.iter().any(|(key, _)| {
        let name = key.rsplit('/').find(|part| part.parse::<usize>().is_err()).unwrap();
        proxy.has_logged(name)
    });
    let is_orderly = status.code() == Some(1) && names_a_key;
    (!is_orderly).then(|| format!("refused to start with {status}: {:?}", proxy.log()))
}

/// Checks that a process serves requests, also after a reload of its configuration, and shuts down
/// successfully. Returns what is wrong, if anything.
fn check_serving_process(proxy: &mut ProxyProcess, configuration: &Value) -> Option<String> {
    for _ in 0..2 {
        if let Some(request) = find_unanswered_request(proxy) {
            return Some(format!("no response to {request}: {:?}", proxy.log()));
        }
        std::thread::sleep(SEVERAL_TICKS);
    }
    proxy.reload(&configuration.to_string());
    wait_until("the configuration is read again or the process has ended", || {
        proxy.has_logged(log_text::CONFIGURATION_RELOADED) || !proxy.is_running()
    });
    if let Some(request) = find_unanswered_request(proxy) {
        return Some(format!("no response after a reload to {request}: {:?}", proxy.log()));
    }
    proxy.terminate();
    let status = proxy.wait_for_exit_and_log();
    (!status.success()).then(|| format!("shut down with {status}: {:?}", proxy.log()))
}

/// Sends requests of each class, and returns the first one that gets no response. Returns `None` if all get
/// one, or if the process accepts no connection.
fn find_unanswered_request(proxy: &ProxyProcess) -> Option<String> {
    let mut client = proxy.try_connect().ok()?;
    let keyed = at_most_once_request(500, "x").replacen("/book", "/keyed", 1).replacen(
        "Host:",
        "Idempotency-Key: 5c0f\r\nHost:",
        1,
    );
    let requests = [
        idempotent_request(500),
        at_most_once_request(500, "x"),
        keyed,
        at_most_once_request(u64::MAX, "x"),
        idempotent_request(0),
    ];
    for request in requests {
        client.send(&request);
        if client.response().is_none() {
            return Some(request);
        }
    }
    None
}

/// Guards against a panic caused by an extreme value, which ends the whole process with all its requests.
#[test]
fn a_process_serves_requests_or_names_the_key_that_it_rejects() {
    let upstream = StubUpstream::start(Behavior::Respond(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: util=1e30,inflight=-7\r\n\r\nok",
    ));
    let valid = valid_configuration(&upstream);
    let cases = selected_cases();
    let started_at = Instant::now();
    let next_case = AtomicUsize::new(0);
    let failures: Vec<String> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..PARALLEL_CASES)
            .map(|_| scope.spawn(|| run_remaining_cases(&cases, &next_case, &valid)))
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("the case runner does not panic"))
            .collect()
    });
    println!("{} cases in {:?}, {} failed", cases.len(), started_at.elapsed(), failures.len());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Runs the cases that no other thread has started, until none is left. Returns the failures.
fn run_remaining_cases(cases: &[Case], next_case: &AtomicUsize, valid: &Value) -> Vec<String> {
    let mut failures = Vec::new();
    while let Some(case) = cases.get(next_case.fetch_add(1, Ordering::Relaxed)) {
        let mut configuration = valid.clone();
        for (key, value) in case {
            set_value(&mut configuration, key, value);
        }
        failures.extend(run_case(case, &configuration).map(|reason| format!("{case:?}: {reason}")));
    }
    failures
}
