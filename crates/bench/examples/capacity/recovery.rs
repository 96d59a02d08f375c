//! Costs of what follows crashes of runners and restores of the platform's store.

use std::time::Duration;

use decision::time::Time;
use hyper::Request;
use platform::ingress::decode_head;
use serving::members::Members;
use serving::quarantine::Crash;
use serving::quarantine::MAX_CRASH_REQUESTS;
use serving::quarantine::Quarantine;
use serving::request::PartId;
use serving::runner::Member;
use serving::runner::Phase;

use crate::measure::Series;
use crate::measure::heap_bytes;
use crate::measure::time_us;

const BODY_BYTES: [usize; 3] = [0, 1 << 16, 1 << 20];
const CRASH_COUNTS: [usize; 3] = [1, 16, 64];
const RUNNER_COUNTS: [usize; 3] = [14, 171, 1_200];
const CONTACT: Duration = Duration::from_secs(3);

/// Measures the costs by bytes of a body, by known crashes and by runners.
pub(crate) fn measure() -> Vec<Series> {
    let mut fingerprint = Series::new("fingerprint_cpu_us_by_body_byte");
    for bytes in BODY_BYTES {
        let request = Request::post("/a/b?c=1").header("host", "a.example");
        let request = request.header("x-request-id", "q1").body(());
        let (parts, ()) = request.expect("a request").into_parts();
        let head = decode_head(&parts).expect("a head");
        let body = vec![7; bytes];
        let time = time_us(9, 20, || {
            std::hint::black_box(head.fingerprint(&body));
        });
        fingerprint.add(bytes, time);
    }
    let mut crash = Series::new("crash_cpu_us_by_known_crash");
    let mut evidence = Series::new("evidence_bytes_by_known_crash");
    for count in CRASH_COUNTS {
        let before = heap_bytes();
        let mut quarantine = Quarantine::default();
        let mut born = 0;
        let mut record = |quarantine: &mut Quarantine| {
            born += 1;
            quarantine.record_crash(Time::from_ms(born), crash_of(born));
        };
        for _ in 0..count {
            record(&mut quarantine);
        }
        evidence.add(count, heap_bytes() - before);
        if count == CRASH_COUNTS[CRASH_COUNTS.len() - 1] {
            crash.add(count, time_us(9, 10, || record(&mut quarantine)));
        } else {
            let time = time_us(9, 1, || {
                let mut quarantine = Quarantine::default();
                for _ in 0..count {
                    record(&mut quarantine);
                }
            });
            crash.add(count, time / count as f64);
        }
    }
    let mut restore = Series::new("restore_cpu_us_by_runner");
    for count in RUNNER_COUNTS {
        let mut members = Members::new(CONTACT);
        let records: Vec<Member> = (0..count).map(member).collect();
        members.apply_snapshot(Time::default(), records.clone());
        let time = time_us(9, 5, || {
            members.apply_copy(Time::from_ms(1), records.clone());
        });
        restore.add(count, time);
    }
    vec![fingerprint, crash, evidence, restore]
}

/// Returns a crash with as many requests as are kept, none of them in another crash.
fn crash_of(born: u64) -> Crash {
    let first = born * 1_000;
    let numbers = (0..MAX_CRASH_REQUESTS as u64).map(|n| PartId(first + n));
    Crash {
        runner: "i-1".into(),
        born,
        begun: false,
        requests: Vec::new(),
        served: Vec::new(),
        whole: numbers.collect(),
    }
}

fn member(number: usize) -> Member {
    Member {
        id: format!("i-{number:08x}").as_str().into(),
        service: "s".into(),
        addr: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        domain: "z".into(),
        slots: 64,
        phase: Phase::Ready,
        models: vec!["base".into()],
        adapters: Vec::new(),
        born: 1,
    }
}
