//! Serves one client connection until it ends, is evicted, times out or is drained.

use crate::downstream::client::{Client, ClientState};
use crate::downstream::client_stream::{ClientSocket, ClientStream};
use crate::downstream::handler::RequestHandler;
use crate::downstream::request::MAX_REQUEST_HEAD_BYTES;
use crate::downstream::response::ClientResponse;
use crate::lifecycle_phase::LifecyclePhase;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

#[cfg(test)]
mod tests;

/// How long a connection that closes may take to write its last response. Checked every
/// [`CLOSE_CHECK_INTERVAL`].
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Size of a connection's buffer. hyper responds to a head that does not fit with 431; what fits may be up
/// to one read longer. [`RequestValidator`](crate::downstream::request::RequestValidator) has the exact limit.
const MAX_BUFFER_BYTES: usize = 2 * MAX_REQUEST_HEAD_BYTES;

type HttpConnection<S> = http1::Connection<TokioIo<ClientStream>, S>;

/// Serves the requests on a connection; returns when it has ended. Once the process drains, the connection
/// ends after the response that it waits for, or at once between two requests.
pub async fn serve_connection(
    stream: TcpStream,
    client: &Rc<Client>,
    handler: Rc<RequestHandler>,
    mut phase: watch::Receiver<LifecyclePhase>,
) {
    // Without the option responses are later, but correct.
    let _ = stream.set_nodelay(true);
    let socket = Rc::new(ClientSocket::new(stream, Rc::clone(client)));
    let service_client = Rc::clone(client);
    let service_socket = Rc::clone(&socket);
    let service = service_fn(move |request| {
        let client = Rc::clone(&service_client);
        let socket = Rc::clone(&service_socket);
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(&client, &socket, request).await) }
    });
    let mut builder = http1::Builder::new();
    // `Client` has the timeout for the head.
    builder.header_read_timeout(None).max_buf_size(MAX_BUFFER_BYTES);
    let stream = TokioIo::new(ClientStream(Rc::clone(&socket)));
    let mut connection = pin!(builder.serve_connection(stream, service));
    let served = async {
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = client.wait_until_must_close() => close(client, connection.as_mut()).await,
            _ = phase.wait_for(|phase| *phase == LifecyclePhase::Draining) => {
                drain(client, connection.as_mut()).await
            }
        }
    };
    let ended = tokio::select! {
        biased;
        ended = served => ended,
        () = socket.disconnected() => Ok(()),
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "client connection failed");
    }
}

/// Closes a connection that was evicted or has timed out. A request of which only a part has arrived is
/// dropped: nothing of it was forwarded.
async fn close<S>(client: &Client, mut connection: Pin<&mut HttpConnection<S>>) -> hyper::Result<()>
where
    S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>,
{
    if let Poll::Ready(ended) = process_received_bytes(connection.as_mut()).await {
        return ended;
    }
    match client.state() {
        ClientState::New | ClientState::Reading => Ok(()),
        ClientState::Idle | ClientState::AwaitingResponse => finish_gracefully(client, connection).await,
    }
}

/// Closes a connection because the process drains.
async fn drain<S>(client: &Client, mut connection: Pin<&mut HttpConnection<S>>) -> hyper::Result<()>
where
    S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>,
{
    match process_received_bytes(connection.as_mut()).await {
        Poll::Ready(ended) => ended,
        Poll::Pending => finish_gracefully(client, connection).await,
    }
}

async fn finish_gracefully<S>(
    client: &Client,
    mut connection: Pin<&mut HttpConnection<S>>,
) -> hyper::Result<()>
where
    S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>,
{
    connection.as_mut().graceful_shutdown();
    wait_for_last_response(client, connection).await
}

/// Polls a connection that is about to close once more: a complete request that the kernel has already
/// received and acknowledged would be lost otherwise.
async fn process_received_bytes(
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
) -> Poll<hyper::Result<()>> {
    // Has the runtime ask the kernel for received bytes.
    yield_now().await;
    poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx))).await
}

/// Waits for the response that a closing connection still waits for, or that a client reads slowly. Between
/// two requests such a connection ends at once.
async fn wait_for_last_response(
    client: &Client,
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
) -> hyper::Result<()> {
    let mut response_ready_at = None;
    loop {
        if let Ok(ended) = timeout(CLOSE_CHECK_INTERVAL, connection.as_mut()).await {
            return ended;
        }
        match client.state() {
            ClientState::AwaitingResponse => {}
            // Nothing of an incomplete request was forwarded.
            ClientState::New | ClientState::Reading if !client.has_response() => return Ok(()),
            // The client reads slowly; an invalid request leaves its connection new.
            ClientState::New | ClientState::Reading | ClientState::Idle => {
                if response_ready_at.get_or_insert_with(Instant::now).elapsed() > RESPONSE_WRITE_TIMEOUT {
                    return Ok(());
                }
            }
        }
    }
}
