//! The check of an engine's response before any of it is passed on.

use agent::check::ResponseCheck;
use decision::job::Failure;

const SSE: &str = "text/event-stream; charset=utf-8";

fn event(model: &str, text: &str) -> String {
    format!(
        "data: {{\"id\":\"1\",\"model\":\"{model}\",\"choices\":[{{\"text\":\"{text}\"}}]}}\n\n"
    )
}

/// Feeds the body in chunks of `size` bytes. Returns the data that was passed on and the result.
fn check(content_type: &str, body: &str, size: usize) -> (String, Result<(), Failure>) {
    let mut check = ResponseCheck::new("a@1".into(), content_type);
    let mut passed = String::new();
    let mut feed = || {
        for chunk in body.as_bytes().chunks(size) {
            if let Some(data) = check.feed(chunk)? {
                passed.push_str(std::str::from_utf8(&data).unwrap());
            }
        }
        if let Some(data) = check.finish()? {
            passed.push_str(std::str::from_utf8(&data).unwrap());
        }
        Ok(())
    };
    let result = feed();
    (passed, result)
}

fn wrong_adapter(name: &str) -> Result<(), Failure> {
    Err(Failure::WrongAdapter(name.to_owned()))
}

/// Guards against a response that is altered by the check, in particular where chunks split an event.
#[test]
fn complete_responses_pass_unchanged() {
    let stream = format!(
        ": hello\r\n\r\n{}{}: ping\n\n{}data: [DONE]\n\n",
        event("a@1", "x"),
        event("a@1", "\\\"model\\\":\\\"b@1\\\""),
        event("a@1", "y").replace('\n', "\r\n"),
    );
    let document = "{\"choices\": [{\"model\": \"b@1\"}], \"model\": \"a@1\"}".to_owned();
    for (content_type, body) in [(SSE, stream), ("application/json", document)] {
        for size in [1, 2, 3, 7, 64, 10_000] {
            assert_eq!(
                check(content_type, &body, size),
                (body.clone(), Ok(())),
                "{size}"
            );
        }
    }
}

/// Guards against passing on any part of a response that names another adapter or none.
#[test]
fn wrong_adapter_is_not_passed_on() {
    let cases = [
        ("application/json", "{\"model\":\"a@2\"}".to_owned(), "a@2"),
        ("application/json", "{\"choices\":[]}".to_owned(), ""),
        ("application/json", "{\"model\":7}".to_owned(), ""),
        ("text/html", "{\"model\":\"a@1 \"}".to_owned(), "a@1 "),
        (SSE, format!(": x\n\n{}", event("A@1", "x")), "A@1"),
        (SSE, "data: {\"choices\":[]}\n\n".to_owned(), ""),
        (SSE, "data: [DONE]\n\n".to_owned(), ""),
        (
            SSE,
            "data: {\"model\":\"a@1\",\ndata: \"model\":\"b@1\"}\n\n".to_owned(),
            "",
        ),
    ];
    for (content_type, body, name) in cases {
        for size in [1, 10_000] {
            assert_eq!(
                check(content_type, &body, size),
                (String::new(), wrong_adapter(name)),
                "{body}"
            );
        }
    }
}

/// Guards against an engine that switches to another adapter in the middle of a stream.
#[test]
fn later_events_are_checked() {
    let good = event("a@1", "x");
    let body = format!("{good}{}data: [DONE]\n\n", event("b@1", "y"));
    assert_eq!(check(SSE, &body, 1), (good, wrong_adapter("b@1")));
}

/// Guards against a truncated response that counts as complete.
#[test]
fn truncated_responses_fail() {
    let stream = format!("{}data: [DONE]\n\n", event("a@1", "x"));
    let document = "{\"model\":\"a@1\",\"choices\":[]}";
    for cut in 0..stream.len() - 1 {
        let (_, result) = check(SSE, &stream[..cut], 5);
        assert_eq!(result, Err(Failure::Truncated), "stream cut at {cut}");
    }
    for cut in 0..document.len() {
        let (passed, result) = check("application/json", &document[..cut], 5);
        let expected = (String::new(), Err(Failure::Truncated));
        assert_eq!((passed, result), expected, "document cut at {cut}");
    }
}

/// Guards against an error event of the engine that is reported as the response of another adapter.
#[test]
fn error_event_is_reported() {
    let body = "data: {\"error\":{\"message\":\"out of memory\"}}\n\n";
    let (passed, result) = check(SSE, body, 10_000);
    assert_eq!(passed, "");
    assert!(
        matches!(result, Err(Failure::Status { status: 500, message }) if message.contains("memory"))
    );
}
