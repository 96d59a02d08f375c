//! Requests to stand-ins and their answers, as tests and load generators need them.

use decision::ids::Priority;
use edges::EdgeResult;
use edges::engine::Answer;
use edges::engine::LoadOrder;
use edges::engine::Submission;
use futures::StreamExt;
use serde_json::json;

use crate::weights::digest_of;

/// Returns a chat request for `tokens` tokens of the adapter or model `model`.
pub fn chat(request: &str, model: &str, tokens: u32, stream: bool) -> Submission {
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
pub fn booking(request: &str) -> Submission {
    Submission {
        path: "/book".to_owned(),
        body: json!({"room": request}).to_string().into(),
        priority: Priority::Booking,
        request: request.to_owned(),
    }
}

/// Returns an order to load the weights at `w/{name}`, which the weight stand-in has.
pub fn load_order(name: &str, fencing: u64) -> LoadOrder {
    let locator = format!("w/{name}");
    let digest = digest_of(&locator).into();
    LoadOrder {
        name: name.into(),
        weights: locator.into(),
        digest,
        fencing,
    }
}

/// Reads an answer to its end; returns the body so far and how it ended.
pub async fn read(answer: Answer) -> (String, EdgeResult<()>) {
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
