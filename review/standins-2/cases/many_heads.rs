//! Many clients that the site does not control send requests with long heads at once.

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Site;
use crate::http::Conn;
use crate::programs::ENTRY_MEMORY_MB;
use crate::record::Record;
use crate::record::Verdict;
use crate::runner::Behavior;
use crate::runner::MODEL;

/// The requests of one crowd, each on a connection of its own. With a connection to a runner for each of them the
/// entry needs fewer descriptors than its machine has for sockets (4,100 less 200).
const CROWD: usize = 1_940;
const SMALL_CROWD: usize = 40;
/// The headers of a request and the length of their values; the head stays below `header_bytes` of the manifest, 16,384.
const HEADERS: usize = 92;
const VALUE_BYTES: usize = 160;
/// The most crowds that come to each entry.
const ROUNDS: u32 = 5;
/// How often a process has to end on each of two machines for the rule to be broken.
const ENDS: u32 = 3;
/// A sound runner may be silent for a second or so; here all of them are, once when a crowd comes.
const SILENCE: Duration = Duration::from_millis(1_400);
/// How long a crowd is watched.
const WATCH: Duration = Duration::from_millis(5_000);
/// The platform starts a process again after this time.
const RESTART: Duration = Duration::from_millis(500);

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut site = Site::start(2, 9, 1)?;
    let crowd = if trouble { CROWD } else { SMALL_CROWD };
    record.line(&format!("2 entries with {ENTRY_MEMORY_MB} MB each, 9 model runners with agents; {crowd} requests at once, {} bytes of head each", head(0).len()));
    let mut ends = vec![0_u32; site.entries.len()];
    let mut ordinary = (0, 0);
    for round in 1..=ROUNDS {
        if ends.iter().all(|count| *count >= ENDS) {
            break;
        }
        for (index, entry) in site.entries.iter_mut().enumerate() {
            let name = entry.program.name().to_owned();
            let addr = entry.callers;
            let begun = Instant::now();
            for runner in &site.engines {
                runner.set_behavior(Behavior::SilentUntil(begun + SILENCE));
            }
            let clients = thread::spawn(move || send(addr, crowd));
            let mut most = 0;
            while begun.elapsed() < WATCH {
                let memory = entry.program.memory_mb();
                most = most.max(memory.unwrap_or(0));
                let cause = match memory {
                    None => "has ended by itself".to_owned(),
                    Some(mb) if mb > ENTRY_MEMORY_MB => format!("has {mb} MB, more than its machine, and is killed"),
                    Some(_) => {
                        thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                };
                ends[index] += 1;
                record.line(&format!("{name} {cause}, the {}. time, {} ms after crowd {round}", ends[index], begun.elapsed().as_millis()));
                entry.program.kill();
                thread::sleep(RESTART);
                entry.program.restart().map_err(|error| error.to_string())?;
                break;
            }
            let answers = clients.join().unwrap_or_default();
            record.line(&format!("{name}, crowd {round}: most memory {most} MB; answers by status (0: none): {answers:?}"));
            entry.wait_ready(Duration::from_secs(10))?;
            thread::sleep(Duration::from_secs(2));
            let status = book(addr, round);
            ordinary.0 += 1;
            ordinary.1 += u32::from(status == 200);
            record.line(&format!("{name}: an ordinary booking gets {status}"));
        }
    }
    let most: Vec<usize> = site.engines.iter().map(|runner| runner.most_present()).collect();
    record.line(&format!("most requests at once at each model runner: {most:?}"));
    record.line(&format!("ends of processes by entry: {ends:?}; ordinary bookings answered 200: {} of {}", ordinary.1, ordinary.0));
    if ordinary.1 == 0 {
        return Err("no ordinary booking was served".into());
    }
    Ok(Verdict::broken_if(ends.iter().all(|count| *count >= ENDS)))
}

/// Sends a crowd of requests, and returns the number of answers of each status.
fn send(addr: SocketAddr, crowd: usize) -> Vec<(u16, usize)> {
    let mut conns = Vec::new();
    for number in 0..crowd {
        let Ok(mut conn) = Conn::open(addr, Duration::from_secs(5)) else {
            continue;
        };
        if conn.stream.write_all(&head(number)).is_ok() {
            conns.push(conn);
        }
    }
    let mut answers: Vec<(u16, usize)> = Vec::new();
    for mut conn in conns {
        let status = conn.read_head().ok().flatten().map_or(0, |reply| reply.status());
        match answers.iter_mut().find(|(known, _)| *known == status) {
            Some((_, count)) => *count += 1,
            None => answers.push((status, 1)),
        }
    }
    answers
}

fn head(number: usize) -> Vec<u8> {
    let mut head = format!(
        "POST /chat/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: c{number}\r\nx-model: {MODEL}\r\n\
         x-token-count: 100,10\r\nx-deadline-ms: 4000\r\ncontent-length: 0\r\n"
    );
    for index in 0..HEADERS {
        head.push_str(&format!("x-note-{index}: {:y<VALUE_BYTES$}\r\n", number));
    }
    head.push_str("\r\n");
    head.into_bytes()
}

/// Makes a booking; returns the status of its answer, or 0 if there is none.
fn book(addr: SocketAddr, number: u32) -> u16 {
    let Ok(mut conn) = Conn::open(addr, Duration::from_secs(1)) else {
        return 0;
    };
    let request = format!(
        "POST /book/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: b{number}\r\nx-deadline-ms: 1000\r\ncontent-length: 2\r\n\r\nhi"
    );
    conn.call(request.as_bytes()).map_or(0, |reply| reply.status())
}
