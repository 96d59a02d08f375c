//! Helpers that build requests to the fakes, read responses and wait for conditions.

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

/// Returns a chat request for `tokens` tokens from the adapter or base model `model`.
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

/// Returns a call to [`BookingService`](crate::BookingService).
pub fn booking_request(request: &str) -> Submission {
    Submission {
        path: "/book".to_owned(),
        body: json!({"room": request}).to_string().into(),
        priority: Priority::Booking,
        request: request.to_owned(),
    }
}

/// Returns a command to load the weights at `w/{name}`, with the digest that
/// [`Weights`](crate::Weights) reports for them by default.
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

/// Returns a transaction that writes a row on condition that it does not exist.
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

/// Waits until `check` returns true.
///
/// # Panics
///
/// Panics if the condition does not hold within `limit`.
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

/// Reads a response to its end. Returns the body received, and the error if the body broke off.
pub async fn read_response(response: StreamingResponse) -> (String, EdgeResult<()>) {
    let mut data = Vec::new();
    let mut body = response.body;
    let mut end = Ok(());
    while let Some(chunk) = body.next().await {
        match chunk {
            Ok(chunk) => data.extend_from_slice(&chunk),
            Err(e) => end = Err(e),
        }
    }
    (String::from_utf8_lossy(&data).into_owned(), end)
}
