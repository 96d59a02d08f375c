//! A request crashes each runner that begins to run it. It comes again and again, with the same path, caller and body,
//! beside sound requests.

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
use std::time::Instant;

use rig::Call;
use rig::EntryAddrs;
use rig::Process;
use rig::Record;
use rig::Route;
use rig::Site;

/// `contact_ms` of the sheet.
const CONTACT_MS: u64 = 3_000;
/// The crashes after which the rule binds, and the retries that it allows then.
const CRASHES: usize = 3;
const RETRIES: usize = 3;
/// The time limit of `care-chat-later` on the sheet.
const DEADLINE_MS: u64 = 6_000;
const RUNNERS: u8 = 4;
/// When a runner is back after a crash.
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// How long deadly requests come at a time, and the pause until they come again.
const SPELL: Duration = Duration::from_secs(20);
const SPELL_PAUSE: Duration = Duration::from_secs(3);
const WARM_UP: Duration = Duration::from_secs(5);
/// The paths of requests.
const DEADLY_PATH: &str = "/later/deadly";
const SOUND_PATH: &str = "/later/sound";

/// What differs between the cases.
struct Plan {
    /// When a runner crashes, as an argument of [`engine::run`].
    crash: &'static str,
    /// How long a runner reads a prompt, in milliseconds.
    read_ms: &'static str,
    /// The pauses between two deadly requests, and between two sound ones.
    deadly_interval: Duration,
    sound_interval: Duration,
    run_time: Duration,
}

impl Plan {
    fn named(name: &str) -> Plan {
        match name {
            // The runner crashes after the first event of the answer.
            "streams" => Plan {
                crash: "event",
                read_ms: "30",
                deadly_interval: Duration::from_millis(1_500),
                sound_interval: Duration::from_millis(40),
                run_time: SPELL,
            },
            // For comparison: it crashes after the head.
            "heads" => Plan {
                crash: "head",
                ..Plan::named("streams")
            },
            // It crashes before the answer, with many others in its queue.
            "crowd" => Plan {
                crash: "unanswered",
                read_ms: "700",
                deadly_interval: Duration::from_millis(3_300),
                sound_interval: Duration::from_micros(3_300),
                run_time: (SPELL + SPELL_PAUSE) * 3,
            },
            // For comparison: few others are there.
            "few" => Plan {
                sound_interval: Duration::from_millis(200),
                ..Plan::named("crowd")
            },
            _ => rig::cannot_run("no such plan"),
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|arg| arg == "runner") {
        engine::run(&args[2..]);
    }
    let [_, record, folder, programs, plan] = &args[..] else {
        rig::cannot_run("arguments: RECORD FOLDER PROGRAMS PLAN");
    };
    let code = play(Path::new(record), Path::new(folder), Path::new(programs), Plan::named(plan));
    std::process::exit(code);
}

fn play(record: &Path, folder: &Path, programs: &Path, mut plan: Plan) -> i32 {
    if !rig::trouble() {
        plan.crash = "never";
    }
    let record = Record::create(record);
    let site = Arc::new(Site::start(folder, programs));
    let log = folder.join("runs.log").to_string_lossy().into_owned();
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
    let stop = Arc::new(AtomicBool::new(false));
    let sides = (1..=RUNNERS).map(|number| {
        let runner = (plan.crash, plan.read_ms);
        start_side(&site, &record, &log, number, runner, stop.clone())
    });
    let sides: Vec<_> = sides.collect();
    let fronts: Vec<(EntryAddrs, Process)> = (1..=2)
        .map(|number| {
            let addrs = EntryAddrs::free();
            let entry = site.start_entry(&format!("front-{number}"), &addrs, 260);
            (addrs, entry)
        })
        .collect();
    if !fronts.iter().all(|(addrs, _)| addrs.wait_ready(Duration::from_secs(10))) {
        rig::cannot_run("an entry is not ready");
    }
    let addrs: Vec<SocketAddr> = fronts.iter().map(|(addrs, _)| addrs.front).collect();
    let sound = start_callers(&addrs, &record, SOUND_PATH, plan.sound_interval, stop.clone());
    thread::sleep(WARM_UP);
    let deadly = start_callers(&addrs, &record, DEADLY_PATH, plan.deadly_interval, stop.clone());
    thread::sleep(plan.run_time);
    stop.store(true, Ordering::Relaxed);
    let (sound, deadly) = (sound.join().unwrap_or_default(), deadly.join().unwrap_or_default());
    for side in sides {
        let _ = side.join();
    }
    record.line(format!("answers to sound requests: {sound:?}; to deadly ones: {deadly:?}"));
    judge(&record, &log)
}

/// Runs a side machine: an agent, and a runner that is started again after each crash.
fn start_side(
    site: &Arc<Site>,
    record: &Record,
    log: &str,
    number: u8,
    (crash, read_ms): (&'static str, &'static str),
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (site, record, log) = (site.clone(), record.clone(), log.to_owned());
    thread::spawn(move || {
        let addr = SocketAddr::new(rig::machine(number), rig::free_port());
        let (id, store) = (format!("i-{number}"), site.store.addr.to_string());
        let _agent = site.start_agent(&format!("side-{number}"), addr);
        let mut start = "held";
        while !stop.load(Ordering::Relaxed) {
            let args = ["runner", &id, &addr.to_string(), &store, &log, "", crash, read_ms, start];
            let mut runner = site.start_standin(&format!("runner-{number}"), &args);
            while !stop.load(Ordering::Relaxed) && !runner.wait_end(Duration::from_millis(200)) {}
            if !stop.load(Ordering::Relaxed) {
                record.line(format!("runner {id} has crashed"));
                start = "empty";
                thread::sleep(RESTART_DELAY);
            }
        }
    })
}

/// Sends requests that differ in nothing but their ids, to the entries in turn; returns their statuses.
fn start_callers(
    entries: &[SocketAddr],
    record: &Record,
    path: &'static str,
    interval: Duration,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<(String, usize)>> {
    let (entries, record) = (entries.to_vec(), record.clone());
    thread::spawn(move || {
        let mut calls = Vec::new();
        let started_at = Instant::now();
        for number in 0.. {
            let in_cycle = started_at.elapsed().as_millis() % (SPELL + SPELL_PAUSE).as_millis();
            if path == DEADLY_PATH && in_cycle >= SPELL.as_millis() {
                thread::sleep(SPELL + SPELL_PAUSE - Duration::from_millis(in_cycle as u64));
            }
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let (entry, record) = (entries[number % entries.len()], record.clone());
            calls.push(thread::spawn(move || send(entry, &record, path, number)));
            thread::sleep(interval);
        }
        let answers: Vec<String> = calls.into_iter().filter_map(|call| call.join().ok()).collect();
        let counts = rig::counts(answers.iter().map(String::as_str));
        counts.into_iter().map(|(text, count)| (text.to_owned(), count)).collect()
    })
}

fn send(entry: SocketAddr, record: &Record, path: &str, number: usize) -> String {
    let name = path.rsplit('/').next().unwrap_or_default();
    let mut call = Call::new("POST", path, &format!("{name}-{number}"), DEADLINE_MS);
    // Sound requests have the shared part of the deadly one, and a last part of their own.
    let own = if path == DEADLY_PATH { 0xdead } else { 0x1000 + number };
    call.headers = vec![
        ("X-Model".into(), "m".into()),
        ("X-Token-Count".into(), "646,50".into()),
        ("X-Prompt-Prefix".into(), format!("5c1e07a2:155,{own:x}:491")),
    ];
    call.body = match path {
        DEADLY_PATH => b"the same text each time".to_vec(),
        _ => format!("text {number}").into_bytes(),
    };
    let answer = rig::exchange(entry, &call);
    let text = match &answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("broken off ({})", error.kind()),
    };
    record.line(format!("{} answered {text}", call.id));
    text
}

/// Applies the rule to what the runners have begun.
fn judge(record: &Record, log: &str) -> i32 {
    let lines = std::fs::read_to_string(log).unwrap_or_default();
    let (mut crashes, mut arrivals, mut sound) = (Vec::new(), Vec::new(), 0);
    for line in lines.lines() {
        let parts: Vec<&str> = line.split(' ').collect();
        let at: u64 = parts[0].parse().unwrap_or(0);
        match &parts[1..] {
            ["begins", id, DEADLY_PATH, _] => {
                record.line_at(at, format!("{id} reaches a runner"));
                arrivals.push(at);
            }
            ["begins", ..] => sound += 1,
            ["crashes", ..] => crashes.push(at),
            _ => {}
        }
    }
    if sound < 20 {
        rig::cannot_run(format!("{sound} sound requests begun"));
    }
    crashes.sort_unstable();
    let binds_from = crashes.get(CRASHES - 1).map(|at| at + CONTACT_MS);
    let late = binds_from.map_or(0, |from| arrivals.iter().filter(|at| **at > from).count());
    let text = format!(
        "{} crashes; {late} retries of the request reached runners later than {CONTACT_MS} ms after the third one; \
         {RETRIES} are allowed",
        crashes.len()
    );
    record.end(late > RETRIES, text)
}
