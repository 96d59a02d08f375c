//! Request and response formats of the OpenAI API.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// The number of tokens generated if a request has no `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

/// The API of a request, which determines the format of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// The fields of a request body that the engine uses.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct RequestBody {
    pub(super) model: String,
    #[serde(default)]
    pub(super) stream: bool,
    max_tokens: Option<u32>,
    #[serde(default)]
    pub(super) marker: String,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Clone, Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl RequestBody {
    pub(super) fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Returns the prompt, or the contents of all messages joined by newlines.
    pub(super) fn text(&self) -> String {
        let contents = self.messages.iter().map(|m| &m.content);
        let texts = contents.chain([&self.prompt]).filter_map(Value::as_str);
        texts.collect::<Vec<_>>().join("\n")
    }
}

/// The parts of a response that do not depend on the token.
pub(super) struct ResponseTemplate {
    api: Api,
    id: String,
    model: String,
    marker: String,
    chunk_prefix: Vec<u8>,
    chunk_suffix: Vec<u8>,
}

impl ResponseTemplate {
    pub(super) fn new(api: Api, id: &str, model: &str, marker: &str) -> ResponseTemplate {
        // Contains no characters that JSON escapes, so it appears unchanged in the event.
        const PLACEHOLDER: &str = "{token}";
        let mut template = ResponseTemplate {
            api,
            id: id.to_owned(),
            model: model.to_owned(),
            marker: marker.to_owned(),
            chunk_prefix: Vec::new(),
            chunk_suffix: Vec::new(),
        };
        let event = template.event(PLACEHOLDER, Value::Null);
        let (before, after) = event
            .split_once(PLACEHOLDER)
            .expect("the event contains the placeholder");
        template.chunk_prefix = before.into();
        template.chunk_suffix = after.into();
        template
    }

    /// Returns the text of token `index`: the marker for index 0, else the index.
    fn token(&self, index: u32) -> String {
        if index == 0 {
            self.marker.clone()
        } else {
            format!(" {index}")
        }
    }

    /// Returns the complete body of a response that is not streamed.
    pub(super) fn full_body(&self, tokens: u32) -> Bytes {
        let text: String = (0..tokens).map(|i| self.token(i)).collect();
        let choice = match self.api {
            Api::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
            Api::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
        };
        let usage =
            json!({"prompt_tokens": 1, "completion_tokens": tokens, "total_tokens": tokens + 1});
        let response = json!({
            "id": self.id,
            "object": if self.api == Api::Chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        });
        response.to_string().into()
    }

    /// Returns the server-sent event of token `index`.
    pub(super) fn chunk(&self, index: u32) -> Bytes {
        if index == 0 {
            return self.event(&self.marker, Value::Null).into();
        }
        let mut event = Vec::with_capacity(self.chunk_prefix.len() + self.chunk_suffix.len() + 8);
        event.extend_from_slice(&self.chunk_prefix);
        event.extend_from_slice(format!(" {index}").as_bytes());
        event.extend_from_slice(&self.chunk_suffix);
        event.into()
    }

    /// Returns the events after the last token: the finish reason and `[DONE]`.
    pub(super) fn final_chunk(&self) -> Bytes {
        let mut event = self.event("", json!("length"));
        event.push_str("data: [DONE]\n\n");
        event.into()
    }

    fn event(&self, text: &str, finish: Value) -> String {
        let choice = match self.api {
            Api::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
            Api::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.api {
            Api::Chat => "chat.completion.chunk",
            Api::Text => "text_completion",
        };
        let event = json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        });
        format!("data: {event}\n\n")
    }
}
