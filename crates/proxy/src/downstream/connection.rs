//! Serves a client connection until the client closes it, or until it fails, is evicted, times out or is
//! drained.

use crate::downstream::client::{Client, ClientState};
use crate::downstream::client_stream::{ClientSocket, ClientStream};
use crate::downstream::handler::RequestHandler;
use crate::downstream::rejection::reject_unread;
use crate::downstream::request::MAX_REQUEST_HEAD_BYTES;
use crate::downstream::response::ClientResponse;
use crate::lifecycle_phase::LifecyclePhase;
use crate::memory_budget::MemoryBudget;
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

/// How long a closing connection may take to write its last response. Checked every [`CLOSE_CHECK_INTERVAL`].
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of the read and write buffers of a connection. hyper responds with 431 to a head that does
/// not fit, but a head may exceed the limit by up to one read.
/// [`RequestValidator`](crate::downstream::request::RequestValidator) enforces the exact limit.
const MAX_BUFFER_BYTES: usize = 2 * MAX_REQUEST_HEAD_BYTES;

type HttpConnection<S> = http1::Connection<TokioIo<ClientStream>, S>;

/// Serves the requests on a connection and returns when the connection has ended. When the process drains,
/// the connection ends after the response that it awaits, or at once if it is between two requests.
pub async fn serve_connection(
    stream: TcpStream,
    client: &Rc<Client>,
    handler: Rc<RequestHandler>,
    request_memory: &MemoryBudget,
    phase: watch::Receiver<LifecyclePhase>,
) {
    // A failure is ignored: without the option responses are delayed, but correct.
    let _ = stream.set_nodelay(true);
    let socket = Rc::new(ClientSocket::new(stream, Rc::clone(client), request_memory));
    if let Err(error) = serve_requests(&socket, client, handler, phase).await {
        tracing::debug!(%error, "client connection ended with an error");
    }
    if socket.has_unread_head() {
        reject_unread(socket.stream()).await;
    }
}

async fn serve_requests(
    socket: &Rc<ClientSocket>,
    client: &Rc<Client>,
    handler: Rc<RequestHandler>,
    mut phase: watch::Receiver<LifecyclePhase>,
) -> hyper::Result<()> {
    let service_client = Rc::clone(client);
    let service_socket = Rc::clone(socket);
    let service = service_fn(move |request| {
        let client = Rc::clone(&service_client);
        let socket = Rc::clone(&service_socket);
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(&client, &socket, request).await) }
    });
    let mut builder = http1::Builder::new();
    // `Client` implements the timeout of the head.
    builder.header_read_timeout(None).max_buf_size(MAX_BUFFER_BYTES);
    let stream = TokioIo::new(ClientStream(Rc::clone(socket)));
    let mut connection = pin!(builder.serve_connection(stream, service));
    let serving = async {
        tokio::select! {
            result = connection.as_mut() => result,
            () = client.evicted_or_timed_out() => close(client, connection.as_mut()).await,
            _ = phase.wait_for(|phase| *phase == LifecyclePhase::Draining) => {
                drain(client, connection.as_mut()).await
            }
        }
    };
    tokio::select! {
        biased;
        result = serving => result,
        () = socket.disconnected() => Ok(()),
    }
}

/// Closes a connection that was evicted or has timed out. An incomplete request is dropped, which is safe
/// because no part of it was forwarded.
async fn close<S>(client: &Client, mut connection: Pin<&mut HttpConnection<S>>) -> hyper::Result<()>
where
    S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>,
{
    if let Poll::Ready(result) = process_received_bytes(connection.as_mut()).await {
        return result;
    }
    match client.state() {
        ClientState::New | ClientState::Reading => Ok(()),
        ClientState::Idle if client.is_evicted_at_once() => Ok(()),
        ClientState::Idle | ClientState::AwaitingResponse => finish_gracefully(client, connection).await,
    }
}

/// Closes a connection because the process drains.
async fn drain<S>(client: &Client, mut connection: Pin<&mut HttpConnection<S>>) -> hyper::Result<()>
where
    S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>,
{
    match process_received_bytes(connection.as_mut()).await {
        Poll::Ready(result) => result,
        Poll::Pending => finish_gracefully(client, connection).await,
    }
}

/// Closes a connection after the response that it awaits or that is being written.
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

/// Polls a connection once more before it is closed. Otherwise a complete request that the kernel has already
/// received and acknowledged would be lost.
async fn process_received_bytes(
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
) -> Poll<hyper::Result<()>> {
    // Lets the runtime ask the kernel which sockets have received bytes.
    yield_now().await;
    poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx))).await
}

/// Waits until a closing connection has ended. It ends at once between two requests, and otherwise after the
/// response that it awaits or writes. Returns earlier if only a part of a request has arrived, or if writing
/// a response that is ready takes longer than [`RESPONSE_WRITE_TIMEOUT`].
async fn wait_for_last_response(
    client: &Client,
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
) -> hyper::Result<()> {
    let mut response_ready_at = None;
    loop {
        if let Ok(result) = timeout(CLOSE_CHECK_INTERVAL, connection.as_mut()).await {
            return result;
        }
        match client.state() {
            ClientState::AwaitingResponse => {}
            // The request is incomplete and can be dropped, because no part of it was forwarded.
            ClientState::New | ClientState::Reading if !client.has_response() => return Ok(()),
            // The client reads the response slowly. After an invalid first request the state is `New`.
            ClientState::New | ClientState::Reading | ClientState::Idle => {
                if response_ready_at.get_or_insert_with(Instant::now).elapsed() > RESPONSE_WRITE_TIMEOUT {
                    return Ok(());
                }
            }
        }
    }
}
