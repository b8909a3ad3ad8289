//! Stand-ins of the users' platform for the cases of the review: a store, replicas and clients,
//! all on loopback addresses, and the hosts as separate processes of the deploy file's program.
//!
//! They use the standard library alone. What they send follows PROTOCOL.md and DEPLOY.md.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- record

/// The clock of a run and the file that says what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        }))
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now_ms();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{:>7} ms  {}", now, text.as_ref());
    }

    /// A line that is printed, too.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

pub fn parse_json(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = parse_value(bytes, &mut at)?;
    Some(value)
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_blanks(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(bytes, at)?)),
        b't' => parse_word(bytes, at, "true", Json::Bool(true)),
        b'f' => parse_word(bytes, at, "false", Json::Bool(false)),
        b'n' => parse_word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < bytes.len() && matches!(bytes[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                *at += 1;
            }
            let number = std::str::from_utf8(&bytes[from..*at]).ok()?;
            number.parse().ok().map(Json::Number)
        }
    }
}

fn parse_word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let end = *at + word.len();
    if bytes.get(*at..end)? != word.as_bytes() {
        return None;
    }
    *at = end;
    Some(value)
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        text.extend_from_slice(code.to_string().as_bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(SIGNS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    /// The first line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads a chunk of a chunked body; an empty one ends it.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut size = String::new();
    if reader.read_line(&mut size)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

pub fn is_chunked(message: &Message) -> bool {
    message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked"))
}

/// Reads a message with its whole body.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if is_chunked(&message) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn query_field(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    values.next().map(decode_percent)
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------- store

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<RowKey, (u64, Option<String>)>,
}

/// The platform's store: linearizable rows with transactions and feeds.
pub struct Store {
    record: Arc<Record>,
    rows: Mutex<Rows>,
    changed: Condvar,
    next_connection: AtomicU64,
    /// Connections with a lower number are silent.
    silent_below: AtomicU64,
    /// Whether calls that arrive get no answer.
    is_down: AtomicBool,
}

/// Time of an answer, as the sheets say.
const ANSWER_MS: u64 = 4;
/// Time of a transaction, as the settings say.
const TX_MS: u64 = 5;

impl Store {
    pub fn start(record: &Arc<Record>, address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            record: record.clone(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            next_connection: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
        });
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                let number = store.next_connection.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let _closed = store.serve(stream, number);
                });
            }
        });
        Ok(store)
    }

    /// All connections that are open now say nothing further, without a reset. New ones work.
    pub fn silence_open_connections(&self) {
        let next = self.next_connection.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }

    /// Calls that arrive from now on get no answer, and their connections say nothing further.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_below.load(Ordering::SeqCst)
    }

    /// Writes a row as the operator or a replica does. Returns when it was acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        sleep_ms(TX_MS);
        self.set(table, key, Some(base64(value.as_bytes())));
        self.record.now_ms()
    }

    /// Removes a row. Returns when that was acknowledged.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        sleep_ms(TX_MS);
        self.set(table, key, None);
        self.record.now_ms()
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = lock(&self.rows);
        rows.ver += 1;
        let ver = rows.ver;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (ver, value));
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, connection: u64) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let mut words = request.first.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let is_lost = self.is_down.load(Ordering::SeqCst);
            let path = target.split('?').next().unwrap_or("");
            sleep_ms(ANSWER_MS);
            let (status, body) = match (method, path) {
                _ if is_lost => (0, String::new()),
                ("POST", "/-/rows-tx") => self.transact(&request),
                ("GET", "/-/rows-get") => self.read(target),
                ("GET", "/-/rows-feed") => self.feed(target),
                _ => (404, "{}".to_owned()),
            };
            if is_lost || self.is_silent(connection) {
                // Says nothing and stays open.
                loop {
                    sleep_ms(60_000);
                }
            }
            let reason = if status == 200 { "OK" } else { "Other" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        sleep_ms(TX_MS);
        let Some(body) = parse_json(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let key = |entry: &Json| -> RowKey {
            let field = |name: &str| {
                let text = entry.get(name).and_then(Json::text);
                text.unwrap_or_default().to_owned()
            };
            (field("table"), field("part"), field("private_key"))
        };
        let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default();
        let mut rows = lock(&self.rows);
        let now_ms = self.record.now_ms();
        let current = |rows: &Rows, key: &RowKey| {
            let row = rows.rows.get(key).filter(|(_, value)| value.is_some());
            row.map_or(0, |(ver, _)| *ver)
        };
        let expected = list("expected_rev");
        let holds = expected.iter().all(|entry| {
            let wanted = entry.get("ver").and_then(Json::number);
            wanted == Some(current(&rows, &key(entry)))
        });
        if !holds {
            let found: Vec<String> = expected
                .iter()
                .filter_map(|entry| {
                    let key = key(entry);
                    let (ver, value) = rows.rows.get(&key)?;
                    value.as_ref().map(|value| row_json(&key, *ver, Some(value)))
                })
                .collect();
            let ver = rows.ver;
            let found = found.join(",");
            return (412, format!("{{\"rows\":[{found}],\"ver\":{ver},\"now_ms\":{now_ms}}}"));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for entry in list("put") {
            let value = entry.get("value").and_then(Json::text).unwrap_or_default();
            rows.rows.insert(key(entry), (ver, Some(value.to_owned())));
        }
        for entry in list("remove") {
            rows.rows.insert(key(entry), (ver, None));
        }
        drop(rows);
        self.changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"now_ms\":{now_ms}}}"))
    }

    fn read(&self, target: &str) -> (u16, String) {
        const PAGE: usize = 500;
        let field = |name: &str| query_field(target, name);
        let table = field("table").unwrap_or_default();
        let part = field("part").unwrap_or_default();
        let from = field("from").unwrap_or_default();
        let to = field("target_version");
        let limit = field("limit").and_then(|limit| limit.parse().ok()).unwrap_or(PAGE).min(PAGE);
        let rows = lock(&self.rows);
        let found: Vec<String> = rows
            .rows
            .iter()
            .filter(|((t, p, k), (_, value))| {
                let is_before = to.as_ref().is_none_or(|to| k < to);
                *t == table && *p == part && *k >= from && is_before && value.is_some()
            })
            .map(|(key, (ver, value))| row_json(key, *ver, value.as_ref()))
            .collect();
        let more = found.len() > limit;
        let found: Vec<String> = found.into_iter().take(limit).collect();
        let now_ms = self.record.now_ms();
        let (ver, found) = (rows.ver, found.join(","));
        (200, format!("{{\"rows\":[{found}],\"more\":{more},\"ver\":{ver},\"now_ms\":{now_ms}}}"))
    }

    fn feed(&self, target: &str) -> (u16, String) {
        let number = |name: &str| {
            let text = query_field(target, name);
            text.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        let table = query_field(target, "table").unwrap_or_default();
        let (since, wait_ms) = (number("since_rev"), number("wait_ms"));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = lock(&self.rows);
        loop {
            let mut found: Vec<(u64, String)> = rows
                .rows
                .iter()
                .filter(|((t, _, _), (ver, _))| *t == table && *ver > since)
                .map(|(key, (ver, value))| (*ver, row_json(key, *ver, value.as_ref())))
                .collect();
            let now = Instant::now();
            if !found.is_empty() || now >= until {
                found.sort();
                let found: Vec<String> = found.into_iter().map(|(_, row)| row).collect();
                let (ver, now_ms, found) = (rows.ver, self.record.now_ms(), found.join(","));
                let body = format!("{{\"rows\":[{found}],\"ver\":{ver},\"now_ms\":{now_ms}}}");
                return (200, body);
            }
            let waited = self.changed.wait_timeout(rows, until - now);
            rows = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn row_json((table, part, key): &RowKey, ver: u64, value: Option<&String>) -> String {
    let (table, part, key) = (quote(table), quote(part), quote(key));
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"gone\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"private_key\":{key},\"ver\":{ver},{value}}}")
}

// ---------------------------------------------------------------- replicas

/// A request that a replica began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub request: String,
    pub replica: String,
    pub path: String,
}

/// What all replicas ran.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        lock(&self.0).clone()
    }
}

/// A replica of a service. It answers `/s/` with a stream and everything else with a body.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: &'static str,
    version: String,
    record: Arc<Record>,
    runs: Arc<Runs>,
    has_ended: AtomicBool,
    is_leaving: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// Events of a stream and the time between two.
    pub events: usize,
    pub event_gap_ms: u64,
    running: AtomicUsize,
    slots: usize,
}

pub struct ReplicaSettings<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'static str,
    pub version: &'a str,
    pub address: SocketAddr,
    pub slots: usize,
    pub events: usize,
    pub event_gap_ms: u64,
}

impl Replica {
    pub fn start(
        record: &Arc<Record>,
        runs: &Arc<Runs>,
        settings: &ReplicaSettings<'_>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.address)?;
        listener.set_nonblocking(true)?;
        let replica = Arc::new(Self {
            id: settings.id.to_owned(),
            service: settings.service.to_owned(),
            address: settings.address,
            zone: settings.zone,
            version: settings.version.to_owned(),
            record: record.clone(),
            runs: runs.clone(),
            has_ended: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            open: Mutex::default(),
            events: settings.events,
            event_gap_ms: settings.event_gap_ms,
            running: AtomicUsize::new(0),
            slots: settings.slots,
        });
        let accepting = replica.clone();
        std::thread::spawn(move || {
            while !accepting.has_ended.load(Ordering::SeqCst) {
                let Ok((stream, from)) = listener.accept() else {
                    sleep_ms(2);
                    continue;
                };
                let replica = accepting.clone();
                std::thread::spawn(move || {
                    let _closed = replica.serve(stream, from);
                });
            }
        });
        Ok(replica)
    }

    /// The row `servers/ID`.
    pub fn row(&self, state: &str) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":{},\"slots\":{},\"state\":{},\"cold_left_ms\":0,\"seq_no\":4}}",
            quote(&self.service),
            self.address,
            quote(self.zone),
            quote(&self.version),
            self.slots,
            quote(state)
        )
    }

    /// Answers carry `Connection: close` from now on, as those of a leaving replica do.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the replica with its connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in lock(&self.open).drain(..) {
            let _closed = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, from: SocketAddr) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        lock(&self.open).push(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            self.running.fetch_add(1, Ordering::SeqCst);
            let answered = self.answer(&request, from, &mut writer);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !answered? {
                break;
            }
        }
        Ok(())
    }

    /// Returns whether the connection stays open.
    fn answer(&self, request: &Message, from: SocketAddr, writer: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let target = request.first.split(' ').nth(1).unwrap_or("");
        if target.starts_with("/-/") || target == "/health" {
            let head = format!("HTTP/1.1 200 OK\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            writer.write_all(head.as_bytes())?;
            return Ok(true);
        }
        if request.header("expect-replica").is_some_and(|expected| expected != self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            writer.write_all(head.as_bytes())?;
            return Ok(true);
        }
        let run = Run {
            at_ms: self.record.now_ms(),
            request: id.clone(),
            replica: self.id.clone(),
            path: target.to_owned(),
        };
        lock(&self.runs.0).push(run);
        self.record.line(format!(
            "replica {} runs request {id} {target}, sent on from {from}, tenant {}",
            self.id,
            request.header("tenant").unwrap_or("none")
        ));
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let connection = if is_leaving { "Connection: close\r\n" } else { "Keep-Alive: timeout=10\r\n" };
        let common = format!("Request-Id: {id}\r\nServer-Signature: {}.{id}\r\n{connection}", self.id);
        if !target.starts_with("/s/") {
            sleep_ms(20);
            let mut body = format!("{} of {}", id, self.id);
            if let Some(bytes) = target.strip_prefix("/o/bytes/").and_then(|bytes| bytes.parse().ok()) {
                body.extend(std::iter::repeat_n('.', bytes));
            }
            let head = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n", body.len());
            writer.write_all((head + &body).as_bytes())?;
            return Ok(!is_leaving);
        }
        let first = request.header("last-event-id").and_then(|id| id.parse::<usize>().ok());
        let first = first.map_or(0, |last| last + 1);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        sleep_ms(20);
        writer.write_all(head.as_bytes())?;
        for event in first..self.events {
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            sleep_ms(self.event_gap_ms);
        }
        writer.write_all(b"0\r\n\r\n")?;
        Ok(!is_leaving)
    }
}

// ---------------------------------------------------------------- hosts

/// The addresses of a run, in a block of 127.0.0.0/8 of its own.
#[derive(Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// Finds a block whose addresses are free.
    pub fn find() -> Option<Self> {
        let pid = std::process::id();
        (0..50).find_map(|attempt| {
            let block = pid.wrapping_mul(31).wrapping_add(attempt * 977);
            let network = Network(1 + (block % 250) as u8, (block / 250 % 250) as u8);
            let is_free = [network.at(1, FRONT_PORT), network.at(200, STORE_PORT)]
                .iter()
                .all(|address| TcpListener::bind(address).is_ok());
            is_free.then_some(network)
        })
    }

    pub fn at(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.0, self.1, last).into(), port)
    }
}

pub const FRONT_PORT: u16 = 8227;
pub const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
pub const STORE_PORT: u16 = 8223;
pub const REPLICA_PORT: u16 = 8463;
pub const ZONES: [&str; 3] = ["lac", "charguia", "manouba"];

/// A host: the program of the deploy file as a process of its own.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
}

impl Host {
    /// Writes the settings of the host with a number from 1.
    pub fn prepare(
        network: Network,
        number: u8,
        hosts: u8,
        folder: &Path,
        program: &Path,
    ) -> io::Result<Arc<Self>> {
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let name = format!("front-{zone}-{number}");
        let ip = network.at(number, 0).ip();
        let seeds: String = (1..=hosts.min(3))
            .map(|seed| format!("  - \"{}\"\n", network.at(seed, CONTROL_PORT)))
            .collect();
        let store = network.at(200, STORE_PORT);
        let text = format!(
            "node_name: \"{name}\"\nrole: \"host\"\nmachine_class: \"front\"\nserves: [\"front\", \"control\"]\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"tunis\"\n\
             zones: {{lac: \"tunis\", charguia: \"tunis\", manouba: \"tunis\"}}\n\
             listen:\n  front: \"{ip}:{FRONT_PORT}\"\n  ready: \"{ip}:{READY_PORT}\"\n  control: \"{ip}:{CONTROL_PORT}\"\n\
             port_range: [7340, 7355]\nseeds:\n{seeds}bootstrap: true\nin_tolerance: false\n\
             limits: {{cpu_share: 0.25, cores: 1, memory_mb: 260, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}}\n\
             data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n\
             fault_tolerance: {{machines: 2, zones: 0, regions: 0}}\n\
             bounds: {{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, \
             drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, \
             max_skew_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_budget: 0.2, budget_window_s: 10, \
             budget_slack: 56, recover_s: 12, pass_ms: 120, retry_after_s: 10, cap_factor: 2}}\n\
             platform: {{address: \"{store}\", form: \"table\", writes_per_s: 400, reads_per_s: 2000, tx_ms: 5.0, \
             part_writes_per_s: 200, row_bytes: 65536, across: false, history_s: 20, blob_bytes: 8388608, \
             blob_ms: 25.0, blob_mb_per_s: 80.0}}\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text)?;
        Ok(Arc::new(Self {
            front: network.at(number, FRONT_PORT),
            ready: network.at(number, READY_PORT),
            child: Mutex::new(None),
            log: folder.join(format!("{name}.log")),
            settings,
            name,
            program: program.to_owned(),
        }))
    }

    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env("CHALKROCK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // Read by the script that ends what is left.
        if let Some(folder) = self.settings.parent() {
            let mut pids = File::options().create(true).append(true).open(folder.join("pids"))?;
            writeln!(pids, "{}", child.id())?;
        }
        *lock(&self.child) = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &*lock(&self.child) {
            let _sent = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        let mut child = lock(&self.child);
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        let _set = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = b"GET /-/ready HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        if stream.write_all(request).is_err() {
            return false;
        }
        let answer = read_head(&mut BufReader::new(stream));
        answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts hosts and waits until all are ready.
pub fn start_hosts(hosts: &[Arc<Host>]) -> bool {
    for host in hosts {
        if host.start().is_err() {
            return false;
        }
    }
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if hosts.iter().all(|host| host.is_ready()) {
            return true;
        }
        sleep_ms(50);
    }
    false
}

// ---------------------------------------------------------------- clients

/// How a client's request ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub request: String,
    pub host: String,
    /// The status; 0 if there was no answer.
    pub status: u16,
    /// The signature of a replica.
    pub signature: Option<String>,
    /// Whether the answer is whole.
    pub is_whole: bool,
    pub events: Vec<u64>,
    /// Bytes read of a body with a length.
    pub bytes: usize,
    pub body: String,
}

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub body: &'a str,
    pub extra: &'a str,
}

/// Connects as over an ordinary link: with segments of 1,460 bytes and a receive buffer of 64 KB.
/// The system's own defaults for loopback hide that a client is slow behind megabytes of buffers.
fn connect_over_link(to: SocketAddr) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    #[repr(C)]
    struct Address {
        family: u16,
        port: [u8; 2],
        ip: [u8; 4],
        zero: [u8; 8],
    }
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(socket: i32, address: *const Address, length: u32) -> i32;
    }
    const AF_INET: u16 = 2;
    const SOCK_STREAM: i32 = 1;
    const OPTIONS: [(i32, i32, i32); 2] = [(1, 8, 64 * 1024), (6, 2, 1_460)];
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = Address {
        family: AF_INET,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the calls get an open socket and values that live through them; the stream owns the
    // socket from then on.
    unsafe {
        let fd = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in OPTIONS {
            if setsockopt(fd, level, name, &value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        if connect(fd, &address, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9 + 0x1000_0000_0000)
}

/// Sends a request over a new connection and reads its answer to the end.
pub fn send(record: &Record, front: SocketAddr, request: &Request<'_>) -> Ended {
    send_and_read(record, front, request, None)
}

/// The same; `bytes_per_s` is how fast the client reads.
pub fn send_and_read(
    record: &Record,
    front: SocketAddr,
    request: &Request<'_>,
    bytes_per_s: Option<usize>,
) -> Ended {
    let id = next_id();
    let mut ended = Ended {
        sent_ms: record.now_ms(),
        ended_ms: 0,
        request: id.clone(),
        host: front.ip().to_string(),
        status: 0,
        signature: None,
        is_whole: false,
        events: Vec::new(),
        bytes: 0,
        body: String::new(),
    };
    let result = exchange(front, request, &id, bytes_per_s, &mut ended);
    ended.is_whole = result.is_ok() && ended.status != 0;
    ended.ended_ms = record.now_ms();
    let Request { method, path, .. } = request;
    record.line(format!(
        "client sent {method} {path} {id} to host {} at {} ms: status {}, signed by {}, {}, {} events, {} bytes",
        ended.host,
        ended.sent_ms,
        ended.status,
        ended.signature.as_deref().unwrap_or("nobody"),
        if ended.is_whole { "whole" } else { "cut" },
        ended.events.len(),
        ended.bytes
    ));
    ended
}

fn exchange(
    front: SocketAddr,
    request: &Request<'_>,
    id: &str,
    bytes_per_s: Option<usize>,
    ended: &mut Ended,
) -> io::Result<()> {
    let deadline = Duration::from_millis(request.deadline_ms);
    let mut stream = match bytes_per_s {
        Some(_) => connect_over_link(front)?,
        None => TcpStream::connect_timeout(&front, Duration::from_secs(1))?,
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline))?;
    let Request { method, path, host, key, deadline_ms, body, extra } = request;
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {key}\r\n{extra}{length}\r\n{body}"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    ended.status = head.status();
    ended.signature = head.header("server-signature").map(str::to_owned);
    let mut body = Vec::new();
    if is_chunked(&head) {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            let text = String::from_utf8_lossy(&chunk).into_owned();
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
            ended.events.extend(ids.filter_map(|id| id.trim().parse::<u64>().ok()));
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = head.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let began = Instant::now();
        while body.len() < length {
            let mut piece = vec![0; (length - body.len()).min(32 * 1024)];
            let read = reader.read(&mut piece)?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&piece[..read]);
            ended.bytes = body.len();
            if let Some(bytes_per_s) = bytes_per_s {
                let due = Duration::from_secs_f64(body.len() as f64 / bytes_per_s as f64);
                std::thread::sleep(due.saturating_sub(began.elapsed()));
            }
        }
    } else {
        reader.read_to_end(&mut body)?;
    }
    ended.body = String::from_utf8_lossy(&body).into_owned();
    Ok(())
}

// ---------------------------------------------------------------- cases

/// Plays a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn play(run: impl FnOnce(&Path, &Path, &Path, bool) -> Result<bool, String>) -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (folder, work, program) = (arguments.next(), arguments.next(), arguments.next());
    let (Some(folder), Some(work), Some(program)) = (folder, work, program) else {
        eprintln!("usage: case FOLDER WORK_FOLDER HOST_PROGRAM");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    match run(Path::new(&folder), Path::new(&work), Path::new(&program), with_trouble) {
        Ok(true) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
