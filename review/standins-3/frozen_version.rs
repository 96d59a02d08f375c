//! A side machine freezes while a new version of an adapter is announced, and wakes after the bound for it.

#[path = "engine.rs"]
mod engine;
#[path = "rig.rs"]
mod rig;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rig::Call;
use rig::EntryAddrs;
use rig::Process;
use rig::Record;
use rig::Route;
use rig::Site;

/// `version_ms` of the sheet.
const VERSION_MS: u64 = 5_000;
/// The time limit of `care-chat-later` on the sheet.
const DEADLINE_MS: u64 = 6_000;
/// How long the machine is frozen. The site file of pinecrest-airing has 7.5 s for one machine.
const FREEZE_TIME: Duration = Duration::from_millis(5_600);
/// From the freeze to the announcement.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(200);
/// The pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// How long a runner reads a prompt.
const READ_MS: &str = "30";
const WARM_UP: Duration = Duration::from_secs(4);
const COOL_DOWN: Duration = Duration::from_secs(3);

/// A side machine: a runner and its agent.
struct Side {
    runner: Process,
    agent: Process,
}

impl Side {
    fn start(site: &Site, log: &str, number: u8, adapters: &str) -> Side {
        let addr = SocketAddr::new(rig::machine(number), rig::free_port());
        let (id, store) = (format!("i-{number}"), site.store.addr.to_string());
        let args = ["runner", &id, &addr.to_string(), &store, log, adapters, "never", READ_MS, "held"];
        Side {
            runner: site.start_standin(&format!("runner-{number}"), &args),
            agent: site.start_agent(&format!("side-{number}"), addr),
        }
    }

    fn signal(&self, signal: i32) {
        self.runner.signal(signal);
        self.agent.signal(signal);
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|arg| arg == "runner") {
        engine::run(&args[2..]);
    }
    let [_, record, folder, programs] = &args[..] else {
        rig::cannot_run("arguments: RECORD FOLDER PROGRAMS");
    };
    let code = play(Path::new(record), Path::new(folder), Path::new(programs));
    std::process::exit(code);
}

fn play(record: &Path, folder: &Path, programs: &Path) -> i32 {
    let record = Record::create(record);
    let site = Site::start(folder, programs);
    let log = folder.join("runs.log");
    let log = log.to_string_lossy().into_owned();
    let routes = [Route {
        name: "later",
        kind: "stream",
        service: "llm",
        timeout_ms: DEADLINE_MS,
        goal_ms: 1_000,
        max_attempts: 1,
        resumable: false,
    }];
    site.store.put("op", "config", &rig::manifest(1, &routes, &[rig::engine_service("llm", 17)]));
    let first = Side::start(&site, &log, 1, "a1");
    let _second = Side::start(&site, &log, 2, "");
    let addrs = EntryAddrs::free();
    let _entry = site.start_entry("front-1", &addrs, 260);
    if !addrs.wait_ready(Duration::from_secs(10)) {
        rig::cannot_run("the entry is not ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(addrs.front, &record, stop.clone());
    thread::sleep(WARM_UP);
    if rig::trouble() {
        record.line("machine 1 freezes");
        first.signal(rig::SIGSTOP);
    }
    thread::sleep(ANNOUNCE_DELAY);
    site.store.put("op", "version/m.a1", r#"{"model":"m","adapter":"a1","version":2}"#);
    let acked_ms = rig::unix_ms();
    record.line_at(acked_ms, "version 2 of a1 acknowledged");
    thread::sleep(FREEZE_TIME - ANNOUNCE_DELAY);
    if rig::trouble() {
        record.line("machine 1 wakes");
        first.signal(rig::SIGCONT);
    }
    thread::sleep(COOL_DOWN);
    stop.store(true, Ordering::Relaxed);
    let answered = callers.join().unwrap_or(0);
    judge(&record, &log, acked_ms, answered)
}

/// Sends a request at regular intervals, each over a channel of its own; returns how many were answered with 200.
fn start_callers(entry: SocketAddr, record: &Record, stop: Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let record = record.clone();
    thread::spawn(move || {
        let mut calls = Vec::new();
        for number in 1.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let record = record.clone();
            calls.push(thread::spawn(move || send(entry, &record, number)));
            thread::sleep(REQUEST_INTERVAL);
        }
        calls.into_iter().filter_map(|call| call.join().ok()).filter(|status| *status == 200).count()
    })
}

fn send(entry: SocketAddr, record: &Record, number: u32) -> u16 {
    let mut call = Call::new("POST", "/later/1", &format!("r{number}"), DEADLINE_MS);
    call.headers = vec![
        ("X-Model".into(), "m/a1".into()),
        ("X-Token-Count".into(), "646,50".into()),
        ("X-Prompt-Prefix".into(), format!("5c1e07a2:155,{:x}:491", 0x1000 + number)),
    ];
    call.body = vec![b'p'; 1_300];
    record.line(format!("{} sent", call.id));
    let answer = rig::exchange(entry, &call);
    let text = answer.as_ref().map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
    record.line(format!("{} answered {text}", call.id));
    answer.map_or(0, |answer| answer.status())
}

/// Applies the rule to what the runners have begun.
fn judge(record: &Record, log: &str, acked_ms: u64, answered: usize) -> i32 {
    let lines = std::fs::read_to_string(log).unwrap_or_default();
    let (mut begun, mut late) = (0, 0);
    for line in lines.lines() {
        let parts: Vec<&str> = line.split(' ').collect();
        let [at, "begins", id, adapter, version] = parts[..] else {
            continue;
        };
        let at: u64 = at.parse().unwrap_or(0);
        begun += 1;
        record.line_at(at, format!("{id} begins on {adapter}@{version}"));
        if version == "1" && at > acked_ms + VERSION_MS {
            late += 1;
            let after = at - acked_ms;
            record.line_at(at, format!("{id} began on version 1, {after} ms after version 2 was acknowledged"));
        }
    }
    if begun < 10 || answered < 10 {
        rig::cannot_run(format!("{begun} requests begun, {answered} answered"));
    }
    let text = format!("{late} of {begun} requests began on version 1 later than {VERSION_MS} ms after the ack of version 2");
    record.end(late > 0, text)
}
