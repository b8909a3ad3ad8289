//! An endpoint that does to each request what the test says.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chalkrock_core::{BuildVersion, Endpoint, EndpointKind, HostState, Incarnation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What an endpoint does to one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Behaviour {
    /// Answers 200 with the request's own body, or its id without one.
    Answer,
    /// Answers after a time.
    AnswerAfter(u64),
    /// Says that it failed.
    Fail,
    /// Says 503 without a word on whether it ran.
    FailBusy,
    /// Says that it did not run the request.
    Shed,
    /// Says that it is another endpoint.
    OtherEndpoint,
    /// Reads the request and resets the connection.
    Reset,
    /// Sends bytes that are no answer.
    Garbage,
    /// Sends an answer to another request.
    OtherAnswer,
    /// Answers, and sends another answer behind.
    ExtraAnswer,
    /// Breaks off in the body.
    CutBody,
    /// Answers 200 without vouching for it.
    Unsigned,
    /// Says nothing.
    Silent,
    /// Answers without a length, and ends with the connection.
    Unframed,
    /// Closes the connection as soon as it rests.
    AnswerThenClose,
    /// Streams events up to a number, from the one after `after`; breaks off
    /// in the middle of event `cut_at`.
    Stream { last: u64, cut_at: Option<u64> },
    /// Streams events up to a number, and resets the connection once the test says so.
    StreamUntilBroken { last: u64 },
    /// Streams events up to a number, and then says nothing more.
    StreamThenSilence { last: u64 },
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Seen {
    /// A header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// What is done to the next requests, at whichever endpoint they arrive.
#[derive(Clone, Debug, Default)]
pub(crate) struct Script(Arc<Mutex<VecDeque<Behaviour>>>);

impl Script {
    /// Adds to it.
    pub(crate) fn next(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        let mut next = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        next.extend(behaviours);
    }

    fn take(&self) -> Option<Behaviour> {
        let mut next = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        next.pop_front()
    }
}

struct State {
    usual: Behaviour,
    /// Header lines of all its answers.
    says: String,
    seen: Vec<Seen>,
}

/// A scripted endpoint.
#[derive(Clone)]
pub(crate) struct ScriptedEndpoint {
    pub(crate) endpoint: Endpoint,
    state: Arc<Mutex<State>>,
    script: Script,
    /// Connections that the other side closed while a request was worked on.
    left: Arc<watch::Sender<usize>>,
    connections: Arc<watch::Sender<usize>>,
    broken: Arc<watch::Sender<bool>>,
}

impl ScriptedEndpoint {
    /// Starts one.
    pub(crate) async fn start(name: &str, pool: &str, usual: Behaviour, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let scripted = Self {
            endpoint: endpoint(name, pool, address),
            state: Arc::new(Mutex::new(State {
                usual,
                says: String::new(),
                seen: Vec::new(),
            })),
            script,
            left: Arc::new(watch::channel(0).0),
            connections: Arc::new(watch::channel(0).0),
            broken: Arc::new(watch::channel(false).0),
        };
        let accepting = scripted.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.send_modify(|count| *count += 1);
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        scripted
    }

    /// What it does to requests that the script leaves to it.
    pub(crate) fn usually(&self, behaviour: Behaviour) {
        self.state().usual = behaviour;
    }

    /// Resets the streams that are to be broken.
    pub(crate) fn break_off(&self) {
        self.broken.send_replace(true);
    }

    /// What it says of itself in all its answers: a header line.
    pub(crate) fn says(&self, line: &str) {
        self.state().says = format!("{line}\r\n");
    }

    /// Says nothing of itself any more.
    pub(crate) fn says_nothing(&self) {
        self.state().says.clear();
    }

    /// The requests that arrived.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.state().seen.clone()
    }

    /// How many requests arrived.
    pub(crate) fn arrivals(&self) -> usize {
        self.state().seen.len()
    }

    /// How many requests arrived with an id.
    pub(crate) fn runs_of(&self, id: &str) -> usize {
        let seen = self.seen();
        seen.iter().filter(|s| s.header("id") == Some(id)).count()
    }

    /// How many connections were opened to it.
    pub(crate) fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Waits until the other side has left a request that was worked on.
    pub(crate) async fn was_left(&self) {
        let mut left = self.left.subscribe();
        left.wait_for(|count| *count > 0)
            .await
            .expect("the endpoint is there");
    }

    /// Its entry, leaving.
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
                state.seen.push(request.clone());
                self.script.take().unwrap_or_else(|| state.usual.clone())
            };
            if !self.act(&mut stream, &request, behaviour).await {
                return;
            }
        }
    }

    /// Returns whether the connection goes on.
    async fn act(&self, stream: &mut TcpStream, request: &Seen, behaviour: Behaviour) -> bool {
        let id = request.header("id").unwrap_or_default().to_owned();
        let body = if request.body.is_empty() {
            id.clone().into_bytes()
        } else {
            request.body.clone()
        };
        let says = self.state().says.clone();
        let whole = |status: &str, id: &str, extra: &str| {
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\nid: {id}\r\n{extra}{says}content-length: {length}\r\n\r\n"
            );
            [head.as_bytes(), &body].concat()
        };
        const SIGNED: &str = "signature: s\r\n";
        match behaviour {
            Behaviour::Answer => send(stream, &whole("200 OK", &id, SIGNED)).await,
            Behaviour::AnswerAfter(pause_ms) => {
                if self.left_within(stream, pause_ms).await {
                    return false;
                }
                send(stream, &whole("200 OK", &id, SIGNED)).await
            }
            Behaviour::Fail => send(stream, &whole("500 Failed", &id, SIGNED)).await,
            Behaviour::FailBusy => send(stream, &whole("503 Busy", &id, SIGNED)).await,
            Behaviour::Shed => send(stream, &whole("503 Full", &id, "not-run: 1\r\n")).await,
            Behaviour::OtherEndpoint => send(stream, &whole("421 Other", &id, "")).await,
            Behaviour::Reset => {
                reset(stream);
                false
            }
            Behaviour::Garbage => {
                send(stream, b"\x00\x01 this is no answer\r\n\r\n").await;
                false
            }
            Behaviour::OtherAnswer => send(stream, &whole("200 OK", "other", SIGNED)).await,
            Behaviour::ExtraAnswer => {
                let answer = whole("200 OK", &id, SIGNED);
                let extra = whole("200 OK", "other", SIGNED);
                send(stream, &[answer, extra].concat()).await
            }
            Behaviour::CutBody => {
                let answer = whole("200 OK", &id, SIGNED);
                send(stream, &answer[..answer.len() - 1]).await;
                false
            }
            Behaviour::Unsigned => send(stream, &whole("200 OK", &id, "")).await,
            Behaviour::Silent => {
                self.left_within(stream, u64::MAX >> 20).await;
                false
            }
            Behaviour::Unframed => {
                let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\n{SIGNED}{says}\r\n");
                send(stream, &[head.as_bytes(), &body].concat()).await;
                false
            }
            Behaviour::AnswerThenClose => {
                send(stream, &whole("200 OK", &id, SIGNED)).await;
                false
            }
            Behaviour::Stream { last, cut_at } => {
                self.stream(stream, request, &id, last, cut_at).await
            }
            Behaviour::StreamUntilBroken { last } => {
                let mut broken = self.broken.subscribe();
                let sending = self.stream(stream, request, &id, last, Some(last));
                tokio::select! {
                    _ = sending => {}
                    _ = broken.wait_for(|is_broken| *is_broken) => {}
                }
                let _never_closed = broken.wait_for(|is_broken| *is_broken).await;
                reset(stream);
                false
            }
            Behaviour::StreamThenSilence { last } => {
                send(stream, self.stream_head(&id).as_bytes()).await;
                for number in first_event(request)..=last {
                    send(stream, &chunk(&event(number))).await;
                }
                self.left_within(stream, u64::MAX >> 20).await;
                false
            }
        }
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        request: &Seen,
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
        let says = self.state().says.clone();
        format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\n{says}\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        )
    }

    /// Waits; returns whether the other side left meanwhile.
    async fn left_within(&self, stream: &mut TcpStream, pause_ms: u64) -> bool {
        let mut byte = [0];
        let reading = tokio::time::timeout(Duration::from_millis(pause_ms), stream.read(&mut byte));
        let is_left = matches!(reading.await, Ok(Ok(0) | Err(_)));
        if is_left {
            self.left.send_modify(|count| *count += 1);
        }
        is_left
    }
}

fn endpoint(name: &str, pool: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        name: name.into(),
        kind: EndpointKind::Service,
        pool: pool.into(),
        zone: "zone-a".into(),
        address,
        slots: 8,
        incarnation: Incarnation(0),
        state: HostState::Live,
        build: BuildVersion::default(),
    }
}

/// The bytes of an event.
pub(crate) fn event(number: u64) -> Vec<u8> {
    format!("id: {number}\ndata: event {number}\n\n").into_bytes()
}

fn first_event(request: &Seen) -> u64 {
    let after = request.header("after").and_then(|after| after.parse().ok());
    after.map_or(0, |after: u64| after + 1)
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

pub(super) async fn send(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).await.is_ok()
}

/// A whole answer of 200 with the request's own body.
pub(super) fn answer(request: &Seen) -> Vec<u8> {
    let id = request.header("id").unwrap_or_default();
    let length = request.body.len();
    let head =
        format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\ncontent-length: {length}\r\n\r\n");
    [head.as_bytes(), &request.body].concat()
}

fn reset(stream: &TcpStream) {
    stream.set_zero_linger().expect("a socket");
}

pub(super) async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let seen = Seen {
                head,
                body: Vec::new(),
            };
            let length: usize = seen
                .header("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            let whole = end + 4 + length;
            if buffer.len() >= whole {
                let body = buffer[end + 4..whole].to_vec();
                buffer.drain(..whole);
                return Some(Seen { body, ..seen });
            }
        }
        let read = stream.read_buf(buffer).await.ok()?;
        if read == 0 {
            return None;
        }
    }
}
