use super::*;
use std::cell::Cell;
use std::future::poll_fn;
use std::io::Write;
use std::rc::Rc;
use std::task::Poll;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Ends the turn of a task that has more to do, as hyper does on a connection with many requests.
async fn end_turn() {
    let mut has_ended = false;
    poll_fn(|context| {
        if std::mem::replace(&mut has_ended, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Guards against late responses to other clients while one client keeps a connection busy: received bytes were
/// noticed only after 61 turns of a busy task.
#[test]
fn received_bytes_are_noticed_after_few_turns_of_a_busy_task() {
    let turns = build().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        let turns = Rc::new(Cell::new(0));
        let busy_turns = Rc::clone(&turns);
        let mut client = client.into_std().unwrap();
        let busy_task = spawn_local(async move {
            client.write_all(b"x").unwrap();
            loop {
                busy_turns.set(busy_turns.get() + 1);
                end_turn().await;
            }
        });

        server.read_u8().await.unwrap();
        busy_task.abort();
        turns.get()
    });

    // Loopback delivers the byte within the write, so the next check finds it.
    assert!(turns <= TASKS_BETWEEN_SOCKET_CHECKS + 1, "{turns} turns");
}
