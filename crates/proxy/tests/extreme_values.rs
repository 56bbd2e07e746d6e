//! Values at the edge of their types, in every key of the configuration: a process either refuses to start
//! and names the key, or it serves, reloads and shuts down.
//!
//! CI plays a part of the cases, drawn from a seed. All of them by hand:
//! `EXTREME_VALUES=all cargo test --release -p balancer-proxy --test extreme_values -- --nocapture`.

mod common;

use common::*;
use serde_json::{Value, json};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The seed of the cases that CI plays.
const SEED: u64 = 27;
/// How many cases CI plays.
const DRAWN_CASES: usize = 120;
/// How many processes run at once.
const PARALLEL_CASES: usize = 12;
/// Time in which several ticks of the decisions pass.
const SEVERAL_TICKS: Duration = Duration::from_millis(80);
/// Descriptors of each process.
const SOCKETS: usize = 256;
/// Text in the log of a process in which a task has panicked.
const PANIC: &str = "panicked";

/// Numbers that a JSON value can carry.
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
/// Whole numbers at the bounds of the integer types.
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
const TEXTS: [&str; 4] = [r#""""#, r#""unknown""#, r#""all""#, "7"];
const FLAGS: [&str; 3] = ["true", "false", "1"];

/// Keys whose value is a number.
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
/// Keys whose value is a whole number.
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
/// Keys whose value is a text.
const TEXT_KEYS: [&str; 8] = [
    "/settings/discovery",
    "/settings/weight_kind",
    "/settings/worth_by",
    "/settings/telemetry/how",
    "/settings/telemetry/fields/0",
    "/settings/classes/2/effect",
    "/settings/classes/2/dedup_scope",
    "/settings/kind_of_service",
];
/// Keys whose value is a flag.
const FLAG_KEYS: [&str; 8] = [
    "/settings/limits/cancelling",
    "/settings/limits/second_copies",
    "/settings/limits/may_probe",
    "/settings/limits/retry_after",
    "/settings/limits/peers",
    "/settings/classes/0/streamed",
    "/settings/clients/marks_retry",
    "/settings/extra/warm_keys",
];
/// Values that are valid, but in an unusual relation to each other.
const PAIRS: [[(&str, &str); 2]; 7] = [
    [("/settings/classes/0/aim_ms", "5000"), ("/settings/classes/0/hard_limit_ms", "100")],
    [("/settings/classes/0/aim_ms", "1e300"), ("/settings/classes/0/hard_limit_ms", "1e300")],
    [("/settings/guarantees/cold_from", "50"), ("/settings/guarantees/cold_ms", "0")],
    [("/settings/guarantees/fall_multiple", "0"), ("/settings/guarantees/cold_from", "0")],
    [("/settings/guarantees/fall_multiple", "1e300"), ("/settings/guarantees/cold_ms", "1e300")],
    [("/settings/limits/connect_timeout_ms", "1e300"), ("/settings/limits/conn_idle_ms", "1e300")],
    [("/settings/parties/0/allowance_per_s", "1e308"), ("/settings/parties/1/allowance_per_s", "1e308")],
];

/// A change of the configuration: keys, as JSON pointers, with their values.
type Case = Vec<(&'static str, &'static str)>;

fn all_cases() -> Vec<Case> {
    let mut cases: Vec<Case> = PAIRS.iter().map(|pair| pair.to_vec()).collect();
    for (keys, values) in [
        (&NUMBER_KEYS[..], &NUMBERS[..]),
        (&INTEGER_KEYS[..], &INTEGERS[..]),
        (&TEXT_KEYS[..], &TEXTS[..]),
        (&FLAG_KEYS[..], &FLAGS[..]),
    ] {
        for key in keys {
            cases.extend(values.iter().map(|value| vec![(*key, *value)]));
        }
    }
    cases
}

/// All cases, or those that CI plays.
fn cases() -> Vec<Case> {
    let mut cases = all_cases();
    if std::env::var("EXTREME_VALUES").is_ok_and(|value| value == "all") {
        return cases;
    }
    fastrand::Rng::with_seed(SEED).shuffle(&mut cases[PAIRS.len()..]);
    cases.truncate(DRAWN_CASES);
    cases
}

/// A configuration in which every key has a valid value. One upstream is in slow start.
fn valid_configuration(upstream: &StubUpstream) -> Value {
    let text = ProxyConfig::new(&[upstream.address, upstream.address]).deadline_ms(800).text();
    let mut configuration: Value = serde_json::from_str(&text).unwrap();
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

/// Sets a value at a JSON pointer; the last key may be missing.
fn set(configuration: &mut Value, pointer: &str, value: &str) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let value = serde_json::from_str(value).unwrap_or_else(|_| panic!("{value} is a JSON value"));
    match configuration.pointer_mut(parent).unwrap_or_else(|| panic!("{parent} is in the configuration")) {
        Value::Array(entries) => entries[key.parse::<usize>().unwrap()] = value,
        Value::Object(entries) => {
            entries.insert(key.to_owned(), value);
        }
        other => panic!("{pointer}: {other} has no entries"),
    }
}

/// Why a case is at fault; `None` if it is not.
fn fault(case: &Case, configuration: &Value) -> Option<String> {
    let mut proxy = ProxyProcess::launch(&configuration.to_string(), SOCKETS);
    wait_until("the process listens or ends", || proxy.is_listening() || !proxy.is_running());
    let fault = if proxy.is_listening() {
        fault_of_a_serving_process(&mut proxy, configuration)
    } else {
        let status = proxy.wait_for_complete_log();
        fault_of_a_refusal(case, &proxy, status)
    };
    if proxy.has_logged(PANIC) { Some(format!("a panic: {:?}", proxy.log())) } else { fault }
}

/// A refusal has to name the key by its last part that is not a position.
fn fault_of_a_refusal(case: &Case, proxy: &ProxyProcess, status: ExitStatus) -> Option<String> {
    let names_a_key = case.iter().any(|(key, _)| {
        let name = key.rsplit('/').find(|part| part.parse::<usize>().is_err()).unwrap();
        proxy.has_logged(name)
    });
    let is_orderly = status.code() == Some(1) && names_a_key;
    (!is_orderly).then(|| format!("refused with {status}: {:?}", proxy.log()))
}

fn fault_of_a_serving_process(proxy: &mut ProxyProcess, configuration: &Value) -> Option<String> {
    for _ in 0..2 {
        if let Some(request) = unanswered_request(proxy) {
            return Some(format!("no response to {request}: {:?}", proxy.log()));
        }
        std::thread::sleep(SEVERAL_TICKS);
    }
    proxy.reload(&configuration.to_string());
    wait_until("the configuration is read again", || {
        proxy.has_logged(log_text::CONFIGURATION_RELOADED) || !proxy.is_running()
    });
    if let Some(request) = unanswered_request(proxy) {
        return Some(format!("no response behind a reload to {request}: {:?}", proxy.log()));
    }
    proxy.terminate();
    let status = proxy.wait_for_complete_log();
    (!status.success()).then(|| format!("ended with {status}: {:?}", proxy.log()))
}

/// Sends a request of each class; the first that has no response.
fn unanswered_request(proxy: &ProxyProcess) -> Option<String> {
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

/// A panic ends the whole process with all requests that it holds.
#[test]
fn every_value_is_refused_by_name_or_served() {
    let upstream = StubUpstream::start(Behavior::Respond(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: util=1e30,inflight=-7\r\n\r\nok",
    ));
    let valid = valid_configuration(&upstream);
    let cases = cases();
    let began = Instant::now();
    let next_case = AtomicUsize::new(0);
    let faults: Vec<String> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..PARALLEL_CASES)
            .map(|_| scope.spawn(|| faults_of_remaining_cases(&cases, &next_case, &valid)))
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a case can be played")).collect()
    });
    println!("{} cases in {:?}, {} at fault", cases.len(), began.elapsed(), faults.len());
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

fn faults_of_remaining_cases(cases: &[Case], next_case: &AtomicUsize, valid: &Value) -> Vec<String> {
    let mut faults = Vec::new();
    while let Some(case) = cases.get(next_case.fetch_add(1, Ordering::Relaxed)) {
        let mut configuration = valid.clone();
        for (key, value) in case {
            set(&mut configuration, key, value);
        }
        faults.extend(fault(case, &configuration).map(|fault| format!("{case:?}: {fault}")));
    }
    faults
}
