//! The balancer as a process beside its discovery, with lists of any length that come in any pieces.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Upstreams in a fleet of the largest size.
const LARGE_FLEET: usize = 3200;

/// Writes a text as HTTP chunks of at most so many bytes, each of which the balancer reads by itself.
fn write_in_chunks(mut watch: &TcpStream, text: &[u8], chunk_length: usize) {
    let mut message = Vec::new();
    for chunk in text.chunks(chunk_length) {
        write!(message, "{:x}\r\n", chunk.len()).unwrap();
        message.extend_from_slice(chunk);
        message.extend_from_slice(b"\r\n");
    }
    watch.write_all(&message).unwrap();
}

/// A list in which the first upstream is in this state, and all others, at the same address, in another.
fn large_list(revision: u64, address: SocketAddr, first: &str, others: &str) -> String {
    let state = |number| if number == 0 { first } else { others };
    let entries = (0..LARGE_FLEET).map(|number| entry(&format!("s-{number}"), address, state(number)));
    list(revision, true, &entries.collect::<Vec<_>>())
}

/// Guards the drain rule where a change comes in two pieces: wherever the first one ends, in a number too, the change
/// is no less readable than in one piece, and the watch goes on.
#[test]
fn a_change_may_be_cut_at_any_byte() {
    let Watching { upstream: leaving, node: _node, mut client, watch, calls } = Watching::start();
    // Brackets and quotes in a string are no ends.
    let other = entry(r#"서울-\"]}{\\\u00e9\ud83d\ude00"#, nobody(), "Terminating");
    let other = other.replace(r#""capacity_hint":1.0"#, r#""capacity_hint":-1.5E+02"#);
    let change = |state| list(2, false, &[other.clone(), entry("s-0", leaving.address, state)]) + "\n";
    let ready = change("Ready");
    for cut in 1..ready.len() {
        let (head, tail) = ready.as_bytes().split_at(cut);
        write_in_chunks(&watch, head, head.len());
        write_in_chunks(&watch, tail, tail.len());
    }
    tell(&watch, &change("Terminating"));
    until("its idle connection is closed", || leaving.ended() == 1);
    assert_eq!(client.exchange(&book(5000, "x")).status(), 503);
    assert!(calls.try_recv().is_err(), "the watch was begun anew");
}

/// Guards the drain rule in large fleets: the time that a list takes to read grows with its length, not with the number
/// of its pieces too.
#[test]
fn a_list_of_thousands_may_come_in_small_pieces() {
    let Watching { upstream: leaving, node: _node, watch, calls, .. } = Watching::start();
    write_in_chunks(&watch, large_list(2, nobody(), "Terminating", "Ready").as_bytes(), 16);
    until("its idle connection is closed", || leaving.ended() == 1);
    assert!(calls.try_recv().is_err(), "the watch was begun anew");
}

/// Guards the drain rule from the first moment of a process: the list known from before is old. What discovery has to
/// tell counts at once, so nothing is sent before it has answered, unless it takes long.
#[test]
fn a_new_process_waits_for_the_list_of_now() {
    let (leaving, staying) = (Upstream::start(Then::Answer(OK)), Upstream::start(Then::Answer(OK)));
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[leaving.address, staying.address]);
    setup.discovery = discovery;
    let node = setup.launch();
    let send = || {
        if node.serves() {
            node.connect().exchange(&look(5000));
        }
    };
    let mut call = None;
    until("it calls", || {
        send();
        call = calls.try_recv().ok();
        call.is_some()
    });
    let (_, watch) = call.expect("a watch");
    // It comes slowly, and longer than the grace for a server that drains.
    let drains = list(2, false, &[entry("s-0", leaving.address, "Terminating")]);
    for piece in drains.as_bytes().chunks(2) {
        send();
        std::thread::sleep(Duration::from_millis(5));
        write_in_chunks(&watch, piece, piece.len());
    }
    until("it serves", || node.serves());
    for _ in 0..10 {
        assert_eq!(node.connect().exchange(&look(5000)).status(), 200);
    }
    assert_eq!(leaving.seen().len(), 0, "it was sent to by the old list");
}

/// Guards the drain rule where an entry holds something that can't be read: who can be told from it is not sent to.
#[test]
fn an_upstream_whose_entry_is_unreadable_is_not_sent_to() {
    for (from, to) in [
        (r#""pod_group":0"#, r#""pod_group":"none""#),
        (r#""state":"Terminating""#, r#""state":"Stopping""#),
        (r#""boot_ms":0"#, r#""boot_ms":null"#),
        (r#""capacity_hint":1.0"#, r#""capacity_hint":[]"#),
    ] {
        let Watching { upstream: leaving, node: _node, mut client, watch, .. } = Watching::start();
        let odd = entry("s-0", leaving.address, "Terminating").replace(from, to);
        tell(&watch, &list(2, false, &[odd]));
        until("its idle connection is closed", || leaving.ended() == 1);
        assert_eq!(client.exchange(&book(5000, "x")).status(), 503);
    }
}

/// Discovery that answers every call with the same list, but so late.
fn slow_discovery(delay: Duration, list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let list = list.clone();
            std::thread::spawn(move || {
                let _call = Message::read(&mut BufReader::new(&stream));
                std::thread::sleep(delay);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let answer = format!("{head}{:x}\r\n{list}\r\n", list.len());
                // The caller may have given up.
                let _ = (&stream).write_all(answer.as_bytes());
                std::thread::sleep(LONG);
            });
        }
    });
    address
}

/// Guards the drain rule where discovery is crowded: a call that is given up has to wait its turn again, so the next one
/// is given more time. A change counts as told after 6 s.
#[test]
fn discovery_that_answers_late_is_followed() {
    for asks in [false, true] {
        let leaving = Upstream::start(Then::Answer(OK));
        let drains = list(2, true, &[entry("s-0", leaving.address, "Terminating")]);
        let mut setup = Setup::with(&[leaving.address]);
        setup.discovery = slow_discovery(Duration::from_millis(1500), drains);
        setup.asks = asks;
        let begun = Instant::now();
        let node = setup.start();
        let mut client = node.connect();
        assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
        until("its idle connection is closed", || leaving.ended() == 1);
        assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
    }
}

/// Guards against a process that never serves as its discovery is down: it goes by the list known from before then.
#[test]
fn a_new_process_serves_though_discovery_is_silent() {
    let upstream = Upstream::start(Then::Answer(OK));
    for discovery in [nobody(), discovery().0] {
        let mut setup = Setup::with(&[upstream.address]);
        setup.discovery = discovery;
        let begun = Instant::now();
        let node = setup.start();
        assert_eq!(node.connect().exchange(&look(5000)).status(), 200);
        assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
    }
}
