//! Several prompts of many entries reach one runner at once. Guards against streams that pause for
//! all of them in a row, and against prompts that wait without need or without end.

use std::time::Duration;

use decision::time::Time;
use serving::admission::PrefillAdmission;
use serving::admission::Prompt;

const GAP_MS: u32 = 300;
const TOKENS_PER_MS: u32 = 20;
/// Prefill that a stream of the burst must not see at once.
const MAX_PREFILL_MS: u32 = GAP_MS / 2;

fn ms(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn prompt(id: u64, tokens: u32, priority: u8) -> Prompt {
    Prompt {
        id,
        tokens,
        priority,
        wait_ms: 1_000,
        gap_ms: GAP_MS,
        adapter: Some(format!("m/a{id}").as_str().into()),
    }
}

/// Returns an agent's table that knows the throughput of its runner.
fn admission() -> PrefillAdmission {
    let mut admission = PrefillAdmission::default();
    for id in 0..100 {
        let started = ms(id * 100);
        admission.ask(started, 0, prompt(id, 50 * TOKENS_PER_MS, 0));
        assert_eq!(admission.admit(started).len(), 1);
        admission.finish(started.after(Duration::from_millis(50)), (0, id));
    }
    admission
}

#[test]
fn burst_is_read_piece_by_piece() {
    let mut admission = admission();
    let mut now = ms(20_000);
    for link in 0..12 {
        admission.ask(now, link, prompt(500, 70 * TOKENS_PER_MS, 0));
    }
    let mut reading = Vec::new();
    let mut read = 0;
    for _ in 0..30 {
        reading.extend(admission.admit(now));
        let prefill_ms = 70 * reading.len() as u32;
        assert!(prefill_ms <= MAX_PREFILL_MS, "{prefill_ms} ms at once");
        now = now.after(Duration::from_millis(70));
        if let Some(key) = reading.pop() {
            admission.finish(now, key);
            read += 1;
        }
    }
    assert_eq!(read, 12);
}

#[test]
fn lone_prompt_and_short_prompts_do_not_wait() {
    let mut admission = admission();
    let now = ms(20_000);
    admission.ask(now, 1, prompt(1, 5_000 * TOKENS_PER_MS, 2));
    assert_eq!(admission.admit(now), [(1, 1)], "nothing else is being read");
    admission.ask(now, 2, prompt(1, 70 * TOKENS_PER_MS, 0));
    admission.ask(now, 2, prompt(2, 10 * TOKENS_PER_MS, 0));
    assert_eq!(
        admission.admit(now),
        [(2, 2)],
        "a short one holds up no stream"
    );
}

#[test]
fn urgent_prompt_goes_first() {
    let mut admission = admission();
    let now = ms(20_000);
    admission.ask(now, 1, prompt(1, 200 * TOKENS_PER_MS, 0));
    assert_eq!(admission.admit(now).len(), 1);
    admission.ask(now, 1, prompt(2, 70 * TOKENS_PER_MS, 2));
    admission.ask(ms(20_001), 2, prompt(3, 70 * TOKENS_PER_MS, 0));
    admission.finish(ms(20_200), (1, 1));
    assert_eq!(admission.admit(ms(20_200)).first(), Some(&(2, 3)));
}

#[test]
fn wait_ends_at_its_limit() {
    let mut admission = admission();
    admission.ask(ms(20_000), 1, prompt(1, 900 * TOKENS_PER_MS, 0));
    admission.ask(ms(20_000), 2, prompt(2, 70 * TOKENS_PER_MS, 0));
    assert_eq!(admission.admit(ms(20_999)), [(1, 1)]);
    assert_eq!(admission.admit(ms(21_000)), [(2, 2)]);
}

/// An entry that dies with prompts announced, or a message that is lost, must not block the others.
#[test]
fn lost_entry_and_lost_message_free_the_runner() {
    let mut admission = admission();
    admission.ask(ms(20_000), 1, prompt(1, 200 * TOKENS_PER_MS, 0));
    assert_eq!(admission.admit(ms(20_000)).len(), 1);
    admission.ask(ms(20_000), 2, prompt(2, 70 * TOKENS_PER_MS, 0));
    admission.remove_link(1);
    assert_eq!(admission.admit(ms(20_001)), [(2, 2)]);
    let mut late = prompt(3, 70 * TOKENS_PER_MS, 0);
    late.wait_ms = 60_000;
    admission.ask(ms(20_001), 3, prompt(9, 200 * TOKENS_PER_MS, 0));
    admission.ask(ms(20_001), 3, late);
    assert!(admission.admit(ms(23_000)).contains(&(3, 3)));
}

#[test]
fn waiting_prompt_keeps_its_adapter_in_use() {
    let mut admission = admission();
    let now = ms(20_000);
    admission.ask(now, 1, prompt(1, 200 * TOKENS_PER_MS, 0));
    assert!(admission.uses("m/a1"));
    admission.admit(now);
    assert!(admission.uses("m/a1"));
    admission.finish(now, (1, 1));
    assert!(!admission.uses("m/a1"));
}

#[test]
fn waiting_prompts_are_bounded() {
    let mut admission = admission();
    let now = ms(20_000);
    for id in 0..2_000 {
        admission.ask(now, 1, prompt(id, 70 * TOKENS_PER_MS, 0));
    }
    assert!(admission.admit(now).len() >= 2_000 - 256);
    assert!(admission.backlog() <= Duration::from_millis(257 * 70));
}

/// Callers state the length of their prompts; it may be 0 or absurd.
#[test]
fn absurd_lengths_do_no_harm() {
    let mut admission = PrefillAdmission::default();
    for id in 0..50 {
        admission.ask(ms(id * 10), 1, prompt(id, 0, 0));
        assert_eq!(admission.admit(ms(id * 10)).len(), 1);
        admission.finish(ms(id * 10 + 9), (1, id));
    }
    let now = ms(20_000);
    for id in 100..110 {
        admission.ask(now, 1, prompt(id, u32::MAX, 0));
    }
    assert_eq!(admission.admit(now), [(1, 100)]);
    assert!(admission.backlog() > Duration::from_secs(60));
    assert_eq!(admission.admit(ms(21_000)).len(), 9);
}
