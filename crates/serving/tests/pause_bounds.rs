//! Runners that ask an entry for a pause: how long it binds.

use std::time::Duration;

use decision::time::Time;
use serving::backpressure::Backpressure;
use serving::backpressure::MAX_PAUSE;
use serving::backpressure::NoticeSource;
use serving::backpressure::Permission;
use serving::runner::Notice;

const BORN: u64 = 1;

fn pause(state: &mut Backpressure, now: Time, length: Duration) {
    let notice = Notice {
        retry_after: Some(length),
        ..Notice::default()
    };
    let source = NoticeSource {
        runner: &"r0".into(),
        born: BORN,
        sent_at: now,
        ran: false,
    };
    let mut rng = fastrand::Rng::with_seed(1);
    state.record(now, &mut rng, source, &notice);
}

fn takes_requests(state: &Backpressure, now: Time, born: u64) -> bool {
    state.permission(now, "r0", born, None) == Permission::Granted
}

/// Guards against a runner that is left out for ever because it once named a time beyond all measure, and
/// against a time that overflows the clock.
#[test]
fn pause_is_bounded() {
    let now = Time::from_ms(1_000);
    for length in [Duration::from_secs(1 << 40), Duration::MAX] {
        let mut state = Backpressure::new(1);
        pause(&mut state, now, length);
        let last = now.after(MAX_PAUSE - Duration::from_millis(1));
        assert!(!takes_requests(&state, last, BORN), "{length:?}");
        assert!(takes_requests(&state, now.after(MAX_PAUSE), BORN));
    }
}

/// Guards against requests in a pause because a later answer named a shorter one.
#[test]
fn pause_is_never_shortened() {
    let now = Time::from_ms(1_000);
    let mut state = Backpressure::new(1);
    pause(&mut state, now, Duration::from_secs(5));
    pause(&mut state, now, Duration::from_secs(1));
    let later = now.after(Duration::from_secs(2));
    assert!(!takes_requests(&state, later, BORN));
}

/// Guards against a restarted runner that is left out for what its earlier incarnation said.
#[test]
fn pause_ends_with_its_incarnation() {
    let now = Time::from_ms(1_000);
    let mut state = Backpressure::new(1);
    pause(&mut state, now, Duration::from_secs(5));
    assert!(takes_requests(&state, now, BORN + 1));
}
