//! A plain runner fails bookings that it has run, with a status that promises callers the contrary.

use std::time::Duration;

use super::Site;
use crate::http::Conn;
use crate::record::Record;
use crate::record::Verdict;
use crate::runner::Behavior;

/// The statuses by which a caller is promised that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// The status with which the runner fails.
const FAILURE: u16 = 503;
const BOOKINGS: u32 = 20;

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let site = Site::start(1, 0, 1)?;
    let runner = &site.plain[0];
    if trouble {
        runner.set_behavior(Behavior::Fails(FAILURE));
        record.line(&format!("the runner fails the bookings that it has run with {FAILURE}, without X-Not-Run"));
    }
    let mut broken = 0;
    let mut served = 0;
    for number in 0..BOOKINGS {
        let id = format!("b{number}");
        let mut conn = Conn::open(site.entries[0].callers, Duration::from_secs(2)).map_err(|e| e.to_string())?;
        let request = format!(
            "POST /book/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\nx-deadline-ms: 1000\r\ncontent-length: 2\r\n\r\nhi"
        );
        let reply = conn.call(request.as_bytes()).map_err(|error| error.to_string())?;
        let ran = runner.ran().iter().filter(|ran| **ran == id).count();
        let seal = reply.header("x-response-seal").unwrap_or("none");
        record.line(&format!("booking {id}: answered {}, seal {seal}, ran {ran} times", reply.status()));
        broken += u32::from(PROMISES.contains(&reply.status()) && ran > 0);
        served += u32::from(reply.status() == 200);
    }
    record.line(&format!("{broken} of {BOOKINGS} bookings were answered as not run and had run; {served} were served"));
    if !trouble && served == 0 {
        return Err("nothing was served".into());
    }
    Ok(Verdict::broken_if(broken > 0))
}
