//! The OpenAI forms of requests and answers.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// Tokens of an answer whose request names no `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

/// The form of a request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// What the engine reads of a request body.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Body {
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

impl Body {
    pub(super) fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Returns the text of the prompt or of the messages.
    pub(super) fn text(&self) -> String {
        let contents = self.messages.iter().map(|m| &m.content);
        let texts = contents.chain([&self.prompt]).filter_map(Value::as_str);
        texts.collect::<Vec<_>>().join("\n")
    }
}

/// The fixed parts of one answer.
pub(super) struct Template {
    form: Form,
    id: String,
    model: String,
    marker: String,
    before: Vec<u8>,
    after: Vec<u8>,
}

impl Template {
    pub(super) fn new(form: Form, id: &str, model: &str, marker: &str) -> Template {
        // The placeholder has no character that JSON escapes.
        const PLACEHOLDER: &str = "{token}";
        let mut template = Template {
            form,
            id: id.to_owned(),
            model: model.to_owned(),
            marker: marker.to_owned(),
            before: Vec::new(),
            after: Vec::new(),
        };
        let event = template.event(PLACEHOLDER, Value::Null);
        let (before, after) = event
            .split_once(PLACEHOLDER)
            .expect("the event holds its text");
        template.before = before.into();
        template.after = after.into();
        template
    }

    /// Returns the text of token `index`: the marker, then numbers.
    fn token(&self, index: u32) -> String {
        if index == 0 {
            self.marker.clone()
        } else {
            format!(" {index}")
        }
    }

    /// Returns the whole answer.
    pub(super) fn whole(&self, tokens: u32) -> Bytes {
        let text: String = (0..tokens).map(|i| self.token(i)).collect();
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
        };
        let usage =
            json!({"prompt_tokens": 1, "completion_tokens": tokens, "total_tokens": tokens + 1});
        let answer = json!({
            "id": self.id,
            "object": if self.form == Form::Chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        });
        answer.to_string().into()
    }

    /// Returns the event of token `index`.
    pub(super) fn piece(&self, index: u32) -> Bytes {
        if index == 0 {
            return self.event(&self.marker, Value::Null).into();
        }
        let mut event = Vec::with_capacity(self.before.len() + self.after.len() + 8);
        event.extend_from_slice(&self.before);
        event.extend_from_slice(format!(" {index}").as_bytes());
        event.extend_from_slice(&self.after);
        event.into()
    }

    /// Returns the events after the last token.
    pub(super) fn last(&self) -> Bytes {
        let mut event = self.event("", json!("length"));
        event.push_str("data: [DONE]\n\n");
        event.into()
    }

    fn event(&self, text: &str, finish: Value) -> String {
        let choice = match self.form {
            Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
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
