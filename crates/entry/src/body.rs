//! Parsing of request bodies and replacement of the model name.

use std::borrow::Cow;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use decision::hash::combine;
use decision::hash::hash_bytes;
use decision::hash::hash_text;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

/// Length of the prompt prefix that is hashed for cache affinity.
const PREFIX_BYTES: usize = 512;

#[derive(Deserialize)]
struct RawFields<'a> {
    #[serde(borrow)]
    model: &'a RawValue,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

/// The fields of a request body that the entry uses.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestBody<'a> {
    /// Model that the caller requests, with JSON escapes decoded.
    pub model: Cow<'a, str>,
    /// Whether the caller requests a stream; `false` if the field is missing.
    pub stream: bool,
    /// Byte offsets of the start and the end of the model's JSON string in the body.
    model_span: (usize, usize),
    /// Hash of the prompt's first [`PREFIX_BYTES`].
    prompt_hash: u64,
}

impl<'a> RequestBody<'a> {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Fails with a message for the caller if the body is not a JSON object with a string `model`.
    pub fn parse(body: &'a [u8]) -> Result<RequestBody<'a>, String> {
        let fields: RawFields<'a> =
            serde_json::from_slice(body).map_err(|err| format!("the body is not valid: {err}"))?;
        let raw = fields.model.get();
        let model = match serde_json::from_str::<&str>(raw) {
            Ok(model) => Cow::Borrowed(model),
            Err(_) => match serde_json::from_str(raw) {
                Ok(Value::String(model)) => Cow::Owned(model),
                _ => return Err("`model` must be a string".to_owned()),
            },
        };
        let start = raw.as_ptr() as usize - body.as_ptr() as usize;
        let prompt = fields.messages.or(fields.prompt).map_or("", RawValue::get);
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        Ok(RequestBody {
            model,
            stream: fields.stream.unwrap_or(false),
            model_span: (start, start + raw.len()),
            prompt_hash: hash_bytes(prefix),
        })
    }

    /// Returns the hash of the prompt prefix and the name of the model that serves it. Never 0,
    /// which stands for an unknown prefix.
    pub fn prefix_hash(&self, served: &str) -> u64 {
        combine(hash_text(served), self.prompt_hash).max(1)
    }

    /// Returns `body` with the model name replaced by `served` and all other bytes unchanged.
    pub fn with_model(&self, body: &[u8], served: &str) -> Bytes {
        let name = Value::from(served).to_string();
        let (start, end) = self.model_span;
        let mut replaced = BytesMut::with_capacity(body.len() + name.len());
        replaced.put_slice(&body[..start]);
        replaced.put_slice(name.as_bytes());
        replaced.put_slice(&body[end..]);
        replaced.freeze()
    }
}
