//! The store loses its answer to the call that waits for changes of the operator's rows.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;
use crate::runner::{Deed, Runner, Spec};
use crate::site::{Record, Site, trouble};

const CONTACT_MS: u64 = 3_000;
const CONFIG_MS: u64 = 2_000;
const SKEW_MS: u64 = 5_000;
/// When the manifest is changed, after the entries have become ready.
const CHANGE_AFTER: Duration = Duration::from_millis(4_000);
/// How long requests are sent after the change.
const WATCHED_MS: u64 = 30_000;

fn manifest(version: u32, service: &str) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"desk.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"{service}","max_attempts":{attempts},"resumable":false}}"#
        )
    };
    let routes = [
        route("book", "non_idempotent", 1),
        route("look", "idempotent", 2),
    ]
    .join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"desk-old","health_path":"/healthz","max_conns":110}},{{"name":"desk-new","health_path":"/healthz","max_conns":110}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

struct Sent {
    ms: u64,
    id: String,
    entry: usize,
}

pub fn run(record: Arc<Record>) -> ! {
    let mut site = Site::start(record.clone());
    site.store.put("op", "config", &manifest(3, "desk-old"));
    let runs = Arc::default();
    for (host, service) in [
        (21, "desk-old"),
        (22, "desk-old"),
        (23, "desk-new"),
        (24, "desk-new"),
    ] {
        let spec = Spec {
            id: format!("i-{host}"),
            service: service.into(),
            host,
            slots: 6,
            model: None,
        };
        let work: crate::runner::Decide =
            Arc::new(|_, _| Deed::Serve(Duration::from_millis(30), 0));
        Runner::start(&site, spec, Arc::clone(&runs), work);
    }
    let entries = vec![site.start_entry(11), site.start_entry(12)];
    site.wait_ready(&entries);
    record.add("the entries are ready");

    let sent = Arc::new(Mutex::new(Vec::<Sent>::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (index, entry) in entries.iter().copied().enumerate() {
        let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
        callers.push(std::thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("e{index}n{number}");
                let request = format!(
                    "POST /book/{number} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbook"
                );
                let ms = record.ms();
                sent.lock().unwrap().push(Sent { ms, id: id.clone(), entry: index });
                record.add(&format!("{id} sent to entry {index}"));
                let answer = http::call(entry, request.as_bytes(), Duration::from_millis(1_200));
                let shown = answer.map(|a| format!("{} {}", a.head.status(), String::from_utf8_lossy(&a.body)));
                record.add(&format!("{id} answered: {shown:?}"));
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }

    std::thread::sleep(CHANGE_AFTER);
    if trouble() {
        record.add("the store loses its next answer on the operator's rows to each entry");
        site.store.lose_answers("op", entries.len() as u32);
    } else {
        site.store.lose_answers("op", 0);
    }
    site.store.put("op", "config", &manifest(8, "desk-new"));
    let acked = record.ms();
    record.add("version 8 is acknowledged: all routes lead to desk-new");
    std::thread::sleep(Duration::from_millis(1_000));
    let (given, lost) = site.store.answers();
    record.add(&format!(
        "one second later, {lost} of {given} answers of the store were lost"
    ));
    std::thread::sleep(Duration::from_millis(3_500));
    let (given, lost) = site.store.answers();
    record.say(&format!(
        "4.5 s after the change, {lost} of {given} answers of the store were lost"
    ));
    if trouble() && lost != entries.len() as u32 {
        record.say("cannot run: the answers were not lost");
        site.end(2);
    }
    while record.ms() < acked + WATCHED_MS {
        std::thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    std::thread::sleep(Duration::from_millis(200));
    for ended in site.ended() {
        record.say(&format!("cannot run: {ended}"));
        site.end(2);
    }

    // Without an impairment the bound is `config_ms` after the ack. Here it is taken from the end of the impairment,
    // with all that may stretch it: the answers are lost within the first second, after `contact_ms` more the core is
    // stable and the machines are in touch.
    let bound = acked
        + CONFIG_MS
        + if trouble() {
            1_000 + CONTACT_MS + SKEW_MS
        } else {
            0
        };
    let runs = runs.lock().unwrap();
    let mut late = 0;
    let mut last = 0;
    for sent in sent.lock().unwrap().iter() {
        let mut of = runs.iter().filter(|run| run.id == sent.id);
        if of.any(|run| run.service == "desk-old") && sent.ms > acked {
            last = sent.ms - acked;
            if sent.ms > bound {
                late += 1;
                record.add(&format!(
                    "BROKEN: {} was sent to entry {} and run by desk-old",
                    sent.id, sent.entry
                ));
            }
        }
    }
    record.say(&format!(
        "the last request that desk-old ran was sent {last} ms after the ack"
    ));
    record.say(&format!(
        "{late} requests sent later than {} ms after the ack were run by desk-old",
        bound - acked
    ));
    site.end(i32::from(late > 0))
}
