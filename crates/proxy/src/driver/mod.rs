//! The embedder of the decision module: sole owner of the `Balancer`. It turns what happens into events and
//! carries out the actions, in order. It decides nothing.
//!
//! Everything that happens is put in a queue and played from there, one event at a time, so that the module
//! is never entered twice; tasks only ever add to the queue.

use crate::discovery::backoff::Backoff;
use crate::discovery::client::{Discovery, Progress};
use crate::discovery::endpoint_list::WatchEvent;
use crate::headers::CORRELATION_ID;
use crate::metrics::{Metrics, ResponseKind};
use crate::upstream::attempt::{AttemptResult, OutgoingRequest, UpstreamResponse, Upstreams};
use balancer_core::{
    Action, AttemptIndex, Balancer, ClassId, EndpointEntry, Event, Outcome, RejectionReason, RequestId,
    TenantId, TimerId, UpdateScope, UpstreamId,
};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Pauses after a watch that ended within `WATCH_LASTS`, where watches are begun unprompted. They begin short, as what
/// discovery has to tell counts as told, whether it arrived or not, and the grace for servers that drain is a quarter of
/// a second; they double, so that a discovery that is down costs little. One that has lasted is begun anew at once.
const WATCH_PAUSE_LEAST: Duration = Duration::from_millis(20);
const WATCH_PAUSE_MOST: Duration = Duration::from_millis(250);
/// A watch that has stood for so long counts as one that stood.
const WATCH_LASTS: Duration = Duration::from_millis(250);
/// How far the module's clock has gone at the start: upstreams may have started before this balancer.
const BEFORE_START: Duration = Duration::from_secs(3600);

/// The module's clock: it only goes forward, from an hour before the start.
struct Clock {
    start: Instant,
    /// Unix time of the start.
    start_unix: Duration,
}

impl Clock {
    fn now(&self) -> Duration {
        BEFORE_START + self.start.elapsed()
    }

    /// A Unix time on this clock; the same one always comes out the same. `None`: long ago.
    fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        let at = (Duration::from_millis(ms) + BEFORE_START).checked_sub(self.start_unix)?;
        // Not in the future, should clocks differ.
        (!at.is_zero()).then(|| at.min(self.now()))
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// An upstream's.
    Served(UpstreamResponse),
    /// Trying again is harmless.
    Rejected {
        /// How long the client should stay away.
        retry_after: Option<Duration>,
        /// Why.
        cause: RejectionReason,
    },
    /// Nothing is promised.
    Failed,
}

impl FinalResponse {
    fn kind(&self) -> ResponseKind {
        match self {
            Self::Served(_) => ResponseKind::Served,
            Self::Rejected { cause, .. } => ResponseKind::from(*cause),
            Self::Failed => ResponseKind::Failed,
        }
    }
}

/// A request for the module to decide on.
pub struct IncomingRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Expected work in milliseconds, where the client says so.
    pub expected_work_ms: Option<f64>,
    /// The client says that it has tried this before.
    pub repeat: bool,
    /// What is passed on.
    pub outgoing: OutgoingRequest,
}

enum DriverEvent {
    EndpointUpdate(WatchEvent),
    RequestArrived(RequestId),
    AttemptEnded(RequestId, AttemptIndex, AttemptResult),
    HealthCheckEnded(UpstreamId, Duration, AttemptResult),
    ClientDisconnected(RequestId),
    TimerFired(TimerId),
}

struct Attempt {
    upstream: UpstreamId,
    sent: Instant,
    task: AbortHandle,
    out: bool,
}

struct InFlightRequest {
    asked: Rc<IncomingRequest>,
    /// Taken with the final answer, or when the client has gone.
    reply: Option<Reply>,
    attempts: Vec<Attempt>,
}

/// What a client waits for.
struct Reply {
    answer: oneshot::Sender<FinalResponse>,
    /// Its end is seen by the attempts: what has not been sent by then is sent no more.
    awaited: watch::Sender<()>,
}

struct Core {
    balancer: Balancer,
    requests: FxHashMap<RequestId, InFlightRequest>,
    actions: Vec<Action>,
    next_id: u32,
}

/// The driver of one `Balancer`.
pub struct Driver {
    clock: Clock,
    core: RefCell<Core>,
    queue: RefCell<VecDeque<DriverEvent>>,
    playing: Cell<bool>,
    upstreams: Upstreams,
    discovery: Discovery,
    /// Whether the module asks for the list; else its changes reach it unprompted, and the watch that brings
    /// them is this driver's affair.
    asks: bool,
    /// Set when what is held has to end.
    abort_all: watch::Sender<bool>,
    metrics: Rc<Metrics>,
}

impl Driver {
    /// A driver with the list of upstreams known before the start; `asks`: whether the module asks for more.
    pub fn start(
        balancer: Balancer,
        upstreams: Upstreams,
        discovery: Discovery,
        known: WatchEvent,
        asks: bool,
    ) -> Rc<Self> {
        let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let metrics = Rc::clone(discovery.metrics());
        let core = Core { balancer, requests: FxHashMap::default(), actions: Vec::new(), next_id: 0 };
        let driver = Rc::new(Self {
            clock: Clock { start: Instant::now(), start_unix },
            core: RefCell::new(core),
            queue: RefCell::default(),
            playing: Cell::new(false),
            upstreams,
            discovery,
            asks,
            abort_all: watch::Sender::new(false),
            metrics,
        });
        let sweeper = Rc::clone(&driver);
        spawn_local(async move { sweeper.upstreams.sweep().await });
        driver.happened(DriverEvent::EndpointUpdate(known));
        if !asks {
            driver.watch();
        }
        driver
    }

    /// Hands a request to the module. Its final answer comes from what is returned; when that is dropped
    /// before, the client has gone.
    pub fn submit(self: &Rc<Self>, asked: IncomingRequest) -> Pending {
        let (reply, answer) = oneshot::channel();
        let id = {
            let core = &mut *self.core.borrow_mut();
            // Ids are not reused while one may be in use: they go round only after 2^32 requests.
            let id = RequestId(core.next_id);
            core.next_id = core.next_id.wrapping_add(1);
            let reply = Reply { answer: reply, awaited: watch::Sender::new(()) };
            let held = InFlightRequest { asked: Rc::new(asked), reply: Some(reply), attempts: Vec::new() };
            core.requests.insert(id, held);
            id
        };
        self.happened(DriverEvent::RequestArrived(id));
        Pending { driver: Rc::clone(self), id, answer: Some(answer) }
    }

    /// Ends all attempts that are out, and each that may follow, so that the module gives what it holds its
    /// final answer: the process is about to end.
    pub fn abort_all(&self) {
        self.abort_all.send_replace(true);
    }

    /// Takes in what has happened and does what follows from it.
    fn happened(self: &Rc<Self>, happening: DriverEvent) {
        self.queue.borrow_mut().push_back(happening);
        if self.playing.replace(true) {
            return;
        }
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some(next) = next else { break };
            self.play(&mut self.core.borrow_mut(), next);
        }
        self.playing.set(false);
    }

    /// Plays one event into the module and carries out its actions.
    fn play(self: &Rc<Self>, core: &mut Core, happening: DriverEvent) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut core.actions);
        match happening {
            DriverEvent::EndpointUpdate(news) => {
                let listed = self.fleet(&news);
                let event = Event::EndpointUpdate { scope: news.scope, entries: &listed };
                core.balancer.handle(now, event, &mut actions);
            }
            DriverEvent::RequestArrived(id) => {
                let Some(held) = core.requests.get(&id) else { return };
                let asked = &held.asked;
                self.metrics.requests.inc();
                let correlation_id = asked.outgoing.headers.get(CORRELATION_ID);
                tracing::debug!(id = id.0, ?correlation_id, class = asked.class.0, "request");
                let event = Event::RequestArrived {
                    id,
                    class: asked.class,
                    tenant: asked.tenant,
                    time_left: asked.deadline.saturating_duration_since(Instant::now()),
                    expected_work_ms: asked.expected_work_ms,
                    is_client_retry: asked.repeat,
                };
                core.balancer.handle(now, event, &mut actions);
            }
            DriverEvent::AttemptEnded(id, no, ended) => {
                let Some(held) = core.requests.get_mut(&id) else { return };
                // One event for each: a cancelled attempt may have ended by itself just before.
                let Some(attempt) = held.attempts.get_mut(usize::from(no.0)).filter(|a| a.out) else {
                    return;
                };
                attempt.out = false;
                let (upstream, latency) = (attempt.upstream, attempt.sent.elapsed());
                tracing::debug!(id = id.0, no = no.0, upstream = upstream.0, ?latency, outcome = ?ended.outcome);
                self.metrics.record_attempt(ended.outcome.into());
                // A second copy's answer comes to a request that is over: it is dropped.
                if let Some(served) = ended.served
                    && let Some(reply) = held.reply.take()
                {
                    self.reply(id, reply, FinalResponse::Served(served));
                }
                let finished = held.reply.is_none();
                let event = Event::AttemptEnded {
                    id,
                    attempt: no,
                    upstream,
                    outcome: ended.outcome,
                    latency,
                    request_finished: finished,
                    load_report: &ended.report,
                };
                core.balancer.handle(now, event, &mut actions);
                self.forget_if_over(core, id);
            }
            DriverEvent::HealthCheckEnded(upstream, latency, ended) => {
                let event = Event::HealthCheckEnded {
                    upstream,
                    outcome: ended.outcome,
                    latency,
                    load_report: &ended.report,
                };
                core.balancer.handle(now, event, &mut actions);
            }
            DriverEvent::ClientDisconnected(id) => {
                let Some(held) = core.requests.get_mut(&id) else { return };
                if held.reply.take().is_some() {
                    tracing::debug!(id = id.0, "the client has left");
                    self.metrics.record_response(ResponseKind::ClientDisconnected);
                    core.balancer.handle(now, Event::ClientDisconnected { id }, &mut actions);
                }
                self.forget_if_over(core, id);
            }
            DriverEvent::TimerFired(timer) => {
                core.balancer.handle(now, Event::TimerFired { timer }, &mut actions)
            }
        }
        for action in actions.drain(..) {
            self.carry_out(core, action);
        }
        core.actions = actions;
    }

    /// Applies news to the connections and words them for the module.
    fn fleet(&self, news: &WatchEvent) -> Vec<EndpointEntry> {
        if matches!(news.scope, UpdateScope::Snapshot | UpdateScope::Cached) {
            let ids: FxHashSet<UpstreamId> = news.entries.iter().map(|e| e.id).collect();
            self.upstreams.retain_listed(|id| ids.contains(&id));
        }
        let listed = news.entries.iter().map(|entry| {
            self.upstreams.apply_entry(entry.id, &entry.state);
            EndpointEntry {
                id: entry.id,
                zone: entry.zone,
                hardware: entry.hardware,
                cell: entry.cell,
                availability: entry.state.availability,
                weight: entry.weight,
                started_at: self.clock.at_unix_ms(entry.state.boot_ms),
            }
        });
        listed.collect()
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::SendAttempt { id, upstream, timeout } => self.attempt(core, id, upstream, timeout),
            Action::CancelAttempt { id, attempt } => {
                let out = core.requests.get(&id).and_then(|held| held.attempts.get(usize::from(attempt.0)));
                if let Some(out) = out.filter(|a| a.out) {
                    out.task.abort();
                    let cancelled = DriverEvent::AttemptEnded(id, attempt, Outcome::Cancelled.into());
                    self.queue.borrow_mut().push_back(cancelled);
                }
            }
            Action::Reject { id, retry_after, reason: cause } => {
                self.answer(core, id, FinalResponse::Rejected { retry_after, cause });
            }
            Action::Fail { id } => self.answer(core, id, FinalResponse::Failed),
            Action::SetTimer { after, timer } => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    sleep(after).await;
                    driver.happened(DriverEvent::TimerFired(timer));
                });
            }
            Action::WatchEndpoints => self.watch(),
            Action::FetchEndpoints => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    let news = driver.discovery.fetch().await;
                    driver.happened(DriverEvent::EndpointUpdate(news));
                });
            }
            Action::CloseIdleConnections { upstream } => self.upstreams.close_idle(upstream),
            Action::CheckHealth { upstream } => {
                let (driver, sent) = (Rc::clone(self), Instant::now());
                spawn_local(async move {
                    let ended = driver.upstreams.probe(upstream).await;
                    driver.happened(DriverEvent::HealthCheckEnded(upstream, sent.elapsed(), ended));
                });
            }
            Action::Log { line } => tracing::info!("{line}"),
        }
    }

    fn watch(self: &Rc<Self>) {
        let driver = Rc::clone(self);
        let watch = spawn_local(async move {
            let mut pause = Backoff::new(WATCH_PAUSE_LEAST, WATCH_PAUSE_MOST);
            loop {
                let begun = Instant::now();
                driver.discovery.watch(|news| driver.happened(DriverEvent::EndpointUpdate(news))).await;
                if driver.asks {
                    // The module asks again when it sees fit.
                    return driver.happened(DriverEvent::EndpointUpdate(WatchEvent::failed()));
                }
                if begun.elapsed() >= WATCH_LASTS {
                    pause.reset();
                } else {
                    sleep(pause.current()).await;
                    pause.grow();
                }
            }
        });
        self.discovery.replace_watch_task(watch.abort_handle());
    }

    /// How far discovery has come with its first answer.
    pub fn discovery_progress(&self) -> watch::Receiver<Progress> {
        self.discovery.progress()
    }

    /// The version of the list in hand; 0: none.
    pub fn list_version(&self) -> u64 {
        self.discovery.version()
    }

    /// Discovery has moved. What is watched, or will be once a failed call is far enough back, is asked of the
    /// new address at once: what it has to tell may not wait.
    pub fn discovery_moved(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.move_to(address) {
            self.watch();
        }
    }

    fn attempt(
        self: &Rc<Self>,
        core: &mut Core,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
    ) {
        let Some(held) = core.requests.get_mut(&id) else { return };
        let Some(reply) = &held.reply else { return };
        let mut awaited = reply.awaited.subscribe();
        let (sent, no) = (Instant::now(), AttemptIndex(held.attempts.len() as u8));
        let give_up = timeout.map_or(held.asked.deadline, |t| held.asked.deadline.min(sent + t));
        let (driver, asked) = (Rc::clone(self), Rc::clone(&held.asked));
        let mut abort_all = self.abort_all.subscribe();
        let task = spawn_local(async move {
            let ended = if *abort_all.borrow() {
                Outcome::NotSent.into()
            } else {
                tokio::select! {
                    ended = driver.upstreams.attempt(upstream, &asked.outgoing, give_up, &mut awaited) => ended,
                    _ = abort_all.wait_for(|cut| *cut) => Outcome::TimedOut.into(),
                }
            };
            driver.happened(DriverEvent::AttemptEnded(id, no, ended));
        });
        tracing::debug!(id = id.0, no = no.0, upstream = upstream.0, "attempt");
        self.metrics.retries_and_hedges.inc_by(u64::from(no.0 > 0));
        held.attempts.push(Attempt { upstream, sent, task: task.abort_handle(), out: true });
    }

    fn answer(&self, core: &mut Core, id: RequestId, answer: FinalResponse) {
        if let Some(reply) = core.requests.get_mut(&id).and_then(|held| held.reply.take()) {
            self.reply(id, reply, answer);
        }
        self.forget_if_over(core, id);
    }

    fn reply(&self, id: RequestId, reply: Reply, answer: FinalResponse) {
        let kind = answer.kind();
        tracing::debug!(id = id.0, ?kind, "final answer");
        self.metrics.record_response(kind);
        // Where the client has just gone, nobody waits for it.
        let _ = reply.answer.send(answer);
    }

    /// Lets go of a request that has its answer and no attempt out.
    fn forget_if_over(&self, core: &mut Core, id: RequestId) {
        let over = |held: &InFlightRequest| held.reply.is_none() && held.attempts.iter().all(|a| !a.out);
        if core.requests.get(&id).is_some_and(over) {
            core.requests.remove(&id);
        }
    }
}

/// A request that is owed its final answer.
pub struct Pending {
    driver: Rc<Driver>,
    id: RequestId,
    answer: Option<oneshot::Receiver<FinalResponse>>,
}

impl Pending {
    /// The final answer.
    pub async fn answer(mut self) -> FinalResponse {
        let Some(answer) = &mut self.answer else { return FinalResponse::Failed };
        let answer = answer.await;
        self.answer = None;
        answer.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.answer.take().is_some() {
            self.driver.happened(DriverEvent::ClientDisconnected(self.id));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use hyper::{HeaderMap, Method, Uri};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};
    use tokio::task::yield_now;

    const LONG: Duration = Duration::from_secs(60);

    fn asked(target: &'static str) -> IncomingRequest {
        let (method, target) = (Method::POST, Uri::from_static(target));
        let outgoing = OutgoingRequest { method, target, headers: HeaderMap::new(), body: Bytes::new() };
        let (class, tenant, deadline) = (ClassId(0), TenantId(0), Instant::now() + LONG);
        IncomingRequest { class, tenant, deadline, expected_work_ms: None, repeat: false, outgoing }
    }

    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /// A driver that watches unasked, and discovery's side.
    async fn watching() -> (Rc<Driver>, TcpListener) {
        following("automatic").await
    }

    /// The same where the settings say that the list comes in this way.
    async fn following(discovery: &str) -> (Rc<Driver>, TcpListener) {
        let asking = format!(r#""discovery":"{discovery}","guarantees":{{"ask_every_ms":60000}}"#);
        let site =
            balancer_settings::parse(&format!(r#"{{"classes":[{{"name":"look"}}],{asking}}}"#)).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let discovery = Discovery::new(listener.local_addr().unwrap(), &site, Rc::default());
        let balancer = Balancer::new(site.settings.clone(), 7).unwrap();
        let upstreams = Upstreams::new(&site.settings, 8, 0, Rc::default());
        let asks = site.settings.poll_endpoints;
        (Driver::start(balancer, upstreams, discovery, WatchEvent::failed(), asks), listener)
    }

    /// Guards against a change that counts as told before it can have come, both where lists are pushed and where they
    /// are asked for: discovery had it when it was called in vain, in any way, and is followed again within 6 s.
    #[tokio::test(flavor = "local", start_paused = true)]
    async fn discovery_is_followed_in_time_whatever_failed_before() {
        for way in ["automatic", "subscribe"] {
            let (_driver, discovery) = following(way).await;
            // One that is followed falls silent, and so does the next, behind its head.
            let mut first = call(&discovery).await;
            first.write_all(HEAD).await.unwrap();
            first.write_all(b"22\r\n{\"rev\":1,\"all\":true,\"targets\":[]}\n\r\n").await.unwrap();
            let silent = Instant::now();
            let mut second = call(&discovery).await;
            second.write_all(HEAD).await.unwrap();
            let _third = call(&discovery).await;
            let back = silent.elapsed();
            assert!(back < Duration::from_millis(5900), "{way}: {back:?} after it fell silent");
            // Calls in vain, of all kinds and many of them, until the longest wait is reached.
            for k in 0..24 {
                let begun = Instant::now();
                let mut vain = call(&discovery).await;
                let back = begun.elapsed();
                assert!(back < Duration::from_millis(5900), "{way}, {k}: {back:?} after the one before");
                let said = match k % 4 {
                    0 => continue,
                    1 => b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                    2 => HEAD,
                    _ => b"",
                };
                vain.write_all(said).await.unwrap();
                // It stays open until this side is told of its end.
                spawn_local(async move { read(&mut vain).await });
            }
        }
    }

    async fn call(discovery: &TcpListener) -> TcpStream {
        let (mut stream, _) = discovery.accept().await.unwrap();
        assert!(read(&mut stream).await.contains("stream=1"));
        stream
    }

    /// Guards against a change that counts as told before it can have come: what a watch misses that falls silent,
    /// 6 s later, though the next call has no answer; and what comes while one that was reset is begun anew, at once.
    #[tokio::test(flavor = "local", start_paused = true)]
    async fn a_watch_is_back_in_time() {
        let (_driver, discovery) = watching().await;
        let mut first = call(&discovery).await;
        first.write_all(HEAD).await.unwrap();
        first.write_all(b"1\r\n\n\r\n").await.unwrap();
        let silent = Instant::now();
        // Calls that stay without an answer leave no longer gap than the first: what was down is back at any time.
        let mut mute = Vec::new();
        for _ in 0..2 {
            mute.push(call(&discovery).await);
        }
        let muted = Instant::now();
        let mut third = call(&discovery).await;
        assert!(muted.elapsed() < Duration::from_millis(250), "{:?}", muted.elapsed());
        let back = silent.elapsed();
        assert!(back < Duration::from_millis(5500), "{back:?}");
        third.write_all(HEAD).await.unwrap();
        sleep(WATCH_LASTS).await;
        drop(third);
        let reset = Instant::now();
        call(&discovery).await;
        let back = reset.elapsed();
        assert!(back < Duration::from_millis(50), "{back:?}");
        // One that ends as soon as it has begun is begun anew well within the grace of a server that drains, though not
        // without a pause, and those that do so again and again come ever more seldom.
        let ended = Instant::now();
        call(&discovery).await;
        let back = ended.elapsed();
        assert!(back >= WATCH_PAUSE_LEAST && back < Duration::from_millis(100), "{back:?}");
        for _ in 0..4 {
            call(&discovery).await;
        }
        let ended = Instant::now();
        call(&discovery).await;
        assert!(ended.elapsed() >= WATCH_PAUSE_MOST - Duration::from_millis(50));
    }

    /// Guards against a list without an end, as fast as it can be read: it is given up and discovery asked again well
    /// within the time in which a change counts as told.
    #[tokio::test(flavor = "local")]
    async fn a_list_without_an_end_is_given_up_in_time() {
        let (_driver, discovery) = watching().await;
        let mut endless = call(&discovery).await;
        let begun = Instant::now();
        let writing = spawn_local(async move {
            endless.write_all(HEAD).await?;
            endless.write_all(b"23\r\n{\"rev\":1,\n \"all\":true,\n \"targets\":[\r\n").await?;
            let entry = "\n  {\n    \"uid\": \"s-\\\"]}\",\n    \"state\": \"Ready\"\n  },".repeat(600);
            let chunk = format!("{:x}\r\n{entry}\r\n", entry.len());
            loop {
                endless.write_all(chunk.as_bytes()).await?;
            }
            #[expect(unreachable_code, reason = "it names the type")]
            std::io::Result::Ok(())
        });
        call(&discovery).await;
        let back = begun.elapsed();
        assert!(back < Duration::from_secs(4), "{back:?}");
        writing.abort();
    }

    async fn read(stream: &mut TcpStream) -> String {
        let mut text = [0; 1024];
        let n = stream.read(&mut text).await.unwrap();
        String::from_utf8_lossy(&text[..n]).into_owned()
    }

    /// Guards against work for nobody where nothing may be cancelled: a request whose client leaves while its
    /// attempt waits for a connection is not sent, while one that is out is left.
    #[tokio::test(flavor = "local")]
    async fn a_request_whose_client_left_while_it_waited_is_not_sent() {
        let class = r#"{"name":"book","aim_ms":60000,"hard_limit_ms":60000,"effect":"at_most_once"}"#;
        let rest = r#""limits":{"cancelling":false},"parties":[{"name":"acme","allowance_per_s":1000.0}]"#;
        let site = balancer_settings::parse(&format!(r#"{{"classes":[{class}],{rest}}}"#)).unwrap();
        let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = upstream.local_addr().unwrap();
        let discovery = Discovery::new(endpoint, &site, Rc::default());
        let entry = format!(r#"{{"uid":"s-0","endpoint":"{endpoint}","state":"Ready"}}"#);
        let known = discovery.read_cached(&format!(r#"{{"rev":1,"all":true,"targets":[{entry}]}}"#));
        let mut settings = site.settings.clone();
        settings.connect_timeout = LONG;
        let balancer = Balancer::new(settings.clone(), 7).unwrap();
        let driver =
            Driver::start(balancer, Upstreams::new(&settings, 1, 0, Rc::default()), discovery, known, true);
        let first = driver.submit(asked("/first"));
        let (mut stream, _) = upstream.accept().await.unwrap();
        assert!(read(&mut stream).await.starts_with("POST /first"));
        // The only place for a connection is taken.
        let second = driver.submit(asked("/second"));
        let third = driver.submit(asked("/third"));
        yield_now().await;
        drop(second);
        drop(first);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        let next = read(&mut stream).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        assert!(next.starts_with("POST /third"), "{next:?}");
        assert!(matches!(third.answer().await, FinalResponse::Served(_)));
    }
}
