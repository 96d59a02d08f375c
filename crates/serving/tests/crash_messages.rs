//! Guards against messages about crashes that are taken for others, or that close the connection to
//! an entry or agent of the release before.

use serving::crash_reports::BrokenAttempt;
use serving::link::FromAgent;
use serving::link::RunnerState;
use serving::link::ToAgent;
use serving::quarantine::Crash;
use serving::request::PartId;

const LARGEST: PartId = PartId(u64::MAX);

fn crash() -> Crash {
    Crash {
        runner: "i-1".into(),
        born: 7,
        begun: true,
        requests: vec![vec![PartId(1), LARGEST]],
        served: vec![PartId(1)],
        whole: Vec::new(),
    }
}

#[test]
fn messages_of_agents_are_told_apart() {
    let update = RunnerState::default().update_since(None);
    let messages = [
        FromAgent::Crash { crash: crash() },
        FromAgent::Served {
            served: vec![LARGEST],
        },
        FromAgent::Admitted { prompts: vec![3] },
        FromAgent::Update(Box::new(update)),
    ];
    for message in messages {
        let line = serde_json::to_string(&message).expect("a message can be encoded");
        let decoded: FromAgent = serde_json::from_str(&line).expect("it can be decoded");
        assert_eq!(decoded, message, "{line}");
    }
}

#[test]
fn messages_of_entries_are_decoded() {
    let attempt = BrokenAttempt {
        runner: "i-1".into(),
        born: 7,
        begun: false,
        parts: vec![PartId(1), LARGEST],
        served: Vec::new(),
        whole: None,
    };
    let messages = [
        ToAgent::Broken(attempt),
        ToAgent::Vouch {
            born: 7,
            parts: vec![LARGEST],
        },
        ToAgent::Served(vec![PartId(1)]),
    ];
    for message in messages {
        let line = serde_json::to_string(&message).expect("a message can be encoded");
        let decoded: ToAgent = serde_json::from_str(&line).expect("it can be decoded");
        assert_eq!(decoded, message, "{line}");
    }
}

#[test]
fn entry_of_the_release_before_hears_of_no_crashes() {
    let line = r#"{"hello":{"runner":"i-1","born":7,"capacity":{"w":1.0,"s":2,"m":[]}}}"#;
    let hello: ToAgent = serde_json::from_str(line).expect("it can be decoded");
    assert!(
        matches!(hello, ToAgent::Hello { crashes: false, .. }),
        "{hello:?}"
    );
}

#[test]
fn agent_of_the_release_before_gets_no_reports() {
    let line = r#"{"b":7,"u":true,"r":0,"q":0,"f":0,"e":1,"w":true,"x":true}"#;
    let update: FromAgent = serde_json::from_str(line).expect("it can be decoded");
    let FromAgent::Update(update) = update else {
        panic!("{update:?} is no update");
    };
    assert!(update.admits && !update.crashes);
    assert!(RunnerState::default().update_since(None).crashes);
}
