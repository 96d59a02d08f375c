//! The platform's store moves to another address: the settings files change, and SIGHUP says so.

use std::net::Ipv4Addr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Site;
use super::manifest;
use crate::http::Conn;
use crate::record::Record;
use crate::record::Verdict;
use crate::runner::Runner;

/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `config_ms` of the site.
const CONFIG: Duration = Duration::from_millis(2_000);
/// How much longer than its bounds the check waits.
const MARGIN: Duration = Duration::from_secs(2);
/// The length of the check.
const LENGTH: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_millis(100);

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut site = Site::start(1, 0, 2)?;
    let ip = Ipv4Addr::new(127, 0, 2, 9);
    let newer = Runner::start("q-1", "desk-2", false, ip, &site.store).map_err(text)?;
    thread::sleep(CONTACT);
    let status = book(&site, "first");
    record.line(&format!("a booking by version 1 gets {status}"));
    if trouble {
        let moved = site.store.move_away().map_err(text)?;
        record.line(&format!("the store moves from {} to {}", site.store.addr, moved.addr));
        for runner in site.plain.iter().chain([&newer]) {
            runner.set_store(&moved);
        }
        let (old, new) = (site.store.addr.to_string(), moved.addr.to_string());
        site.entries[0].program.change_settings(&old, &new).map_err(text)?;
        record.line("the settings file names the new address, and the entry gets SIGHUP");
        site.store = moved;
    }
    thread::sleep(CONTACT + MARGIN);
    site.store.put("op", "config", &manifest(2, "desk-2"));
    record.line("version 2 is acknowledged: bookings go to desk-2 and no longer to desk");
    thread::sleep(CONFIG + MARGIN);
    let begun = Instant::now();
    let (mut sent, mut stale, mut unready) = (0, 0, 0);
    while begun.elapsed() < LENGTH {
        let id = format!("b{sent}");
        let status = book(&site, &id);
        let ran = |runner: &Runner| runner.ran().contains(&id);
        let by_old = site.plain.iter().any(ran);
        let at = (CONFIG + MARGIN + begun.elapsed()).as_millis();
        if sent % 10 == 0 || by_old {
            let by = match (by_old, ran(&newer)) {
                (true, _) => "desk",
                (false, true) => "desk-2",
                (false, false) => "nobody",
            };
            record.line(&format!("booking {id}, about {at} ms after the ack: {status}, run by {by}"));
        }
        sent += 1;
        stale += u32::from(by_old);
        unready += u32::from(!site.entries[0].is_ready());
        thread::sleep(INTERVAL);
    }
    for line in site.entries[0].program.log_lines("settings reloaded") {
        record.line(&format!("log of the entry: {line}"));
    }
    record.line(&format!("{stale} of {sent} bookings were run by the old service; {unready} readiness checks were not answered 200"));
    Ok(Verdict::broken_if(stale > 0))
}

fn book(site: &Site, id: &str) -> u16 {
    let Ok(mut conn) = Conn::open(site.entries[0].callers, Duration::from_secs(2)) else {
        return 0;
    };
    let request = format!(
        "POST /book/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\nx-deadline-ms: 1000\r\ncontent-length: 2\r\n\r\nhi"
    );
    conn.call(request.as_bytes()).map_or(0, |reply| reply.status())
}
