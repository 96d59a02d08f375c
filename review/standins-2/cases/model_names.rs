//! Clients that the site does not control ask for adapters that do not exist, each under another name.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Site;
use crate::http::Conn;
use crate::programs::ENTRY_MEMORY_MB;
use crate::record::Record;
use crate::record::Verdict;
use crate::runner::MODEL;

/// The length of a name; the head stays below `header_bytes` of the manifest, 16,384.
const NAME_BYTES: usize = 15_000;
/// The connections of these clients to each entry.
const CONNS: usize = 2;
/// The time between two requests on one connection.
const INTERVAL: Duration = Duration::from_millis(2);
/// How long they go on.
const LENGTH: Duration = Duration::from_secs(85);
/// The platform starts a process again after this time.
const RESTART: Duration = Duration::from_millis(500);
/// How often a process has to end on each of two machines for the rule to be broken.
const ENDS: u32 = 3;

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut site = Site::start(2, 2, 1)?;
    record.line(&format!("2 entries with {ENTRY_MEMORY_MB} MB each, 2 model runners with agents, 1 plain runner"));
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for entry in &site.entries {
        for conn in 0..if trouble { CONNS } else { 0 } {
            let (addr, stop, sent) = (entry.callers, stop.clone(), sent.clone());
            clients.push(thread::spawn(move || ask_on(addr, conn, &stop, &sent)));
        }
    }
    let mut ends = vec![0_u32; site.entries.len()];
    let mut most = vec![0_u64; site.entries.len()];
    let mut ordinary = (0_u32, 0_u32);
    let begun = Instant::now();
    let mut next_line = Instant::now();
    while begun.elapsed() < LENGTH && !ends.iter().all(|count| *count >= ENDS) {
        for (index, entry) in site.entries.iter_mut().enumerate() {
            let name = entry.program.name().to_owned();
            let memory = entry.program.memory_mb();
            most[index] = most[index].max(memory.unwrap_or(0));
            let cause = match memory {
                None => "has ended by itself".to_owned(),
                Some(mb) if mb > ENTRY_MEMORY_MB => format!("has {mb} MB, more than its machine, and is killed"),
                Some(_) => continue,
            };
            ends[index] += 1;
            let requests = sent.load(Ordering::Relaxed);
            record.line(&format!("{name} {cause}, the {}. time; {requests} requests were sent to all entries so far", ends[index]));
            entry.program.kill();
            thread::sleep(RESTART);
            entry.program.restart().map_err(|error| error.to_string())?;
        }
        if Instant::now() >= next_line {
            next_line = Instant::now() + Duration::from_secs(1);
            for entry in &mut site.entries {
                let number = ordinary.0;
                let status = ask_once(entry.callers, number);
                ordinary.0 += 1;
                ordinary.1 += u32::from(status == 200);
                let memory = entry.program.memory_mb().unwrap_or(0);
                let requests = sent.load(Ordering::Relaxed);
                record.line(&format!("{}: {memory} MB; an ordinary booking gets {status}; {requests} requests of the others", entry.program.name()));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!("requests with names of adapters that do not exist: {}", sent.load(Ordering::Relaxed)));
    record.line(&format!("ends of processes by entry: {ends:?}, most memory in MB: {most:?}, limit {ENTRY_MEMORY_MB}"));
    record.line(&format!("ordinary bookings answered 200: {} of {}", ordinary.1, ordinary.0));
    if ordinary.1 == 0 {
        return Err("no ordinary booking was served".into());
    }
    Ok(Verdict::broken_if(ends.iter().all(|count| *count >= ENDS)))
}

/// Sends requests on one connection after the other.
fn ask_on(addr: SocketAddr, conn: usize, stop: &AtomicBool, sent: &AtomicU64) {
    let mut number = 0_u64;
    let mut next_at = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut open) = Conn::open(addr, Duration::from_secs(5)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            next_at = Instant::now().max(next_at + INTERVAL);
            number += 1;
            let unique = format!("{conn}-{number}-{}", std::process::id());
            let name = format!("{MODEL}/{unique:x<NAME_BYTES$}");
            let request = format!(
                "POST /chat/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: u{unique}\r\nx-model: {name}\r\n\
                 x-token-count: 646,70\r\nx-deadline-ms: 100\r\ncontent-length: 0\r\n\r\n"
            );
            sent.fetch_add(1, Ordering::Relaxed);
            if open.call(request.as_bytes()).is_err() {
                break;
            }
        }
    }
}

/// Makes a booking; returns the status of its answer, or 0 if there is none.
fn ask_once(addr: SocketAddr, number: u32) -> u16 {
    let timeout = Duration::from_secs(1);
    let Ok(mut conn) = Conn::open(addr, timeout) else {
        return 0;
    };
    let request = format!(
        "POST /book/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: b{number}\r\nx-deadline-ms: 1000\r\ncontent-length: 2\r\n\r\nhi"
    );
    conn.call(request.as_bytes()).map_or(0, |reply| reply.status())
}
