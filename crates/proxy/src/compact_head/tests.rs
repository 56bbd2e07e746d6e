use super::*;
use hyper::header::{ACCEPT, COOKIE, HeaderName};

#[test]
fn a_copy_of_headers_has_their_names_values_and_order() {
    let mut headers = HeaderMap::new();
    headers.append(COOKIE, HeaderValue::from_static("user=7f"));
    headers.append("x-own", HeaderValue::from_bytes(b"\xfa b").unwrap());
    headers.append(ACCEPT, HeaderValue::from_static(""));
    headers.append(COOKIE, HeaderValue::from_static("more=1"));

    let copy = copy_headers(&headers);

    let entries = |map: &HeaderMap| -> Vec<_> {
        map.iter().map(|(name, value)| (name.clone(), value.clone())).collect()
    };
    assert_eq!(entries(&copy), entries(&headers));
}

/// A head that references the read buffer keeps the whole buffer allocated.
#[test]
fn a_copy_shares_no_memory_with_the_original() {
    let buffer = Bytes::from(b"/look?n=1value".to_vec());
    let uri = Uri::from(PathAndQuery::from_maybe_shared(buffer.slice(..9)).unwrap());
    let mut headers = HeaderMap::new();
    headers.append("x-own", HeaderValue::from_maybe_shared(buffer.slice(9..)).unwrap());

    let target_copy = copy_target(&uri);
    let headers_copy = copy_headers(&headers);
    drop(uri);
    drop(headers);

    assert_eq!(target_copy.path_and_query().unwrap().as_str(), "/look?n=1");
    assert_eq!(headers_copy["x-own"], "value");
    assert!(buffer.is_unique());
}

/// Clients choose the target, so that no form of it may end the process.
#[test]
fn each_form_of_a_target_is_copied() {
    let targets = [
        "//host/look?n=1",
        "http://host/look?n=1",
        "http://host?n=1",
        "http://host",
        "*",
        "/?",
        "/look#part",
    ];
    for target in targets {
        let uri: Uri = target.parse().unwrap();

        assert_eq!(copy_target(&uri).path_and_query(), uri.path_and_query(), "{target}");
    }
    let authority: Uri = "host:80".parse().unwrap();
    assert_eq!(copy_target(&authority), Uri::default());
}

#[test]
fn a_head_is_small_up_to_a_length_and_a_number_of_headers() {
    let with_headers = |count: usize| -> HeaderMap {
        let name = |number| HeaderName::from_bytes(format!("x-{number}").as_bytes()).unwrap();
        (0..count).map(|number| (name(number), HeaderValue::from_static("v"))).collect()
    };
    let with_length = |length: usize| -> HeaderMap {
        let value = "v".repeat(length - "x-0: \r\n".len());
        HeaderMap::from_iter([(HeaderName::from_static("x-0"), HeaderValue::from_str(&value).unwrap())])
    };

    assert!(is_small(&with_headers(SMALL_HEAD_HEADERS)));
    assert!(!is_small(&with_headers(SMALL_HEAD_HEADERS + 1)));
    assert!(is_small(&with_length(SMALL_HEAD_BYTES)));
    assert!(!is_small(&with_length(SMALL_HEAD_BYTES + 1)));
}
