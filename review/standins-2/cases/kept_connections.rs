//! Clients that the site does not control keep their connections open between rare requests, as our pages allow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Site;
use crate::http::Conn;
use crate::record::Record;
use crate::record::Verdict;

/// The connections that these clients open, below the descriptors of a front machine (4,100).
const CONNS: usize = 3_000;
/// The clients that open them, each an equal part.
const CLIENTS: usize = 30;
/// The time until all are open.
const OPENING: Duration = Duration::from_secs(6);
/// The time between two requests on a connection: below four fifths of `idle_timeout_ms`, 15,000.
const INTERVAL: Duration = Duration::from_millis(11_000);
/// The requesters that try, each on a new channel every `RETRY`.
const REQUESTERS: usize = 8;
const RETRY: Duration = Duration::from_millis(250);
const LENGTH: Duration = Duration::from_secs(30);
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The requesters that have to try within that time for the rule to be broken.
const TRYING: usize = 7;

/// A try of a requester to open a channel.
#[derive(Clone, Copy, Debug)]
struct Try {
    at: Duration,
    requester: usize,
    status: u16,
}

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut site = Site::start(1, 0, 2)?;
    let entry = &site.entries[0];
    let callers = entry.callers;
    let stop = Arc::new(AtomicBool::new(false));
    let opened = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for _ in 0..if trouble { CLIENTS } else { 0 } {
        let (stop, opened) = (stop.clone(), opened.clone());
        clients.push(thread::spawn(move || {
            let conns = open_all(callers);
            opened.fetch_add(conns.len(), Ordering::Relaxed);
            keep(conns, &stop)
        }));
    }
    if trouble {
        thread::sleep(OPENING);
        let opened = opened.load(Ordering::Relaxed);
        record.line(&format!("{opened} of {CONNS} connections are open, each with one answered request"));
    }
    let tries = Arc::new(Mutex::new(Vec::new()));
    let begun = Instant::now();
    let mut requesters = Vec::new();
    for requester in 0..REQUESTERS {
        let (stop, tries) = (stop.clone(), tries.clone());
        requesters.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let at = begun.elapsed();
                let status = book(callers, requester, at);
                let tried = Try {
                    at,
                    requester,
                    status,
                };
                tries.lock().expect("no panic under the lock").push(tried);
                thread::sleep(RETRY);
            }
        }));
    }
    let mut unready = Vec::new();
    while begun.elapsed() < LENGTH {
        if !site.entries[0].is_ready() {
            unready.push(begun.elapsed());
        }
        thread::sleep(Duration::from_millis(500));
    }
    stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        let _ = requester.join();
    }
    let kept: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let mut tries = tries.lock().expect("no panic under the lock").clone();
    tries.sort_by_key(|tried| tried.at);
    for second in 0..LENGTH.as_secs() {
        let within = tries.iter().filter(|tried| tried.at.as_secs() == second);
        let statuses: Vec<u16> = within.map(|tried| tried.status).collect();
        let answered = statuses.iter().filter(|status| **status == 200).count();
        record.line(&format!("second {second}: {} bookings on new channels, {answered} answered", statuses.len()));
    }
    record.line(&format!("readiness checks without 200: {unready:?}; kept connections at the end: {kept}"));
    let memory = site.entries[0].program.memory_mb();
    record.line(&format!("the entry has {memory:?} MB"));
    let span = longest_span(&tries, &unready);
    record.line(&format!("longest time ready without a new channel, while {TRYING} requesters or more tried: {span:?}; allowed: less than {CONTACT:?}"));
    Ok(Verdict::broken_if(span >= CONTACT))
}

/// Returns the longest time without an answer on a new channel and with the entry ready, in which enough requesters
/// tried.
fn longest_span(tries: &[Try], unready: &[Duration]) -> Duration {
    let mut longest = Duration::ZERO;
    let mut begun: Option<Duration> = None;
    let mut trying = Vec::new();
    for tried in tries {
        let since = begun.unwrap_or(tried.at);
        if tried.status != 0 || unready.iter().any(|at| (since..=tried.at).contains(at)) {
            begun = None;
            trying.clear();
            continue;
        }
        begun = Some(since);
        if !trying.contains(&tried.requester) {
            trying.push(tried.requester);
        }
        if trying.len() >= TRYING {
            longest = longest.max(tried.at - since);
        }
    }
    longest
}

fn open_all(addr: SocketAddr) -> Vec<Conn> {
    let mut conns = Vec::new();
    for number in 0..CONNS / CLIENTS {
        let Ok(mut conn) = Conn::open(addr, Duration::from_secs(2)) else {
            continue;
        };
        if conn.call(&look(number)).is_ok() {
            conns.push(conn);
        }
    }
    conns
}

/// Makes a request on each connection now and then; returns how many are left.
fn keep(mut conns: Vec<Conn>, stop: &AtomicBool) -> usize {
    let mut next_at = Instant::now() + INTERVAL;
    while !stop.load(Ordering::Relaxed) {
        if Instant::now() < next_at {
            thread::sleep(Duration::from_millis(50));
            continue;
        }
        next_at = Instant::now() + INTERVAL;
        let mut number = 0;
        conns.retain_mut(|conn| {
            number += 1;
            conn.call(&look(number)).is_ok()
        });
    }
    conns.len()
}

fn look(number: usize) -> Vec<u8> {
    format!("GET /look/k HTTP/1.1\r\nhost: a.example\r\nx-request-id: k{number}\r\nx-deadline-ms: 1000\r\n\r\n").into_bytes()
}

/// Makes a booking on a new channel; returns the status of its answer, or 0 if the channel was not served.
fn book(addr: SocketAddr, requester: usize, at: Duration) -> u16 {
    let timeout = Duration::from_secs(1);
    let Ok(mut conn) = Conn::open(addr, timeout) else {
        return 0;
    };
    let request = format!(
        "POST /book/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: b{requester}-{}\r\nx-deadline-ms: 1000\r\ncontent-length: 2\r\n\r\nhi",
        at.as_millis()
    );
    conn.call(request.as_bytes()).map_or(0, |reply| reply.status())
}
