//! A runner that answers before it has read a long body, keeps the channel and reads on later. Two entries get
//! uploads within the limits of the manifest; the platform kills a process that exceeds its memory.

#[path = "rig.rs"]
mod rig;

use std::io;
use std::io::Read;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rig::Call;
use rig::Channel;
use rig::EntryAddrs;
use rig::Process;
use rig::Record;
use rig::Route;
use rig::Site;

/// The memory of a front machine on the sheet of pinecrest-airing.
const MEMORY_MB: u32 = 260;
/// Within `body_bytes` of the manifest.
const BODY_BYTES: usize = 4_000_000;
/// How long the runner keeps an idle channel, as it tells; it reads on within that time.
const KEEP_ALIVE: Duration = Duration::from_secs(15);
/// How long after its answer the runner reads the rest of a body.
const READ_ON_DELAY: Duration = Duration::from_secs(12);
/// What the runner has read of a body when it answers.
const READ_FIRST: usize = 65_536;
/// The pause between two requests of one caller: 4 MB each are 320 Mbit/s, a third of the link.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit of a request.
const DEADLINE_MS: u64 = 4_000;
/// How often a process has to end by itself, by the rule.
const ENDS: u32 = 3;
const RUN_TIME: Duration = Duration::from_secs(40);
/// The pause until the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, record, folder, programs] = &args[..] else {
        rig::cannot_run("arguments: RECORD FOLDER PROGRAMS");
    };
    let record = Record::create(Path::new(record));
    let site = Arc::new(Site::start(Path::new(folder), Path::new(programs)));
    let reads_first = !rig::trouble();
    record.line(format!("the runner answers before it has read the body: {}", !reads_first));
    start_runner(&site, &record, reads_first);
    let routes = [Route {
        name: "book",
        kind: "stream",
        service: "llm",
        timeout_ms: DEADLINE_MS,
        goal_ms: 500,
        max_attempts: 1,
        resumable: false,
    }];
    let services = [rig::engine_service("llm", 17)];
    site.store.put("op", "config", &rig::manifest(1, &routes, &services));
    let machines: Vec<_> = (1..=2).map(|number| start_machine(&site, &record, number)).collect();
    let ends: Vec<u32> = machines.into_iter().map(|machine| machine.join().unwrap_or(0)).collect();
    let broken = ends.iter().all(|ends| *ends >= ENDS);
    let text = format!("processes over {MEMORY_MB} MB on 2 machines: {ends:?} times; the rule allows fewer than {ENDS} each");
    drop(site);
    std::process::exit(record.end(broken, text));
}

/// Starts a sound runner of the plain service, and writes its record.
fn start_runner(site: &Arc<Site>, record: &Record, reads_first: bool) {
    let listener = TcpListener::bind((rig::machine(200), 0)).unwrap_or_else(|error| rig::cannot_run(error));
    rig::limit_segments(&listener);
    let addr = listener.local_addr().unwrap();
    let born = rig::unix_ms();
    let runs = Arc::new(AtomicU64::new(0));
    let counted = runs.clone();
    rig::serve(listener, move |stream| serve_runner(stream, reads_first, &counted));
    let (site, record) = (site.clone(), record.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            let text = format!(
                r#"{{"service":"llm","addr":"{addr}","zone":"z1","version":"v1","slots":64,"state":"ready","cold_ms":0,
                "born":{born},"sequence":{sequence}}}"#
            );
            site.store.put("servers", "i-desk", &text);
            record.line(format!("the runner has run {} requests", runs.load(Ordering::Relaxed)));
            thread::sleep(rig::HEARTBEAT);
        }
    });
}

fn serve_runner(mut stream: TcpStream, reads_first: bool, runs: &AtomicU64) -> io::Result<()> {
    while let Some(head) = rig::read_head(&mut stream)? {
        let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let first = if reads_first { length } else { length.min(READ_FIRST) };
        discard(&mut stream, first)?;
        let id = head.header("x-request-id").unwrap_or_default().to_owned();
        let keep_alive = format!("timeout={}", KEEP_ALIVE.as_secs());
        let seal = rig::seal(200, &id);
        let headers = [
            ("x-request-id", &*id),
            ("x-response-seal", &*seal),
            ("keep-alive", &*keep_alive),
            ("content-type", "text/event-stream"),
        ];
        runs.fetch_add(1, Ordering::Relaxed);
        rig::respond(&mut stream, 200, &headers, format!("id: 1\ndata: done {id}\n\n").as_bytes())?;
        if first < length {
            thread::sleep(READ_ON_DELAY);
            discard(&mut stream, length - first)?;
        }
    }
    Ok(())
}

fn discard(stream: &mut TcpStream, mut bytes: usize) -> io::Result<()> {
    let mut buffer = vec![0; 65_536];
    while bytes > 0 {
        let part = bytes.min(buffer.len());
        stream.read_exact(&mut buffer[..part])?;
        bytes -= part;
    }
    Ok(())
}

/// Runs an entry, as the platform does, and its caller; returns how often it exceeded its memory.
fn start_machine(site: &Arc<Site>, record: &Record, number: u32) -> thread::JoinHandle<u32> {
    let (site, record) = (site.clone(), record.clone());
    thread::spawn(move || {
        let addrs = EntryAddrs::free();
        let end = Instant::now() + RUN_TIME;
        let mut ends = 0;
        while Instant::now() < end && ends < ENDS {
            let name = format!("front-{number}-{ends}");
            let entry = site.start_entry(&name, &addrs, MEMORY_MB);
            if !addrs.wait_ready(Duration::from_secs(10)) {
                rig::cannot_run(format!("{name} is not ready"));
            }
            if runs_out(&entry, &addrs, &record, &name, end) {
                ends += 1;
                drop(entry);
                thread::sleep(RESTART_PAUSE);
            }
        }
        ends
    })
}

/// Sends one request after the other over one channel, until the entry is over its memory.
fn runs_out(entry: &Process, addrs: &EntryAddrs, record: &Record, name: &str, end: Instant) -> bool {
    let mut channel = None;
    let mut most = 0;
    for count in 1.. {
        if Instant::now() >= end {
            record.line(format!("{name}: {} MB at most after {count} requests", most >> 20));
            return false;
        }
        let mut call = Call::new("POST", "/book/1", &format!("{name}-{count}"), DEADLINE_MS);
        call.body = vec![b'b'; BODY_BYTES];
        let answer = exchange(&mut channel, addrs, &call);
        let memory = entry.memory();
        most = most.max(memory);
        let answer = answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
        record.line(format!("{} answered {answer}; {name} holds {} MB", call.id, memory >> 20));
        if memory > u64::from(MEMORY_MB) << 20 {
            record.line(format!("{name} is over {MEMORY_MB} MB and is killed"));
            return true;
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    false
}

fn exchange(channel: &mut Option<Channel>, addrs: &EntryAddrs, call: &Call) -> io::Result<rig::Message> {
    let mut open = match channel.take() {
        Some(open) => open,
        None => Channel::open(addrs.front)?,
    };
    let answer = open.exchange(call)?;
    let closes = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    *channel = (!closes).then_some(open);
    Ok(answer)
}
