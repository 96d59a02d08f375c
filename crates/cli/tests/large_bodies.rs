//! An entry as a process with its memory limit, and requests whose bodies are as large as is allowed.

mod program;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use program::Program;
use rig::deploy::manifest;
use rig::runner::Phase;
use rig::runner::Runner;
use rig::runner::RunnerSpec;
use rig::store::Store;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The memory limit in the settings.
const MEMORY_MB: usize = 160;
/// The largest body that the manifest allows.
const BODY_BYTES: usize = 4 << 20;
static PART: [u8; 64 << 10] = [b'x'; 64 << 10];
/// The pause between two parts of a body; a whole one takes 1.3 s.
const PART_PAUSE: Duration = Duration::from_millis(20);
/// The callers that send such a body at the same time.
const CALLERS: usize = 60;
/// The time for which a runner works on a request.
const WORK_TIME: Duration = Duration::from_millis(150);

/// How a body is framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

async fn send(
    stream: &mut TcpStream,
    id: &str,
    length: usize,
    framing: Framing,
) -> std::io::Result<()> {
    let head = match framing {
        Framing::Length => format!("content-length: {length}"),
        Framing::Chunks => "transfer-encoding: chunked".into(),
    };
    let head = format!(
        "POST /once/a HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 3000\r\n{head}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut left = length;
    while left > 0 {
        let part = &PART[..left.min(PART.len())];
        match framing {
            Framing::Length => stream.write_all(part).await?,
            Framing::Chunks => {
                let size = format!("{:x}\r\n", part.len());
                let chunk = [size.as_bytes(), part, b"\r\n"].concat();
                stream.write_all(&chunk).await?;
            }
        }
        left -= part.len();
        tokio::time::sleep(PART_PAUSE).await;
    }
    match framing {
        Framing::Length => Ok(()),
        Framing::Chunks => stream.write_all(b"0\r\n\r\n").await,
    }
}

/// Reads the answer to one request; returns its status.
async fn read_status(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut answer = vec![0; 4_096];
    let count = stream.read(&mut answer).await?;
    let text = String::from_utf8_lossy(&answer[..count]);
    Ok(text.split(' ').nth(1).unwrap_or_default().to_owned())
}

/// Sends a short request and then a large one on the same connection; returns the status of the second.
async fn call(entry: SocketAddr, number: usize) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(entry).await?;
    let framing = [Framing::Length, Framing::Chunks][number % 2];
    send(&mut stream, &format!("a{number}"), 4, Framing::Length).await?;
    assert_eq!(read_status(&mut stream).await?, "200");
    send(&mut stream, &format!("b{number}"), BODY_BYTES, framing).await?;
    read_status(&mut stream).await
}

/// Sends short requests one after the other on a kept connection, and returns how many were not answered
/// with a success.
async fn call_ordinary(entry: SocketAddr) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(entry).await?;
    let mut failed = 0;
    for number in 0.. {
        send(&mut stream, &format!("o{number}"), 4, Framing::Length).await?;
        if read_status(&mut stream).await? != "200" {
            failed += 1;
        }
        if number >= 10 {
            break;
        }
    }
    Ok(failed)
}

/// Guards against an entry that large bodies take over its memory limit, so that all its requests are lost,
/// and against a body that is neither answered nor refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_stay_below_the_memory_limit() {
    let store = Store::start((Ipv4Addr::LOCALHOST, 0).into()).await;
    let store = store.expect("the store starts");
    let runner = Runner::start(RunnerSpec {
        slots: 900,
        work_time: WORK_TIME,
        ..RunnerSpec::plain("i-0")
    });
    let runner = runner.await.expect("the runner starts");
    store.put_member(&runner, runner.addr, Phase::Ready);
    store.put_manifest(&manifest(1, "s"));
    let (mut program, entry) = Program::start(store.addr, MEMORY_MB).await;

    let mut calls = JoinSet::new();
    for number in 0..CALLERS {
        calls.spawn(call(entry, number));
    }
    let failed = call_ordinary(entry).await.expect("the entry lives");
    let mut served = 0;
    for status in calls.join_all().await {
        let status = status.expect("an answer");
        assert!(["200", "503"].contains(&&*status), "{status}");
        served += usize::from(status == "200");
    }
    let peak_kb = program.peak_kb();
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} KiB");
    assert!(program.is_running());
    assert_eq!(failed, 0);
    assert!(served > 0, "no large body was served");
}
