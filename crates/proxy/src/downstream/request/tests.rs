use super::*;
use crate::memory_budget::budget_of;
use hyper::Request;

const CLASSES: &str = r#"{"name":"look","effect":"idempotent","hard_limit_ms":2000},
    {"name":"book","effect":"at_most_once"},{"name":"keyed","effect":"deduplicated","dedup_scope":"all"}"#;

fn validator() -> RequestValidator {
    let settings =
        format!(r#"{{"classes":[{CLASSES}],"parties":[{{"name":"acme","allowance_per_s":1000.0}}]}}"#);
    RequestValidator::new(&balancer_settings::parse(&settings).unwrap(), budget_of(0))
}

/// Returns a head with the valid headers and those in `added`.
fn head_with(method: &str, path: &str, added: &[(&str, &str)]) -> Parts {
    head(method, path, &[&VALID_HEADERS, added].concat())
}

const VALID_HEADERS: [(&str, &str); 4] =
    [("host", "app.svc"), ("x-correlation-id", "9b1f"), ("x-account", "acme"), ("x-time-left-ms", "500")];

/// Returns the head of a valid request in which one header is replaced, or removed if `value` is `None`.
fn head_replacing(name: &str, value: Option<&str>) -> Parts {
    let mut headers: Vec<_> = VALID_HEADERS.into_iter().filter(|(other, _)| *other != name).collect();
    headers.extend(value.map(|value| (name, value)));
    head("GET", "/look", &headers)
}

fn head(method: &str, path: &str, headers: &[(&str, &str)]) -> Parts {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap().into_parts().0
}

/// Returns the reason why a head is rejected, or `None` if it is valid.
fn rejection(head: Parts) -> Option<RequestError> {
    validator().validate_head(head).err()
}

#[test]
fn the_values_of_a_valid_head_are_read() {
    let head = head_with("GET", "/look/day?n=1", &[("x-weight-hint", " 1500 "), ("x-repeat", "1")]);

    let head = validator().validate_head(head).expect("a valid head");

    assert_eq!(head.class, ClassId(0));
    assert_eq!(head.tenant, TenantId(0));
    assert_eq!(head.time_left, Duration::from_millis(500));
    assert_eq!(head.expected_work_ms, Some(1.5));
    assert!(head.is_client_retry);
}

#[test]
fn the_time_left_is_limited_to_the_deadline_of_the_class() {
    let head = validator().validate_head(head_replacing("x-time-left-ms", Some("60000")));

    assert_eq!(head.expect("a valid head").time_left, Duration::from_millis(2000));
}

#[test]
fn path_and_method_have_to_match_a_class() {
    assert_eq!(rejection(head_with("GET", "/nothing", &[])), Some(RequestError::UnknownClass));
    assert_eq!(rejection(head_with("POST", "/look", &[])), Some(RequestError::MethodNotAllowed));
    assert_eq!(rejection(head_with("GET", "/book", &[])), Some(RequestError::MethodNotAllowed));
    assert_eq!(rejection(head_with("POST", "/book", &[])), None);
}

#[test]
fn a_deduplicated_class_requires_an_idempotency_key() {
    assert_eq!(rejection(head_with("POST", "/keyed", &[])), Some(RequestError::MissingIdempotencyKey));
    assert_eq!(rejection(head_with("POST", "/keyed", &[("idempotency-key", "k")])), None);
}

#[test]
fn a_required_header_has_to_be_present_and_valid() {
    for (name, value, error) in [
        ("host", None, RequestError::MissingOrRepeatedHost),
        ("x-correlation-id", None, RequestError::InvalidCorrelationId),
        ("x-correlation-id", Some(""), RequestError::InvalidCorrelationId),
        ("x-account", None, RequestError::UnknownTenant),
        ("x-account", Some("other"), RequestError::UnknownTenant),
        ("x-time-left-ms", None, RequestError::InvalidTimeLeft),
        ("x-time-left-ms", Some(""), RequestError::InvalidTimeLeft),
        ("x-time-left-ms", Some("+5"), RequestError::InvalidTimeLeft),
        ("x-weight-hint", Some("-1"), RequestError::InvalidExpectedWork),
        ("x-weight-hint", Some("inf"), RequestError::InvalidExpectedWork),
    ] {
        assert_eq!(rejection(head_replacing(name, value)), Some(error), "{name}: {value:?}");
    }
}

#[test]
fn a_repeated_header_is_rejected() {
    for (name, value) in VALID_HEADERS.into_iter().skip(1) {
        let repeated = head_with("GET", "/look", &[(name, value)]);
        assert_eq!(rejection(repeated), Some(RequestError::RepeatedHeader), "{name}");
    }
}

/// The statuses and texts are part of the interface to clients.
#[test]
fn each_rejection_has_its_status_and_text() {
    for (error, status, text) in [
        (RequestError::ConflictingLengths, 400, "Content-Length beside Transfer-Encoding"),
        (RequestError::MissingOrRepeatedHost, 400, "not one Host"),
        (RequestError::UnknownClass, 404, "unknown class"),
        (RequestError::MethodNotAllowed, 405, "the class has another method"),
        (RequestError::RepeatedHeader, 400, "a header twice that may stand once"),
        (RequestError::InvalidCorrelationId, 400, "no readable X-Correlation-Id"),
        (RequestError::MissingIdempotencyKey, 400, "no Idempotency-Key"),
        (RequestError::UnknownTenant, 403, "unknown account"),
        (RequestError::InvalidTimeLeft, 400, "no readable X-Time-Left-Ms"),
        (RequestError::InvalidExpectedWork, 400, "unreadable X-Weight-Hint"),
        (RequestError::BodyTooLong, 413, "the body is too long"),
        (RequestError::IncompleteBody, 400, "the body broke off"),
        (RequestError::BodyTimeout, 408, "the body did not come in time"),
        (RequestError::UnexpectedBody, 400, "a GET with a body"),
        (RequestError::DuplicateCorrelationId, 409, "a request with this id is open"),
        (RequestError::OutOfMemory, 503, "out of memory"),
    ] {
        assert_eq!(error.status().as_u16(), status, "{error:?}");
        assert_eq!(error.to_string(), text);
    }
}
