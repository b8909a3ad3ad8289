//! An endpoint that follows the script of a test.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chalkrock_core::{BuildVersion, Endpoint, EndpointKind, HostState, Incarnation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::endless::EndlessAnswer;
use super::framed::FramedAnswer;

/// Slots of an endpoint.
const SLOTS: u32 = 8;

/// How an endpoint handles one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Behaviour {
    /// Answers 200 with the request's body, or with its id if the body is empty.
    Answer,
    /// Answers after a delay in milliseconds.
    AnswerAfter(u64),
    /// Answers after a delay in milliseconds in one of its slots; queues for a slot.
    AnswerInTurn(u64),
    /// Answers 500.
    Fail,
    /// Answers with a status of which callers conclude that the request did not run, without
    /// reporting so.
    FailAs(&'static str),
    /// Answers 503 and reports that the request did not run.
    Shed,
    /// Answers 421 and that it did not run the request: another endpoint uses this address.
    Misdirected,
    /// Answers 421 with the name of the other endpoint that uses this address.
    MisdirectedByName,
    /// Reads the request and resets the connection.
    Reset,
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Sends an answer with another request's id.
    WrongId,
    /// Sends a second answer after the first.
    ExtraAnswer,
    /// Closes the connection before the last byte of the body.
    ShortBody,
    /// Answers 200 without a signature.
    Unsigned,
    /// Never answers.
    Silent,
    /// Answers without a length and closes the connection after the body.
    Unframed,
    /// Answers with a framing and an end of its own.
    Framed(FramedAnswer),
    /// Sends the beginning of an answer, with the request's id for `{id}`, and closes the
    /// connection.
    Beginning(&'static str),
    /// Sends bytes without end until the peer closes.
    Endless(EndlessAnswer),
    /// Answers and closes the connection.
    AnswerThenClose,
    /// Streams the events after `after` up to `last`; closes the connection in
    /// the middle of event `cut_at`.
    Stream { last: u64, cut_at: Option<u64> },
    /// Streams events up to `last` on routes of streams, and answers on others.
    AnswerByRoute { last: u64 },
    /// Streams events up to `last` and resets the connection on `reset_streams`.
    StreamUntilReset { last: u64 },
    /// Streams events up to `last` and keeps the connection open.
    StreamThenStall { last: u64 },
    /// Streams events up to `last`, with a pause in milliseconds before the last one.
    StreamWithPause { last: u64, pause_ms: u64 },
}

/// A request as the endpoint received it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Request {
    /// Returns a header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Behaviours for the next requests, in order of arrival at any endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Script(Arc<Mutex<VecDeque<Behaviour>>>);

impl Script {
    /// Appends behaviours.
    pub(crate) fn push(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        let mut next = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        next.extend(behaviours);
    }

    fn take(&self) -> Option<Behaviour> {
        let mut next = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        next.pop_front()
    }
}

struct State {
    behaviour: Behaviour,
    /// Header lines added to every answer.
    report: String,
    requests: Vec<Request>,
}

/// An endpoint with scripted behaviour.
#[derive(Clone)]
pub(crate) struct ScriptedEndpoint {
    pub(crate) endpoint: Endpoint,
    state: Arc<Mutex<State>>,
    script: Script,
    /// Number of connections that the peer closed during a request.
    abandoned: Arc<watch::Sender<usize>>,
    connections: Arc<watch::Sender<usize>>,
    reset_signal: Arc<watch::Sender<bool>>,
    slots: Arc<Semaphore>,
    /// Connections that it holds at once; it resets any more.
    max_connections: Arc<AtomicUsize>,
    resets: Arc<AtomicUsize>,
    /// Bytes of endless answers that peers took.
    endless_bytes: Arc<AtomicUsize>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint on a free port.
    pub(crate) async fn start(
        name: &str,
        pool: &str,
        behaviour: Behaviour,
        script: Script,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let scripted = Self {
            endpoint: endpoint(name, pool, address),
            state: Arc::new(Mutex::new(State {
                behaviour,
                report: String::new(),
                requests: Vec::new(),
            })),
            script,
            abandoned: Arc::new(watch::channel(0).0),
            connections: Arc::new(watch::channel(0).0),
            reset_signal: Arc::new(watch::channel(false).0),
            slots: Arc::new(Semaphore::new(SLOTS as usize)),
            max_connections: Arc::new(AtomicUsize::new(usize::MAX)),
            resets: Arc::default(),
            endless_bytes: Arc::default(),
        };
        let acceptor = scripted.clone();
        tokio::spawn(async move {
            let open = Arc::new(());
            while let Ok((stream, _)) = listener.accept().await {
                acceptor.connections.send_modify(|count| *count += 1);
                if Arc::strong_count(&open) > acceptor.max_connections.load(Ordering::Relaxed) {
                    acceptor.resets.fetch_add(1, Ordering::Relaxed);
                    reset(&stream);
                    continue;
                }
                let (open, serving) = (open.clone(), acceptor.clone().serve(stream));
                tokio::spawn(async move {
                    serving.await;
                    drop(open);
                });
            }
        });
        scripted
    }

    /// Sets the behaviour for requests beyond the script.
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Resets connections beyond `max` at once.
    pub(crate) fn set_max_connections(&self, max: usize) {
        self.max_connections.store(max, Ordering::Relaxed);
    }

    /// Returns the number of connections that it reset at once.
    pub(crate) fn resets(&self) -> usize {
        self.resets.load(Ordering::Relaxed)
    }

    /// Resets the connections of `StreamUntilReset`.
    pub(crate) fn reset_streams(&self) {
        self.reset_signal.send_replace(true);
    }

    /// Adds a header line, in which the endpoint reports its state, to every answer.
    pub(crate) fn set_report(&self, line: &str) {
        self.state().report = format!("{line}\r\n");
    }

    /// Removes the header line of `set_report`.
    pub(crate) fn clear_report(&self) {
        self.state().report.clear();
    }

    /// Returns all received requests.
    pub(crate) fn requests(&self) -> Vec<Request> {
        self.state().requests.clone()
    }

    /// Returns the number of received requests.
    pub(crate) fn arrivals(&self) -> usize {
        self.state().requests.len()
    }

    /// Returns the number of received requests with an id.
    pub(crate) fn run_count(&self, id: &str) -> usize {
        let all = self.requests();
        all.iter().filter(|r| r.header("id") == Some(id)).count()
    }

    /// Returns the number of accepted connections.
    pub(crate) fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Returns the bytes of endless answers that peers took.
    pub(crate) fn endless_bytes(&self) -> usize {
        self.endless_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that a peer closed during a request.
    pub(crate) fn abandoned(&self) -> usize {
        *self.abandoned.borrow()
    }

    /// Waits until a peer has closed its connection during a request.
    pub(crate) async fn wait_until_abandoned(&self) {
        let mut abandoned = self.abandoned.subscribe();
        abandoned
            .wait_for(|count| *count > 0)
            .await
            .expect("the endpoint is there");
    }

    /// Returns its list entry in state `Leaving`.
    pub(crate) fn leaving(&self) -> Endpoint {
        Endpoint {
            state: HostState::Leaving,
            ..self.endpoint.clone()
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            let behaviour = {
                let mut state = self.state();
                state.requests.push(request.clone());
                self.script
                    .take()
                    .unwrap_or_else(|| state.behaviour.clone())
            };
            if !self.respond(&mut stream, &request, behaviour).await {
                return;
            }
        }
    }

    /// Handles one request. Returns whether the connection stays open.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        behaviour: Behaviour,
    ) -> bool {
        let id = request.header("id").unwrap_or_default().to_owned();
        let body = if request.body.is_empty() {
            id.clone().into_bytes()
        } else {
            request.body.clone()
        };
        let report = self.state().report.clone();
        let reply = |status: &str, id: &str, extra: &str| {
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\nid: {id}\r\n{extra}{report}content-length: {length}\r\n\r\n"
            );
            [head.as_bytes(), &body].concat()
        };
        const SIGNED: &str = "signature: s\r\n";
        match behaviour {
            Behaviour::Answer => send(stream, &reply("200 OK", &id, SIGNED)).await,
            Behaviour::AnswerAfter(delay_ms) => {
                if self.is_abandoned_within(stream, delay_ms).await {
                    return false;
                }
                send(stream, &reply("200 OK", &id, SIGNED)).await
            }
            Behaviour::AnswerInTurn(service_ms) => {
                let slot = self.slots.acquire().await.expect("open slots");
                tokio::time::sleep(Duration::from_millis(service_ms)).await;
                drop(slot);
                send(stream, &reply("200 OK", &id, SIGNED)).await
            }
            Behaviour::Fail => send(stream, &reply("500 Failed", &id, SIGNED)).await,
            Behaviour::FailAs(status) => send(stream, &reply(status, &id, SIGNED)).await,
            Behaviour::Shed => send(stream, &reply("503 Full", &id, "not-run: 1\r\n")).await,
            Behaviour::Misdirected => {
                send(stream, &reply("421 Other", &id, "not-run: 1\r\n")).await
            }
            Behaviour::MisdirectedByName => {
                send(stream, &reply("421 Other", &id, "endpoint: other\r\n")).await
            }
            Behaviour::Reset => {
                reset(stream);
                false
            }
            Behaviour::Garbage => {
                send(stream, b"\x00\x01 this is no answer\r\n\r\n").await;
                false
            }
            Behaviour::WrongId => send(stream, &reply("200 OK", "other", SIGNED)).await,
            Behaviour::ExtraAnswer => {
                let answer = reply("200 OK", &id, SIGNED);
                let extra = reply("200 OK", "other", SIGNED);
                send(stream, &[answer, extra].concat()).await
            }
            Behaviour::ShortBody => {
                let answer = reply("200 OK", &id, SIGNED);
                send(stream, &answer[..answer.len() - 1]).await;
                false
            }
            Behaviour::Unsigned => send(stream, &reply("200 OK", &id, "")).await,
            Behaviour::Silent => {
                self.is_abandoned_within(stream, u64::MAX >> 20).await;
                false
            }
            Behaviour::Unframed => {
                let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\n{SIGNED}{report}\r\n");
                send(stream, &[head.as_bytes(), &body].concat()).await;
                false
            }
            Behaviour::Framed(answer) => {
                answer.send(stream, &id, &report).await;
                false
            }
            Behaviour::Beginning(text) => {
                send(stream, text.replace("{id}", &id).as_bytes()).await;
                false
            }
            Behaviour::Endless(answer) => {
                answer.send(stream, &id, &self.endless_bytes).await;
                self.abandoned.send_modify(|count| *count += 1);
                false
            }
            Behaviour::AnswerThenClose => {
                send(stream, &reply("200 OK", &id, SIGNED)).await;
                false
            }
            Behaviour::Stream { last, cut_at } => {
                self.stream(stream, request, &id, last, cut_at).await
            }
            Behaviour::AnswerByRoute { last } => {
                let is_stream =
                    request.head.contains(" /stream/ ") || request.head.contains(" /resumable/ ");
                if is_stream {
                    self.stream(stream, request, &id, last, None).await
                } else {
                    send(stream, &reply("200 OK", &id, SIGNED)).await
                }
            }
            Behaviour::StreamUntilReset { last } => {
                let mut reset_signal = self.reset_signal.subscribe();
                let sending = self.stream(stream, request, &id, last, Some(last));
                tokio::select! {
                    _ = sending => {}
                    _ = reset_signal.wait_for(|is_set| *is_set) => {}
                }
                let _never_closed = reset_signal.wait_for(|is_set| *is_set).await;
                reset(stream);
                false
            }
            Behaviour::StreamWithPause { last, pause_ms } => {
                send(stream, self.stream_head(&id).as_bytes()).await;
                for number in first_event(request)..=last {
                    let pause_ms = if number == last { pause_ms } else { 0 };
                    if pause_ms > 0 && self.is_abandoned_within(stream, pause_ms).await {
                        return false;
                    }
                    send(stream, &chunk(&event(number))).await;
                }
                send(stream, b"0\r\n\r\n").await
            }
            Behaviour::StreamThenStall { last } => {
                send(stream, self.stream_head(&id).as_bytes()).await;
                for number in first_event(request)..=last {
                    send(stream, &chunk(&event(number))).await;
                }
                self.is_abandoned_within(stream, u64::MAX >> 20).await;
                false
            }
        }
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        id: &str,
        last: u64,
        cut_at: Option<u64>,
    ) -> bool {
        send(stream, self.stream_head(id).as_bytes()).await;
        for number in first_event(request)..=last {
            let event = event(number);
            if cut_at == Some(number) {
                send(stream, &chunk(&event[..event.len() / 2])).await;
                return false;
            }
            send(stream, &chunk(&event)).await;
        }
        send(stream, b"0\r\n\r\n").await
    }

    fn stream_head(&self, id: &str) -> String {
        let report = self.state().report.clone();
        format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\n{report}\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        )
    }

    /// Waits for a time. Returns whether the peer closed the connection meanwhile.
    async fn is_abandoned_within(&self, stream: &mut TcpStream, delay_ms: u64) -> bool {
        let mut byte = [0];
        let reading = tokio::time::timeout(Duration::from_millis(delay_ms), stream.read(&mut byte));
        let is_abandoned = matches!(reading.await, Ok(Ok(0) | Err(_)));
        if is_abandoned {
            self.abandoned.send_modify(|count| *count += 1);
        }
        is_abandoned
    }
}

fn endpoint(name: &str, pool: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        name: name.into(),
        kind: EndpointKind::Service,
        pool: pool.into(),
        zone: "zone-a".into(),
        address,
        slots: SLOTS,
        incarnation: Incarnation(0),
        state: HostState::Live,
        build: BuildVersion::default(),
    }
}

/// Returns the bytes of an event.
pub(crate) fn event(number: u64) -> Vec<u8> {
    format!("id: {number}\ndata: event {number}\n\n").into_bytes()
}

fn first_event(request: &Request) -> u64 {
    let after = request.header("after").and_then(|after| after.parse().ok());
    after.map_or(0, |after: u64| after + 1)
}

pub(super) fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

pub(super) async fn send(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).await.is_ok()
}

/// Returns a complete 200 answer with the request's body and further header lines.
pub(super) fn answer(request: &Request, report: &str) -> Vec<u8> {
    let id = request.header("id").unwrap_or_default();
    let length = request.body.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\n{report}content-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), &request.body].concat()
}

pub(super) fn reset(stream: &TcpStream) {
    stream.set_zero_linger().expect("a socket");
}

pub(super) async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let request = Request {
                head,
                body: Vec::new(),
            };
            let length: usize = request
                .header("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            let total = end + 4 + length;
            if buffer.len() >= total {
                let body = buffer[end + 4..total].to_vec();
                buffer.drain(..total);
                return Some(Request { body, ..request });
            }
        }
        let read = stream.read_buf(buffer).await.ok()?;
        if read == 0 {
            return None;
        }
    }
}
