//! Requests to stand-ins and their answers, as tests and load generators need them.

use std::time::Duration;

use decision::ids::Priority;
use edges::EdgeResult;
use edges::engine::LoadCommand;
use edges::engine::StreamingResponse;
use edges::engine::Submission;
use edges::table::Condition;
use edges::table::Transaction;
use edges::table::Write;
use futures::StreamExt;
use serde_json::json;
use tokio::time::Instant;

use crate::weights::digest_of;

/// The time between two checks of [`wait_until`].
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Returns a chat request for `tokens` tokens of the adapter or model `model`.
pub fn chat_request(request: &str, model: &str, tokens: u32, stream: bool) -> Submission {
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": tokens,
        "stream": stream,
    });
    Submission {
        path: "/v1/chat/completions".to_owned(),
        body: body.to_string().into(),
        priority: Priority::Interactive,
        request: request.to_owned(),
    }
}

/// Returns a call of the booking service.
pub fn booking_request(request: &str) -> Submission {
    Submission {
        path: "/book".to_owned(),
        body: json!({"room": request}).to_string().into(),
        priority: Priority::Booking,
        request: request.to_owned(),
    }
}

/// Returns an order to load the weights at `w/{name}`, which the weight stand-in has.
pub fn load_command(name: &str, fencing: u64) -> LoadCommand {
    let locator = format!("w/{name}");
    let digest = digest_of(&locator).into();
    LoadCommand {
        name: name.into(),
        weights: locator.into(),
        digest,
        fencing,
    }
}

/// Returns a transaction that writes a row which must not exist.
pub fn insert_row(key: &str, value: &str) -> Transaction {
    let condition = Condition {
        key: key.to_owned(),
        version: 0,
    };
    let write = Write {
        key: key.to_owned(),
        value: Some(value.to_owned().into()),
    };
    Transaction {
        conditions: vec![condition],
        writes: vec![write],
    }
}

/// Waits until `check` holds; panics if it does not within `limit`.
pub async fn wait_until(limit: Duration, check: impl Fn() -> bool) {
    let started = Instant::now();
    while !check() {
        assert!(
            started.elapsed() < limit,
            "the condition did not hold within {limit:?}"
        );
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Reads an answer to its end; returns the body so far and how it ended.
pub async fn read_response(answer: StreamingResponse) -> (String, EdgeResult<()>) {
    let mut data = Vec::new();
    let mut body = answer.body;
    let mut end = Ok(());
    while let Some(piece) = body.next().await {
        match piece {
            Ok(piece) => data.extend_from_slice(&piece),
            Err(e) => end = Err(e),
        }
    }
    (String::from_utf8_lossy(&data).into_owned(), end)
}
