//! Stand-ins for the platform of a small deployment, with the standard library only: the store, the
//! processes under test, a small HTTP server and a client.
//!
//! All addresses are loopback addresses. Every process that is started is killed when its handle is dropped.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::io::{self};
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The interval at which runners write their records.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The most rows of one read.
const MAX_PAGE_ROWS: usize = 500;
/// The silence after which the store removes the record of a runner.
pub const RECORD_LIFE: Duration = Duration::from_millis(3_600);

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The largest segment of TCP on Ethernet. The loopback device has far larger ones, and buffers to match.
const SEGMENT_BYTES: i32 = 1_460;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Gives the connections of a listener the segments, and thereby the buffers, of a network.
pub fn limit_segments(listener: &TcpListener) {
    // The descriptor is open, and the value is an integer of the stated length.
    let result = unsafe { setsockopt(listener.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4) };
    if result != 0 {
        cannot_run("the size of segments cannot be set");
    }
}

/// Returns whether the disruption of the case is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the clock is past 1970").as_millis() as u64
}

/// Ends the case with the code for one that could not run.
pub fn cannot_run(reason: impl std::fmt::Display) -> ! {
    eprintln!("the case cannot run: {reason}");
    std::process::exit(2);
}

/// The lines of `record.txt`, each with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started_ms: u64,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(error));
        Record {
            file: Arc::new(Mutex::new(file)),
            started_ms: unix_ms(),
        }
    }

    pub fn line(&self, text: impl std::fmt::Display) {
        self.line_at(unix_ms(), text);
    }

    pub fn line_at(&self, at_ms: u64, text: impl std::fmt::Display) {
        let at = at_ms.saturating_sub(self.started_ms);
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {text}");
    }

    /// Writes the outcome and ends the case.
    pub fn end(&self, broken: bool, text: impl std::fmt::Display) -> i32 {
        let outcome = if broken { "BROKEN" } else { "held" };
        self.line(format!("{outcome}: {text}"));
        println!("{outcome}: {text}");
        i32::from(broken)
    }
}

/// A message of HTTP/1.1: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let value = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| unescape(value))
        });
        value
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes.get(index + 1..index + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[index], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                index += 3;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl Read) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if reader.read(&mut byte)? == 0 {
            return match head.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    });
    Ok(Some(Message {
        start,
        headers: headers.collect(),
        body: Vec::new(),
    }))
}

/// Reads the body that follows a head.
pub fn read_body(reader: &mut impl Read, message: &Message) -> io::Result<Vec<u8>> {
    let coding = message.header("transfer-encoding").unwrap_or_default();
    if coding.eq_ignore_ascii_case("chunked") {
        return read_chunks(reader);
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_line(reader: &mut impl Read) -> io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        reader.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&line[..line.len() - 2]).into_owned())
}

fn read_chunks(reader: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut impl Write, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Accepts connections until the process ends, and serves each in a thread.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let _ = handle(stream);
            });
        }
    });
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &'static str, path: &str, id: &str, deadline_ms: u64) -> Call {
        Call {
            method,
            path: path.into(),
            id: id.into(),
            deadline_ms,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    fn head(&self) -> Vec<u8> {
        let Call { method, path, id, deadline_ms, .. } = self;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        );
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        if *method != "GET" {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        (text + "\r\n").into_bytes()
    }
}

/// A channel of a caller to an entry.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(entry: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Channel {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, call: &Call) -> io::Result<()> {
        let mut stream = self.reader.get_ref();
        stream.write_all(&call.head())?;
        stream.write_all(&call.body)
    }

    /// Reads the answer to a call; its body is whole if this succeeds.
    pub fn receive(&mut self, timeout: Duration) -> io::Result<Message> {
        self.reader.get_ref().set_read_timeout(Some(timeout))?;
        let head = read_head(&mut self.reader)?;
        let mut message = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        message.body = read_body(&mut self.reader, &message)?;
        Ok(message)
    }

    pub fn exchange(&mut self, call: &Call) -> io::Result<Message> {
        self.send(call)?;
        self.receive(Duration::from_millis(call.deadline_ms + 500))
    }
}

/// Sends a call over a new channel.
pub fn exchange(entry: SocketAddr, call: &Call) -> io::Result<Message> {
    Channel::open(entry)?.exchange(call)
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = BASE64[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    /// Base64 of the content; `None` for a removed row.
    value: Option<String>,
    version: u64,
    written_at: Instant,
}

#[derive(Default)]
struct Rows {
    rows: Vec<Row>,
    version: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started_at: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|error| cannot_run(error));
        let store = Store {
            addr: listener.local_addr().unwrap(),
            rows: Arc::default(),
            started_at: Instant::now(),
        };
        let served = store.clone();
        serve(listener, move |stream| served.serve(stream));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, json: &str) {
        self.write(table, key, Some(base64(json.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        rows.write(table, key, value);
        changed.notify_all();
    }

    /// Removes the records of runners that have been silent.
    fn expire(&self) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let silent = rows.rows.iter().filter(|row| {
            row.table == "servers" && row.value.is_some() && row.written_at.elapsed() > RECORD_LIFE
        });
        let silent: Vec<String> = silent.map(|row| row.key.clone()).collect();
        for key in silent {
            rows.version += 1;
            rows.write("servers", &key, None);
            changed.notify_all();
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        while let Some(mut call) = read_head(&mut reader)? {
            call.body = read_body(&mut reader, &call)?;
            let (status, body) = match call.path() {
                "/-/rows-get" => self.get(&call),
                "/-/rows-feed" => self.feed(&call),
                "/-/rows-tx" => self.transact(&call),
                _ => (404, String::new()),
            };
            let headers = [("content-type", "application/json")];
            respond(reader.get_mut(), status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn get(&self, call: &Message) -> (u16, String) {
        let table = call.query("table").unwrap_or_default();
        let from = call.query("from").unwrap_or_default();
        let to = call.query("to");
        let rows = self.rows.0.lock().unwrap();
        let wanted = rows.rows.iter().filter(|row| {
            row.table == table && row.value.is_some() && row.key >= from && to.as_ref().is_none_or(|to| row.key < *to)
        });
        let mut wanted: Vec<&Row> = wanted.collect();
        wanted.sort_by(|a, b| a.key.cmp(&b.key));
        let limit = call.query("limit").and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let has_more = wanted.len() > limit;
        wanted.truncate(limit);
        (200, self.page(&wanted, has_more, rows.version))
    }

    fn feed(&self, call: &Message) -> (u16, String) {
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let table = call.query("table").unwrap_or_default();
        let (after, end) = (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let wanted = rows.rows.iter().filter(|row| row.table == table && row.version > after);
            let mut wanted: Vec<&Row> = wanted.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !wanted.is_empty() || left.is_zero() {
                wanted.sort_by_key(|row| row.version);
                return (200, self.page(&wanted, false, rows.version));
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn page(&self, rows: &[&Row], has_more: bool, version: u64) -> String {
        let rows: Vec<String> = rows.iter().map(|row| row.json()).collect();
        let now_ms = self.now_ms();
        format!(r#"{{"rows":[{}],"has_more":{has_more},"ver":{version},"now_ms":{now_ms}}}"#, rows.join(","))
    }

    fn transact(&self, call: &Message) -> (u16, String) {
        let text = call.text();
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        for entry in entries(&text, "expected") {
            let (table, key) = (field(entry, "table"), field(entry, "key"));
            let known = rows.rows.iter().find(|row| (&row.table, &row.key) == (&table, &key) && row.value.is_some());
            if known.map_or(0, |row| row.version) != number_field(entry, "ver") {
                return (412, r#"{"rows":[]}"#.into());
            }
        }
        rows.version += 1;
        for entry in entries(&text, "puts") {
            let value = Some(field(entry, "value"));
            rows.write(&field(entry, "table"), &field(entry, "key"), value);
        }
        for entry in entries(&text, "remove") {
            rows.write(&field(entry, "table"), &field(entry, "key"), None);
        }
        changed.notify_all();
        (200, format!(r#"{{"ver":{},"now_ms":{}}}"#, rows.version, self.now_ms()))
    }
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.rows.retain(|row| row.table != table || row.key != key);
        self.rows.push(Row {
            table: table.into(),
            key: key.into(),
            value,
            version: self.version,
            written_at: Instant::now(),
        });
    }
}

impl Row {
    fn json(&self) -> String {
        let Row { table, key, version, .. } = self;
        let rest = match &self.value {
            Some(value) => format!(r#""value":"{value}""#),
            None => r#""removed":true"#.into(),
        };
        format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},{rest}}}"#)
    }
}

/// Returns the objects of an array of flat objects.
fn entries<'a>(json: &'a str, name: &str) -> Vec<&'a str> {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":[")) else {
        return Vec::new();
    };
    let list = rest.split(']').next().unwrap_or_default();
    list.split('}').filter(|part| part.contains('{')).collect()
}

/// Returns a text field of a flat object.
pub fn field(json: &str, name: &str) -> String {
    let found = json.split_once(&format!("\"{name}\":\""));
    found.and_then(|(_, rest)| rest.split('"').next()).unwrap_or_default().into()
}

/// Returns a number field of a flat object; 0 if there is none.
pub fn number_field(json: &str, name: &str) -> u64 {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":")) else {
        return 0;
    };
    let digits: String = rest.trim().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// The bounds of the deployment, as on the sheet of pinecrest-airing.
const BOUNDS: &str = "\n[bounds]\nstop_s = 8\ndrain_ms = 2000\ncontact_ms = 3000\nversion_ms = 5000\n\
    retry_ratio = 0.2\nretry_slack = 56\nretry_window_s = 10\n";

/// A process under test or a stand-in that is a process of its own.
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // The process was started by this one and is not waited for before it is dropped.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns the memory that the process occupies, in bytes.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1));
        kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) * 1_024
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process; returns whether it came in time.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.has_ended() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The addresses and files of a case.
pub struct Site {
    pub folder: PathBuf,
    pub store: Store,
    pub agent_port: u16,
    programs: PathBuf,
}

impl Site {
    /// Starts the store; `folder` is the case's temporary folder, and `programs` has the programs under test.
    pub fn start(folder: &Path, programs: &Path) -> Site {
        std::fs::create_dir_all(folder).unwrap_or_else(|error| cannot_run(error));
        Site {
            folder: folder.into(),
            store: Store::start(),
            agent_port: free_port(),
            programs: programs.into(),
        }
    }

    fn spawn(&self, name: &str, program: &Path, args: &[&str], settings: Option<&str>) -> Process {
        let log = File::create(self.folder.join(format!("{name}.log"))).unwrap_or_else(|error| cannot_run(error));
        let errors = log.try_clone().unwrap_or_else(|error| cannot_run(error));
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(log).stderr(errors);
        if let Some(settings) = settings {
            let path = self.folder.join(format!("{name}.toml"));
            std::fs::write(&path, settings).unwrap_or_else(|error| cannot_run(error));
            command.env("DOTTERELWHEEL_CONFIG", path);
        }
        // The process ends with the thread that started it, however the case ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| cannot_run(error));
        Process {
            child,
            name: name.into(),
        }
    }

    /// Starts an entry with the command of the deploy file.
    pub fn start_entry(&self, name: &str, addrs: &EntryAddrs, memory_mb: u32) -> Process {
        let EntryAddrs { front, ready, metrics } = addrs;
        let (store, port) = (self.store.addr, self.agent_port);
        let settings = format!(
            "instance = \"{name}\"\ndomain = \"z1\"\nlisten = \"{front}\"\nready = \"{ready}\"\n\
             metrics = \"{metrics}\"\nstore = \"{store}\"\nagent_port = {port}\nmax_files = 4100\n\
             memory_mb = {memory_mb}\ndump_secret = \"{name}-state-dump\"\n{BOUNDS}"
        );
        self.spawn(name, &self.programs.join("dotterelwheel"), &["gateway"], Some(&settings))
    }

    /// Starts the agent of the runner at this address with the command of the deploy file.
    pub fn start_agent(&self, name: &str, runner: SocketAddr) -> Process {
        let listen = SocketAddr::new(runner.ip(), self.agent_port);
        let metrics = SocketAddr::new(runner.ip(), free_port());
        let settings = format!(
            "instance = \"{name}\"\nlisten = \"{listen}\"\nmetrics = \"{metrics}\"\nrunner = \"{runner}\"\n\
             dump_secret = \"{name}-state-dump\"\n"
        );
        self.spawn(name, &self.programs.join("dotterelwheel-agent"), &["sidecar"], Some(&settings))
    }

    /// Starts this program once more, with other arguments.
    pub fn start_standin(&self, name: &str, args: &[&str]) -> Process {
        let program = std::env::current_exe().unwrap_or_else(|error| cannot_run(error));
        self.spawn(name, &program, args, None)
    }
}

/// The addresses of an entry.
#[derive(Clone, Debug)]
pub struct EntryAddrs {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
}

impl EntryAddrs {
    pub fn free() -> EntryAddrs {
        let addr = || SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        EntryAddrs {
            front: addr(),
            ready: addr(),
            metrics: addr(),
        }
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let call = Call::new("GET", "/-/readyz", "ready", 1_000);
        while Instant::now() < end {
            if exchange(self.ready, &call).is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Returns a port that is free on all loopback addresses at the moment.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).unwrap_or_else(|error| cannot_run(error));
    listener.local_addr().unwrap().port()
}

/// Returns the loopback address of machine `number`.
pub fn machine(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 7, number))
}

/// A route of a manifest.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub goal_ms: u64,
    pub max_attempts: u32,
    pub resumable: bool,
}

/// Returns a manifest with these routes; `services` are the JSON texts of the services.
pub fn manifest(version: u64, routes: &[Route], services: &[String]) -> String {
    let routes = routes.iter().map(|route| {
        let Route { name, kind, service, timeout_ms, goal_ms, max_attempts, resumable } = route;
        let gap = if *kind == "stream" { r#","gap_goal_ms":400"# } else { "" };
        format!(
            r#"{{"name":"{name}","host":"a.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout_ms},
            "goal_ms":{goal_ms},"priority":1,"service":"{service}","max_attempts":{max_attempts},"public":false,
            "resumable":{resumable}{gap}}}"#
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"header_bytes":16384,
        "body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Returns a service without an engine.
pub fn plain_service(name: &str, max_conns: u32) -> String {
    format!(r#"{{"name":"{name}","health_path":"/healthz","max_conns":{max_conns},"protocol":"h1","tls":false}}"#)
}

/// Returns a service with an engine that serves one model, `m`.
pub fn engine_service(name: &str, slots: u32) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":
        {{"models":[{{"name":"m","weights_mb":65100.0,"load_s":0.6,"adapters":3000,"adapter_mb":12.0}}],
        "weights_mb":67000.0,"adapter_slots":{slots},"slots":64}}}}"#
    )
}

/// Returns the seal of a runner's answer.
pub fn seal(status: u16, id: &str) -> String {
    format!("rig.{status}.{id}")
}

/// Counts texts, for summaries.
pub fn counts<'a>(texts: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for text in texts {
        *counts.entry(text).or_default() += 1;
    }
    counts
}
