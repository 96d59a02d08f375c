//! A part of a prompt crashes the runners that begin to write an answer on it, while runners fail part of their requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::http;
use crate::runner::{Deed, Runner, Spec};
use crate::site::{Record, Site, trouble};

const CONTACT_MS: u64 = 3_000;
const RUNNERS: u8 = 9;
const ENTRIES: u8 = 2;
/// The dose of `srv_grey` in the site file: all runners fail 0.45 of their requests.
const GREY_SHARE: u64 = 45;
const GREY_MS: u64 = 4_000;
/// The deadly part, and the first part of all requests of the route.
const DEADLY: &str = "d1d1d1d1";
const FIRST: &str = "a0a0a0a0";

fn manifest() -> String {
    r#"{"version":3,"routes":[{"name":"chat","host":"desk.example","prefix":"/chat/","kind":"stream","timeout_ms":4000,"goal_ms":500,"priority":1,"service":"advisor","max_attempts":2,"sticky":true,"resumable":true,"gap_goal_ms":400}],"services":[{"name":"advisor","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":265730,"models":[{"name":"m0","weights_mb":65100,"load_s":0.6,"adapters":3000,"adapter_mb":12}],"weights_mb":66600,"adapter_slots":17,"loads_per_s":6.1}}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#.into()
}

/// Draws a number from 0 to 99.
fn draw(state: &AtomicU64) -> u64 {
    let mut number = state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (number ^ (number >> 31)) % 100
}

pub fn run(record: Arc<Record>) -> ! {
    let mut site = Site::start(record.clone());
    site.store.put("op", "config", &manifest());
    let runs = Arc::default();
    let grey = Arc::new(AtomicBool::new(false));
    let random = Arc::new(AtomicU64::new(std::process::id().into()));
    let mut runners = Vec::new();
    for host in 21..21 + RUNNERS {
        let (grey, random) = (grey.clone(), random.clone());
        let decide: crate::runner::Decide = Arc::new(move |_, head| {
            if grey.load(Ordering::SeqCst) && draw(&random) < GREY_SHARE {
                return Deed::Fail(Duration::from_millis(20));
            }
            let parts: Vec<&str> = head
                .get("x-prompt-prefix")
                .unwrap_or("")
                .split(',')
                .collect();
            let shared = &parts[..parts.len() - 1];
            if shared
                .iter()
                .any(|part| part.split(':').next() == Some(DEADLY))
            {
                return Deed::Crash(Duration::from_millis(40), Duration::from_millis(2_500));
            }
            Deed::Serve(Duration::from_millis(40), 6)
        });
        let spec = Spec {
            id: format!("i-{host}"),
            service: "advisor".into(),
            host,
            slots: 64,
            model: Some("m0".into()),
        };
        let runner = Runner::start(&site, spec, Arc::clone(&runs), decide);
        site.start_agent(runner.addr);
        runners.push(runner);
    }
    let entries: Vec<_> = (11..11 + ENTRIES)
        .map(|host| site.start_entry(host))
        .collect();
    site.wait_ready(&entries);
    record.add("the entries are ready");
    std::thread::sleep(Duration::from_millis(3_500));

    let broken = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let send = |deadly: bool, name: &'static str, pause: u64| {
        let (record, broken, stop, entries) = (
            record.clone(),
            broken.clone(),
            stop.clone(),
            entries.clone(),
        );
        std::thread::spawn(move || {
            for number in 0_usize.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{name}{number}");
                let caller = if deadly {
                    DEADLY.to_owned()
                } else {
                    format!("c{:03x}", number % 40)
                };
                let prefix = format!(
                    "{FIRST}:93,{caller}:62,{number:x}{}:300",
                    if deadly { "d" } else { "e" }
                );
                let entry = entries[number % entries.len()];
                let request = format!(
                    "POST /chat/{number} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Model: m0\r\nX-Token-Count: 455,40\r\nX-Prompt-Prefix: {prefix}\r\nX-Deadline-Ms: 4000\r\nContent-Length: {}\r\nConnection: close\r\n\r\nprompt {id}",
                    7 + id.len()
                );
                record.add(&format!("{id} sent to {entry}, parts {prefix}"));
                let (record, broken) = (record.clone(), broken.clone());
                std::thread::spawn(move || {
                    let answer =
                        http::call(entry, request.as_bytes(), Duration::from_millis(4_500));
                    let status = answer.as_ref().map_or(0, |a| a.head.status());
                    if !deadly && ![200, 500].contains(&status) {
                        broken.fetch_add(1, Ordering::SeqCst);
                    }
                    let shown = answer.map(|a| format!("{} {} B", a.head.status(), a.body.len()));
                    record.add(&format!("{id} answered: {shown:?}"));
                });
                std::thread::sleep(Duration::from_millis(pause));
            }
        })
    };
    let sound = send(false, "s", 40);
    std::thread::sleep(Duration::from_millis(1_500));
    let poisoned = send(true, "d", 500);
    // The runners fail part of their requests five times, with a pause between.
    for _ in 0..5 {
        if trouble() {
            record.add("all runners fail 0.45 of their requests");
            grey.store(true, Ordering::SeqCst);
        }
        std::thread::sleep(Duration::from_millis(GREY_MS));
        grey.store(false, Ordering::SeqCst);
        record.add("the runners fail no requests");
        std::thread::sleep(Duration::from_millis(500));
    }
    std::thread::sleep(Duration::from_millis(5_000));
    stop.store(true, Ordering::SeqCst);
    let _ = (sound.join(), poisoned.join());
    std::thread::sleep(Duration::from_millis(1_000));
    for ended in site.ended() {
        record.say(&format!("cannot run: {ended}"));
        site.end(2);
    }

    let runs = runs.lock().unwrap();
    let crashes: Vec<u64> = runs
        .iter()
        .filter(|run| run.deed.starts_with("Crash"))
        .map(|run| run.ms)
        .collect();
    record.say(&format!(
        "{} runs of requests with the deadly part crashed runners",
        crashes.len()
    ));
    record.say(&format!(
        "{} sound requests got neither a 200 nor their runner's 500",
        broken.load(Ordering::SeqCst)
    ));
    let Some(fifth) = crashes.get(4) else {
        record.say("there was no fifth crash");
        site.end(0);
    };
    let bound = fifth + CONTACT_MS + 100;
    let late = runs
        .iter()
        .filter(|run| run.prefix.contains(DEADLY) && run.ms > bound)
        .count();
    record.say(&format!("the fifth crash was at {fifth} ms"));
    record.say(&format!(
        "{late} requests with the part reached runners later than {bound} ms; three are allowed"
    ));
    site.end(i32::from(late > 3))
}
