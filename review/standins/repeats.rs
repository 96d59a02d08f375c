//! Two requests crash each runner that begins to run them, and come again at all entries; many requesters ask for the same
//! sound thing meanwhile.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::http;
use crate::runner::{Deed, Runner, Spec};
use crate::site::{Record, Site, trouble};

const CONTACT_MS: u64 = 3_000;
const RUNNERS: u8 = 3;
const ENTRIES: u8 = 4;
/// The time of sound work, and from the begin of the deadly request to the crash.
const WORK: Duration = Duration::from_millis(30);
const FUSE: Duration = Duration::from_millis(100);
/// How long a crashed runner is away.
const AWAY: Duration = Duration::from_millis(3_500);
const DEADLY_PATHS: [&str; 2] = ["/look/deadly0", "/look/deadly1"];

fn manifest() -> String {
    r#"{"version":3,"routes":[{"name":"look","host":"desk.example","prefix":"/look/","kind":"idempotent","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"desk","max_attempts":2,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":400}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#.into()
}

fn ask(record: &Arc<Record>, entry: SocketAddr, id: String, path: &'static str) {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
    );
    let record = record.clone();
    std::thread::spawn(move || {
        record.add(&format!("{id} sent to {entry}: {path}"));
        let answer = http::call(entry, request.as_bytes(), Duration::from_millis(1_500));
        let status = answer.map(|answer| answer.head.status());
        record.add(&format!("{id} answered: {status:?}"));
    });
}

pub fn run(record: Arc<Record>) -> ! {
    let mut site = Site::start(record.clone());
    site.store.put("op", "config", &manifest());
    let runs = Arc::default();
    for host in 21..21 + RUNNERS {
        let spec = Spec {
            id: format!("i-{host}"),
            service: "desk".into(),
            host,
            slots: 6,
            model: None,
        };
        let decide: crate::runner::Decide =
            Arc::new(|_, head| match DEADLY_PATHS.contains(&head.path()) {
                true => Deed::Crash(FUSE, AWAY),
                false => Deed::Serve(WORK, 0),
            });
        Runner::start(&site, spec, Arc::clone(&runs), decide);
    }
    let entries: Vec<SocketAddr> = (11..11 + ENTRIES)
        .map(|host| site.start_entry(host))
        .collect();
    site.wait_ready(&entries);
    record.add("the entries are ready");
    std::thread::sleep(Duration::from_millis(3_500));

    let stop = Arc::new(AtomicBool::new(false));
    let every = |name: &'static str, path: &'static str, pause: u64| {
        let (record, stop, entries) = (record.clone(), stop.clone(), entries.clone());
        std::thread::spawn(move || {
            for number in 0_usize.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                if path.is_empty() {
                    for (index, entry) in entries.iter().enumerate() {
                        for (kind, path) in DEADLY_PATHS.into_iter().enumerate() {
                            ask(&record, *entry, format!("d{kind}e{index}n{number}"), path);
                        }
                    }
                } else {
                    ask(
                        &record,
                        entries[number % entries.len()],
                        format!("{name}{number}"),
                        path,
                    );
                }
                std::thread::sleep(Duration::from_millis(pause));
            }
        })
    };
    let mut callers = vec![every("s", "/look/today", 40)];
    std::thread::sleep(Duration::from_millis(1_500));
    if trouble() {
        callers.push(every("d", "", 200));
    }
    std::thread::sleep(Duration::from_millis(25_000));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    std::thread::sleep(Duration::from_millis(1_500));
    for ended in site.ended() {
        record.say(&format!("cannot run: {ended}"));
        site.end(2);
    }

    // A runner crashes once for all requests that it runs then.
    let runs = runs.lock().unwrap();
    let mut late = 0;
    for path in DEADLY_PATHS {
        let deadly: Vec<_> = runs.iter().filter(|run| run.path == path).collect();
        let mut crashed = BTreeSet::new();
        let mut third = None;
        for run in &deadly {
            if crashed.insert((run.runner.clone(), run.born)) && crashed.len() == 3 {
                third = Some(run.ms + FUSE.as_millis() as u64);
            }
        }
        let shown: Vec<String> = deadly
            .iter()
            .map(|run| format!("{} {}", run.ms, run.runner))
            .collect();
        record.say(&format!(
            "{path} reached runners {} times: {}",
            deadly.len(),
            shown.join(", ")
        ));
        let Some(third) = third else { continue };
        let bound = third + CONTACT_MS + 100;
        let after = deadly.iter().filter(|run| run.ms > bound).count();
        record.say(&format!(
            "it had crashed the third runner at {third} ms; {after} retries reached runners later than {bound} ms"
        ));
        late = late.max(after);
    }
    record.say(&format!(
        "{late} late retries of one request; three are allowed"
    ));
    site.end(i32::from(late > 3))
}
