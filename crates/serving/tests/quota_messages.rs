//! Guards against messages about tokens that are taken for others, or that close the connection to an entry or
//! agent of the release before.

use serving::link::FromAgent;
use serving::link::MembershipAsk;
use serving::link::RunnerState;
use serving::link::ToAgent;
use serving::link::TokenAsk;

fn ask() -> TokenAsk {
    TokenAsk {
        tenant: "t".into(),
        id: 3,
        version: 7,
        rate: 29_000.0,
        burst: 0.5,
        want: 900,
        least: 200,
        spent: 100,
        moved: true,
        membership: Some(MembershipAsk {
            holder: u64::MAX,
            entries: 31,
            stamp: 5_001,
            term_ms: 1_000,
        }),
    }
}

#[test]
fn ask_is_decoded() {
    let small = TokenAsk {
        least: 0,
        spent: 0,
        moved: false,
        membership: None,
        ..ask()
    };
    for ask in [ask(), small] {
        let message = ToAgent::Tokens(ask);
        let line = serde_json::to_string(&message).expect("a message can be encoded");
        let decoded: ToAgent = serde_json::from_str(&line).expect("it can be decoded");
        assert_eq!(decoded, message, "{line}");
    }
}

#[test]
fn short_ask_is_decoded() {
    let line = r#"{"tokens":{"tenant":"t","id":1,"version":7,"rate":5.0,"burst":5.0,"want":2}}"#;
    let decoded: ToAgent = serde_json::from_str(line).expect("it can be decoded");
    let ToAgent::Tokens(ask) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!((ask.least, ask.spent, ask.moved), (0, 0, false));
    assert_eq!(ask.request().membership, None);
}

#[test]
fn answer_is_told_apart() {
    let answer = FromAgent::Tokens {
        tenant: "t".into(),
        id: 3,
        granted: 5,
        wait_ms: 20,
        stamp: 5_001,
    };
    let line = serde_json::to_string(&answer).expect("a message can be encoded");
    let decoded: FromAgent = serde_json::from_str(&line).expect("it can be decoded");
    assert_eq!(decoded, answer, "{line}");
}

#[test]
fn agent_of_the_release_before_is_not_asked() {
    let line = r#"{"b":7,"u":true,"r":0,"q":0,"f":0,"e":1,"w":true,"x":true,"y":true}"#;
    let update: FromAgent = serde_json::from_str(line).expect("it can be decoded");
    assert!(matches!(&update, FromAgent::Update(update) if !update.quotas));
}

#[test]
fn start_of_buckets_is_urgent() {
    let before = RunnerState::default();
    let state = RunnerState {
        quotas: true,
        ..RunnerState::default()
    };
    assert!(!before.update_since(None).quotas);
    assert!(state.update_since(None).quotas);
    assert!(state.update_since(Some(&before)).quotas);
    assert!(state.is_urgent_after(&before) && !state.is_urgent_after(&state));
}
