//! Another writer registers a server of a service that the manifest doesn't name, at the address of a sound runner. Then
//! all processes of the system are killed and started again.

use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::Site;
use crate::http::Conn;
use crate::record::Record;
use crate::record::Verdict;

/// The time over which bookings are made before the fault.
const BEFORE: Duration = Duration::from_secs(6);
/// How long the processes are down.
const DOWN: Duration = Duration::from_secs(1);
/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// The time over which bookings are made after it.
const AFTER: Duration = Duration::from_secs(12);
const INTERVAL: Duration = Duration::from_millis(100);
/// The share of bookings of the rule.
const SHARE: f64 = 0.25;

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut site = Site::start(2, 1, 2)?;
    let before = book_for(&site, BEFORE, "a", record);
    if trouble {
        for (number, runner) in site.plain.iter().enumerate() {
            let row = foreign_row(&runner.addr.to_string());
            site.store.put("servers", &format!("other-{number}"), &row);
            record.line(&format!("another writer stores servers/other-{number}: {row}"));
        }
    }
    for entry in &mut site.entries {
        entry.program.kill();
    }
    for agent in &mut site.agents {
        agent.kill();
    }
    record.line("all processes of the system are killed");
    thread::sleep(DOWN);
    for program in site.entries.iter_mut().map(|entry| &mut entry.program).chain(&mut site.agents) {
        program.restart().map_err(|error| error.to_string())?;
    }
    for entry in &site.entries {
        entry.wait_ready(Duration::from_secs(10))?;
    }
    record.line("all are back, and the entries are ready");
    thread::sleep(RECOVERY);
    let after = book_for(&site, AFTER, "b", record);
    record.line(&format!("served before the fault: {before:.3}; later than {RECOVERY:?} after the processes were back: {after:.3}"));
    if before < SHARE {
        return Err("too few bookings were served before the fault".into());
    }
    Ok(Verdict::broken_if(after < SHARE))
}

/// Returns the record of a server that started just now, as any writer can store it.
fn foreign_row(addr: &str) -> String {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |time| time.as_millis());
    format!(
        r#"{{"service":"inventory","addr":"{addr}","zone":"z","version":1,"slots":6,"state":"ready","cold_ms":0,"sequence":1,"born":{born}}}"#
    )
}

/// Makes bookings in turn at the entries; returns the share that was served.
fn book_for(site: &Site, length: Duration, name: &str, record: &Record) -> f64 {
    let begun = Instant::now();
    let (mut sent, mut served) = (0_usize, 0_usize);
    while begun.elapsed() < length {
        let entry = &site.entries[sent % site.entries.len()];
        let id = format!("{name}{sent}");
        let status = book(entry.callers, &id);
        let ran = site.plain.iter().any(|runner| runner.ran().contains(&id));
        if sent % 10 == 0 {
            record.line(&format!("booking {id}: answered {status}, ran: {ran}"));
        }
        sent += 1;
        served += usize::from(status == 200);
        thread::sleep(INTERVAL);
    }
    record.line(&format!("{served} of {sent} bookings {name} were served"));
    served as f64 / sent as f64
}

fn book(addr: std::net::SocketAddr, id: &str) -> u16 {
    let Ok(mut conn) = Conn::open(addr, Duration::from_secs(2)) else {
        return 0;
    };
    let request = format!(
        "POST /book/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\nx-deadline-ms: 1000\r\ncontent-length: 2\r\n\r\nhi"
    );
    conn.call(request.as_bytes()).map_or(0, |reply| reply.status())
}
