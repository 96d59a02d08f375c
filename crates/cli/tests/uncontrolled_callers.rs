//! An entry as a process with its limits, and crowds of callers that respect none.
//!
//! Guards against an entry that such callers take over its limits on memory or descriptors, or end, or keep from
//! answering ordinary callers. Nothing here depends on the speed of the machine.

mod program;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use program::ProcessLimits;
use program::Program;
use rig::deploy::manifest;
use rig::runner::Phase;
use rig::runner::Runner;
use rig::runner::RunnerSpec;
use rig::runner::success_head;
use rig::store::Store;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// The limits in the settings of an entry that a crowd calls; they allow 1,000 connections.
const CROWDED: ProcessLimits = ProcessLimits {
    memory_mb: 64,
    max_files: 2_200,
};
/// The limits of an entry whose answers nobody reads; they are larger than what the kernel takes of each.
const ANSWERING: ProcessLimits = ProcessLimits {
    memory_mb: 160,
    max_files: 4_100,
};
/// The limits of a small entry.
const SMALL: ProcessLimits = ProcessLimits {
    memory_mb: 120,
    max_files: 3_075,
};
/// The callers of one crowd.
const CALLERS: usize = 950;
/// The body of most callers, and that of each [`LARGE_EVERY`]th.
const BODY_BYTES: usize = 32 << 10;
const LARGE_BODY_BYTES: usize = 1 << 20;
const LARGE_EVERY: usize = 20;
/// The largest body and the largest head that the manifest allows.
const MAX_BODY_BYTES: usize = 4 << 20;
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The bytes of one part of a body, and the pause before the next part.
const PART_BYTES: usize = 4 << 10;
const PART_PAUSE: Duration = Duration::from_millis(20);
/// The bytes of large and of small chunks.
const LARGE_CHUNK: usize = 16 << 10;
const SMALL_CHUNK: usize = 64;
/// The fields of a head with many, and the length of each value.
const FIELDS: usize = 90;
const FIELD_BYTES: usize = 160;
/// The time in which a slow runner works on a request.
const WORK_TIME: Duration = Duration::from_secs(2);
/// The pause between two tries of an ordinary request, and their number.
const TRY_PAUSE: Duration = Duration::from_millis(100);
const TRIES: usize = 200;

/// The callers that read no answer, the bytes of each answer, and what their sockets hold of it.
const READERS_OF_NOTHING: usize = 100;
const ANSWER_BYTES: usize = 9 << 19;
const SMALL_BUFFER: u32 = 4 << 10;

/// Held by the test that runs, so that one crowd at a time loads the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// What the callers of a crowd send before they fall silent.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// A body of a declared length but for its last byte, in one piece.
    Whole,
    /// The same, in parts.
    Parts,
    /// A chunked body that has no end, in chunks of this many bytes.
    Chunks(usize),
    /// The head of a body far over the limit, and a part of the body.
    Announced,
    /// A chunked body without end that goes over the limit.
    TooLong,
    /// A head of nearly the largest size, without its end.
    Head,
    /// A request without a body, whose head has many fields and nearly the largest size.
    ManyFields,
}

fn request_head(framing: &str) -> String {
    format!(
        "POST /once/a HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\n\
         x-deadline-ms: 3000\r\n{framing}\r\n\r\n"
    )
}

fn declared_head(length: usize) -> String {
    request_head(&format!("content-length: {length}"))
}

fn chunked(length: usize, chunk: usize) -> Vec<u8> {
    let head = request_head("transfer-encoding: chunked");
    let part = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    [head.as_bytes(), &part.as_bytes().repeat(length / chunk)].concat()
}

impl Form {
    /// Returns what one caller sends. `length` is the size of the body that it seems to send.
    fn bytes(self, length: usize) -> Vec<u8> {
        match self {
            Form::Whole | Form::Parts => {
                let mut bytes = declared_head(length).into_bytes();
                bytes.resize(bytes.len() + length - 1, b'x');
                bytes
            }
            Form::Chunks(chunk) => chunked(length, chunk),
            Form::Announced => {
                let mut bytes = declared_head(100 * MAX_BODY_BYTES).into_bytes();
                bytes.resize(bytes.len() + length, b'x');
                bytes
            }
            Form::TooLong => chunked(MAX_BODY_BYTES + length, LARGE_CHUNK),
            Form::Head => {
                let head = declared_head(length).replace("\r\n\r\n", "\r\nx-a: ");
                let rest = MAX_HEAD_BYTES - head.len() - 1;
                (head + &"x".repeat(rest)).into_bytes()
            }
            Form::ManyFields => {
                let fields = (0..FIELDS)
                    .map(|index| format!("x-field-{index}: {}\r\n", "x".repeat(FIELD_BYTES)));
                let fields: String = fields.collect();
                request_head(&format!("{fields}content-length: 0")).into_bytes()
            }
        }
    }

    /// Returns how many bytes are sent at once.
    fn part_bytes(self) -> usize {
        match self {
            Form::Parts => PART_BYTES,
            Form::Whole
            | Form::Chunks(_)
            | Form::Announced
            | Form::TooLong
            | Form::Head
            | Form::ManyFields => usize::MAX,
        }
    }
}

/// Sends what a caller of a crowd sends. Returns the connection, which stays open; none if the entry has closed it.
async fn send_incomplete(entry: SocketAddr, form: Form, number: usize) -> Option<TcpStream> {
    let length = match number % LARGE_EVERY {
        0 => LARGE_BODY_BYTES,
        _ => BODY_BYTES,
    };
    let bytes = form.bytes(length);
    let mut stream = TcpStream::connect(entry).await.ok()?;
    let parts = bytes.chunks(form.part_bytes().min(bytes.len()));
    for part in parts {
        stream.write_all(part).await.ok()?;
        if part.len() < bytes.len() {
            tokio::time::sleep(PART_PAUSE).await;
        }
    }
    Some(stream)
}

/// Sends a complete request in parts; returns the status of its answer.
async fn call(entry: SocketAddr, length: usize) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(declared_head(length).as_bytes()).await?;
    for part in vec![b'x'; length].chunks(LARGE_BODY_BYTES / 16) {
        stream.write_all(part).await?;
        tokio::time::sleep(PART_PAUSE).await;
    }
    let mut answer = vec![0; 4_096];
    let count = stream.read(&mut answer).await?;
    let text = String::from_utf8_lossy(&answer[..count]);
    Ok(text.split(' ').nth(1).unwrap_or_default().to_owned())
}

/// Repeats an ordinary request until it is served. Returns whether it was.
async fn is_served(entry: SocketAddr) -> bool {
    for _ in 0..TRIES {
        let status = call(entry, 4).await;
        if status.is_ok_and(|status| status == "200") {
            return true;
        }
        tokio::time::sleep(TRY_PAUSE).await;
    }
    false
}

/// Answers one request with a body of [`ANSWER_BYTES`], or of two bytes to a caller that sends a body.
async fn serve_answer(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let length = match request.starts_with(b"GET ") {
        true => ANSWER_BYTES,
        false => 2,
    };
    let head = success_head("q");
    let head = format!("{head}connection: close\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; length]).await
}

async fn serve_answers(listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve_answer(stream));
    }
}

/// Returns the request of a large answer.
fn large_request() -> String {
    let head = request_head("connection: close");
    head.replacen("POST", "GET", 1)
}

/// Sends a request and reads nothing. Returns the connection, which stays open.
async fn request_unread(entry: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SMALL_BUFFER)?;
    let mut stream = socket.connect(entry).await?;
    stream.write_all(large_request().as_bytes()).await?;
    Ok(stream)
}

/// Repeats a request with a large answer until the answer is read to its end. Returns whether one was.
async fn is_read(entry: SocketAddr) -> bool {
    for _ in 0..TRIES {
        let mut answer = Vec::new();
        if let Ok(mut stream) = TcpStream::connect(entry).await {
            // An answer that breaks off is too short.
            let _ = stream.write_all(large_request().as_bytes()).await;
            let _ = stream.read_to_end(&mut answer).await;
        }
        if answer.starts_with(b"HTTP/1.1 200 ") && answer.len() > ANSWER_BYTES {
            return true;
        }
        tokio::time::sleep(TRY_PAUSE).await;
    }
    false
}

/// A site with one runner.
struct Site {
    store: Store,
    runner: Runner,
}

async fn start_site(work_time: Duration) -> Site {
    let store = Store::start((Ipv4Addr::LOCALHOST, 0).into()).await;
    let store = store.expect("the store starts");
    let runner = Runner::start(RunnerSpec {
        slots: 900,
        work_time,
        ..RunnerSpec::plain("i-0")
    });
    let runner = runner.await.expect("the runner starts");
    store.put_member(&runner, runner.addr, Phase::Ready);
    store.put_manifest(&manifest(1, "s"));
    Site { store, runner }
}

/// Lets a crowd call an entry, and checks the entry.
async fn check_crowd(form: Form) {
    check_crowd_at(form, Duration::ZERO).await;
}

/// The same at a runner that works so long on each request.
async fn check_crowd_at(form: Form, work_time: Duration) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let site = start_site(work_time).await;
    let (mut program, entry) = Program::start_limited(site.store.addr, CROWDED).await;
    assert!(is_served(entry).await);
    let idle_kb = program.peak_kb();

    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(send_incomplete(entry, form, number));
    }
    let mut open = Vec::new();
    let mut most_files = 0;
    while let Some(stream) = callers.join_next().await {
        open.extend(stream.expect("no panic"));
        most_files = most_files.max(program.open_files());
    }
    assert!(is_served(entry).await, "no ordinary request was served");
    assert!(program.is_running());
    let peak_kb = program.peak_kb();
    println!(
        "{form:?}: {idle_kb} KiB before, {peak_kb} KiB at most, {most_files} descriptors, {} sent all",
        open.len()
    );
    assert!(peak_kb < CROWDED.memory_mb << 10, "{peak_kb} KiB");
    assert!(most_files < CROWDED.max_files, "{most_files} descriptors");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_without_their_last_byte() {
    check_crowd(Form::Whole).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_parts_without_their_last_byte() {
    check_crowd(Form::Parts).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_without_end() {
    check_crowd(Form::Chunks(LARGE_CHUNK)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_chunks_without_end() {
    check_crowd(Form::Chunks(SMALL_CHUNK)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_announced_over_the_limit() {
    check_crowd(Form::Announced).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_sent_over_the_limit() {
    check_crowd(Form::TooLong).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end() {
    check_crowd(Form::Head).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_of_many_fields_at_a_slow_runner() {
    check_crowd_at(Form::ManyFields, WORK_TIME).await;
}

/// Guards against answers that take memory without bound since their callers do not read them, and against callers
/// that get no answer on account of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_nobody_reads() {
    let _guard = ONE_AT_A_TIME.lock().await;
    let site = start_site(Duration::ZERO).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("its address");
    let runner = tokio::spawn(serve_answers(listener));
    site.store.put_member(&site.runner, addr, Phase::Ready);
    let (mut program, entry) = Program::start_limited(site.store.addr, ANSWERING).await;
    let mut unread = Vec::new();
    for _ in 0..READERS_OF_NOTHING {
        unread.push(request_unread(entry).await.expect("accepted"));
        tokio::time::sleep(PART_PAUSE).await;
    }
    assert!(is_served(entry).await, "no ordinary request was served");
    assert!(is_read(entry).await, "no large answer was read");
    let peak_kb = program.peak_kb();
    println!("unread answers: {peak_kb} KiB at most");
    assert!(program.is_running());
    assert!(peak_kb < ANSWERING.memory_mb << 10, "{peak_kb} KiB");
    runner.abort();
}

/// Guards against limits that refuse a request of legal size, in parts, when nothing else is going on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_body_is_served_by_a_small_entry() {
    let _guard = ONE_AT_A_TIME.lock().await;
    let site = start_site(Duration::ZERO).await;
    let (_program, entry) = Program::start_limited(site.store.addr, SMALL).await;
    let status = call(entry, MAX_BODY_BYTES).await;
    assert_eq!(status.expect("an answer"), "200");
}
