//! Many requesters come at once, with bodies that the manifest's limits allow; the platform kills a process that exceeds its
//! memory.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::runner::{Deed, Runner, Spec};
use crate::site::{Record, Site, trouble};

/// Requesters per entry, as usual and in the burst: 2.7 times as many.
const USUAL: usize = 10;
const BURST: usize = 27;
/// The length of a body; the manifest allows 4,194,304 bytes.
const BODY: usize = 4_194_304;
const PART: usize = 65_536;
/// The pause between two parts: a body takes 2.6 s, and all 27 at an entry together 44 MB/s, which
/// is a third of `link_mbps`.
const PART_PAUSE: Duration = Duration::from_millis(40);
const ROUND: Duration = Duration::from_millis(6_000);
const ROUNDS: usize = 5;
const WORK: Duration = Duration::from_millis(150);
/// Requesters per entry that book with short bodies all the while, each on a kept channel.
const ORDINARY: usize = 20;
const ORDINARY_PAUSE: Duration = Duration::from_millis(300);

fn manifest() -> String {
    r#"{"version":3,"routes":[{"name":"book","host":"desk.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":6000,"goal_ms":1000,"priority":2,"service":"desk","max_attempts":1,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":400}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#.into()
}

/// How a request on a kept channel ended.
enum End {
    Answered(u16),
    Closed,
}

fn book(conn: &mut Conn, id: &str, body: usize, part: &[u8]) -> End {
    let head = format!(
        "POST /book/{id} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\nContent-Length: {body}\r\n\r\n"
    );
    let mut sent = conn.send(head.as_bytes());
    let mut left = body;
    let mut due = Instant::now();
    while left > 0 && sent.is_ok() {
        let count = left.min(part.len());
        sent = conn.send(&part[..count]);
        left -= count;
        due += PART_PAUSE;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let answer = conn.read_head().ok().flatten();
    let whole = answer.and_then(|head| conn.read_body(&head).ok().map(|_| head.status()));
    whole.map_or(End::Closed, End::Answered)
}

/// The memory of a process in MB, as its machine counts it.
fn memory_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kb| kb.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}

pub fn run(record: Arc<Record>) -> ! {
    let mut site = Site::start(record.clone());
    site.store.put("op", "config", &manifest());
    let runs = Arc::default();
    for host in 21..25 {
        let spec = Spec {
            id: format!("i-{host}"),
            service: "desk".into(),
            host,
            slots: 24,
            model: None,
        };
        let decide: crate::runner::Decide = Arc::new(|_, _| Deed::Serve(WORK, 0));
        Runner::start(&site, spec, Arc::clone(&runs), decide);
    }
    let entries: Vec<SocketAddr> = vec![site.start_entry(11), site.start_entry(12)];
    site.wait_ready(&entries);
    record.add("the entries are ready");
    std::thread::sleep(Duration::from_millis(1_000));

    let stop = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(AtomicU64::new(0));
    let kills = Arc::new(Mutex::new(Vec::<u64>::new()));
    let limit = site.memory_mb;
    let site = Arc::new(Mutex::new(site));
    let watcher = {
        let (site, stop, peak, kills, record) = (
            site.clone(),
            stop.clone(),
            peak.clone(),
            kills.clone(),
            record.clone(),
        );
        std::thread::spawn(move || {
            let mut down: Vec<(usize, Instant)> = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let mut site = site.lock().unwrap();
                for (index, host) in [11, 12].into_iter().enumerate() {
                    if down.iter().any(|(known, _)| *known == index) {
                        continue;
                    }
                    let name = format!("entry-{host}");
                    let Some(place) = site
                        .programs
                        .iter()
                        .position(|program| program.name == name)
                    else {
                        continue;
                    };
                    let used = memory_mb(site.programs[place].child.id());
                    peak.fetch_max(used as u64, Ordering::SeqCst);
                    if used > f64::from(limit) {
                        record.say(&format!("{name} uses {used:.0} MB, more than memory_mb = {limit}: the platform kills it"));
                        kills.lock().unwrap().push(record.ms());
                        site.programs.remove(place);
                        down.push((index, Instant::now()));
                    }
                }
                down.retain(|(index, since)| {
                    let waits = since.elapsed() < Duration::from_millis(500);
                    if !waits {
                        site.start_entry(11 + *index as u8);
                    }
                    waits
                });
                drop(site);
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    };

    let part = Arc::new(vec![b'x'; PART]);
    let ends = Arc::new(Mutex::new(Vec::<(String, bool, Option<u16>)>::new()));
    let mut ordinary = Vec::new();
    for (index, entry) in entries.iter().copied().enumerate() {
        for caller in 0..ORDINARY {
            let (record, part, ends, stop) =
                (record.clone(), part.clone(), ends.clone(), stop.clone());
            ordinary.push(std::thread::spawn(move || {
                let mut kept: Option<Conn> = None;
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    std::thread::sleep(ORDINARY_PAUSE);
                    let is_kept = kept.is_some();
                    let open = || Conn::open(entry, Duration::from_secs(1)).ok();
                    let Some(mut conn) = kept.take().or_else(open) else {
                        continue;
                    };
                    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(8)));
                    let id = format!("o{index}c{caller}n{number}");
                    record.add(&format!("{id} sent"));
                    let end = book(&mut conn, &id, 4, &part);
                    let status = match end {
                        End::Answered(status) => Some(status),
                        End::Closed => None,
                    };
                    record.add(&format!("{id} answered: {status:?}"));
                    ends.lock().unwrap().push((id, is_kept, status));
                    if status.is_some() {
                        kept = Some(conn);
                    }
                }
            }));
        }
    }
    for round in 0..ROUNDS {
        let burst = trouble() && round >= 2;
        let count = if burst { BURST } else { USUAL };
        record.add(&format!("round {round}: {count} requesters at each entry"));
        let began = Instant::now();
        let mut callers = Vec::new();
        for (index, entry) in entries.iter().copied().enumerate() {
            for number in 0..count {
                let (record, part, ends) = (record.clone(), part.clone(), ends.clone());
                callers.push(std::thread::spawn(move || {
                    let Ok(mut conn) = Conn::open(entry, Duration::from_secs(1)) else {
                        return;
                    };
                    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(8)));
                    let id = format!("r{round}e{index}n{number}");
                    // A short request first, so that the channel is a kept one.
                    let first = format!("{id}a");
                    record.add(&format!("{first} sent"));
                    let End::Answered(status) = book(&mut conn, &first, 4, &part) else {
                        record.add(&format!("{first} not answered"));
                        return;
                    };
                    record.add(&format!("{first} answered {status}"));
                    std::thread::sleep(
                        Duration::from_millis(1_000).saturating_sub(began.elapsed()),
                    );
                    let second = format!("{id}b");
                    record.add(&format!("{second} sent, {BODY} B"));
                    let status = match book(&mut conn, &second, BODY, &part) {
                        End::Answered(status) => Some(status),
                        End::Closed => None,
                    };
                    record.add(&format!("{second} answered: {status:?}"));
                    ends.lock().unwrap().push((second, true, status));
                }));
            }
        }
        for caller in callers {
            let _ = caller.join();
        }
        std::thread::sleep(ROUND.saturating_sub(began.elapsed()));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = watcher.join();
    for caller in ordinary {
        let _ = caller.join();
    }

    let runs = runs.lock().unwrap();
    let ends = ends.lock().unwrap();
    let mut lost = 0;
    for (id, is_kept, status) in ends.iter() {
        if *is_kept && status.is_none() && runs.iter().any(|run| run.id == *id) {
            lost += 1;
            record.add(&format!(
                "BROKEN: {id} was run, and its channel was closed without an answer"
            ));
        }
    }
    let served = ends
        .iter()
        .filter(|(_, _, status)| *status == Some(200))
        .count();
    let closed = ends
        .iter()
        .filter(|(_, _, status)| status.is_none())
        .count();
    record.say(&format!(
        "{} requests, {served} answered 200, {closed} channels closed without an answer",
        ends.len()
    ));
    record.say(&format!(
        "most memory of an entry: {} MB; killed for memory: {}",
        peak.load(Ordering::SeqCst),
        kills.lock().unwrap().len()
    ));
    record.say(&format!("{lost} requests on kept channels were run by sound runners and not answered; three are allowed"));
    site.lock().unwrap().end(i32::from(lost > 3))
}
