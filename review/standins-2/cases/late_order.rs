//! An order gets no answer and is carried out some seconds later. Meanwhile the runner has started again under its id.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Site;
use crate::http::Conn;
use crate::late_runner::ADAPTER_SLOTS;
use crate::late_runner::LateOrder;
use crate::late_runner::LateRunner;
use crate::programs;
use crate::record::Record;
use crate::record::Verdict;
use crate::runner::MODEL;

/// The order that is late: the first load that follows an unload, when all places were taken.
const LATE_EXPECTED: u64 = ADAPTER_SLOTS as u64 + 1;
/// How much later it is carried out; the page allows 2 to 12 s.
const DELAY: Duration = Duration::from_millis(11_500);
/// How long the runner is down.
const DOWN: Duration = Duration::from_secs(1);
/// How long callers ask after the late order.
const AFTER: Duration = Duration::from_secs(2);

pub fn play(trouble: bool, record: Arc<Record>) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let ip = Ipv4Addr::new(127, 0, 1, 1);
    let agent_port = programs::free_port(ip).map_err(text)?;
    let mut site = Site::start_with(1, agent_port)?;
    let runner = LateRunner::start("e-1", ip, &site.store, record.clone()).map_err(text)?;
    let agent = programs::start_agent("side-1", ip, agent_port, runner.addr, &site.folder).map_err(text)?;
    site.agents.push(agent);
    thread::sleep(Duration::from_secs(4));
    let callers = site.entries[0].callers;
    if trouble {
        runner.set_late(LateOrder {
            expected: LATE_EXPECTED,
            delay: DELAY,
        });
    }
    // All places are taken, and one more adapter takes the place of an idle one.
    let first = ask_for(callers, 1..=ADAPTER_SLOTS as u32, "a", &record);
    thread::sleep(Duration::from_millis(2_500));
    let extra = ask_for(callers, 18..=18, "b", &record);
    let late_by = Instant::now() + DELAY;
    let (sequence, held) = runner.state();
    record.line(&format!("{first} and {extra} requests served; {sequence} orders accepted, {held} adapters"));
    if trouble {
        runner.crash(DOWN);
        record.line("the runner crashes; it starts again under its id, empty");
        thread::sleep(DOWN + Duration::from_millis(2_500));
    }
    // Callers ask for the same adapters again.
    let again = ask_for(callers, 1..=ADAPTER_SLOTS as u32, "c", &record);
    let (sequence, held) = runner.state();
    record.line(&format!("{again} of {ADAPTER_SLOTS} requests served; {sequence} orders accepted, {held} adapters"));
    let until = late_by + AFTER;
    let mut lost = 0;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let status = ask(callers, &format!("d{number}"), number % ADAPTER_SLOTS as u32 + 1);
        lost += u32::from(status != 200);
        thread::sleep(Duration::from_millis(200));
    }
    let excess = runner.excess();
    record.line(&format!("afterwards {lost} of {number} requests were not served; the runner was ordered {excess} times to load more than it holds"));
    if again == 0 {
        return Err("nothing was served after the restart".into());
    }
    Ok(Verdict::broken_if(excess > 0))
}

/// Asks for each adapter once; returns how many requests were served.
fn ask_for(addr: SocketAddr, adapters: std::ops::RangeInclusive<u32>, name: &str, record: &Record) -> usize {
    let served = adapters.filter(|adapter| {
        let status = ask(addr, &format!("{name}{adapter}"), *adapter);
        record.line(&format!("request for a{adapter}: {status}"));
        status == 200
    });
    served.count()
}

fn ask(addr: SocketAddr, id: &str, adapter: u32) -> u16 {
    let Ok(mut conn) = Conn::open(addr, Duration::from_secs(5)) else {
        return 0;
    };
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\nx-model: {MODEL}/a{adapter}\r\n\
         x-token-count: 646,70\r\nx-deadline-ms: 4000\r\ncontent-length: 0\r\n\r\n"
    );
    conn.call(request.as_bytes()).map_or(0, |reply| reply.status())
}
