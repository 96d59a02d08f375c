//! An entry as a process with its memory limit, and runners that send bytes without end.

mod program;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

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
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The memory limit in the settings.
const MEMORY_MB: usize = 160;
/// The requests by path, each answered with bytes without end.
const FAULTY: [(&str, usize); 3] = [
    ("/single/event", 760),
    ("/once/head", 60),
    ("/once/body", 60),
];
const SOUND_PATH: &str = "/safe/a";
/// The bytes that come at once, below the limits for a head and for an event.
const HEAD_BYTES: usize = 12 << 10;
const EVENT_BYTES: usize = 252 << 10;
const BODY_PART: [u8; 16 << 10] = [b'x'; 16 << 10];
/// The pause between two of the parts that follow without end.
const PART_PAUSE: Duration = Duration::from_millis(500);
/// The status of a request that the entry refuses at once, since its machine is busy.
const BUSY: &str = "HTTP/1.1 503 ";

/// Answers one connection with bytes without end, as its path says.
async fn serve_endless(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let head = success_head("q1");
    let chunked = "transfer-encoding: chunked\r\n\r\nfffffff\r\n";
    let (start, part) = if request.starts_with(b"GET /once/head ") {
        let line = "x".repeat(HEAD_BYTES);
        (format!("{head}x: {line}"), &BODY_PART[..1])
    } else if request.starts_with(b"GET /once/body ") {
        (format!("{head}{chunked}"), &BODY_PART[..])
    } else {
        let kind = "content-type: text/event-stream\r\n";
        let event = "x".repeat(EVENT_BYTES);
        (format!("{head}{kind}{chunked}{event}"), &BODY_PART[..1])
    };
    stream.write_all(start.as_bytes()).await?;
    drop(start);
    loop {
        stream.write_all(part).await?;
        tokio::time::sleep(PART_PAUSE).await;
    }
}

async fn serve_all(listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve_endless(stream));
    }
}

/// Sends a request and returns all that is answered.
async fn call(entry: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(entry).await?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: q1\r\n\
         x-deadline-ms: 3000\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    // An answer that breaks off is judged by what came of it.
    let _ = stream.read_to_end(&mut answer).await;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

async fn start_runner(id: &str, service: &str) -> Runner {
    let spec = RunnerSpec {
        service: service.into(),
        slots: 900,
        ..RunnerSpec::plain(id)
    };
    Runner::start(spec).await.expect("the runner starts")
}

/// Guards against an entry that runs out of memory, and against the loss of sound requests beside such
/// answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_bytes_stay_below_the_memory_limit() {
    let store = Store::start((Ipv4Addr::LOCALHOST, 0).into()).await;
    let store = store.expect("the store starts");
    let (sound, faulty) = (
        start_runner("i-0", "s").await,
        start_runner("i-1", "t").await,
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endless = listener.local_addr().expect("its address");
    let endless_task = tokio::spawn(serve_all(listener));
    store.put_member(&sound, sound.addr, Phase::Ready);
    store.put_member(&faulty, endless, Phase::Ready);
    // The first route is the one of the sound requests.
    let routes = manifest(1, "t").replacen(r#""service":"t""#, r#""service":"s""#, 1);
    store.put_manifest(&routes);
    let (mut program, entry) = Program::start(store.addr, MEMORY_MB).await;

    let mut calls = JoinSet::new();
    for (path, count) in FAULTY {
        for _ in 0..count {
            calls.spawn(call(entry, path));
        }
    }
    let mut served = 0;
    while !calls.is_empty() {
        let answer = call(entry, SOUND_PATH).await.expect("the entry lives");
        if !answer.starts_with(BUSY) {
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
            assert!(answer.ends_with("ok q1"), "{answer}");
            served += 1;
        }
        while let Some(answer) = calls.try_join_next() {
            let answer = answer.expect("no panic").expect("the entry lives");
            let looks_complete = answer.ends_with("0\r\n\r\n");
            assert!(
                !answer.starts_with("HTTP/1.1 200 ") || !looks_complete,
                "{answer}"
            );
        }
    }
    let peak_kb = program.peak_kb();
    assert!(served > 0, "no sound request was served");
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} KiB");
    assert!(program.is_running());
    endless_task.abort();
}
