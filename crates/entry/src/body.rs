//! The parts of a request body that the entry reads, and the replacement of the model's name.

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

/// The length of the prompt's start that decides on cache affinity, in bytes.
const PREFIX_BYTES: usize = 512;

#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: &'a RawValue,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

/// What the entry reads of a body.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestBody<'a> {
    /// The model that the caller names.
    pub model: Cow<'a, str>,
    /// Whether the caller asks for a stream.
    pub stream: bool,
    /// The start and the end of the model's JSON string in the body.
    span: (usize, usize),
    /// The hash of the prompt's start.
    prefix: u64,
}

impl<'a> RequestBody<'a> {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Fails with a message for the caller if the body is not a JSON object with a string `model`.
    pub fn parse(body: &'a [u8]) -> Result<RequestBody<'a>, String> {
        let fields: Fields<'a> =
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
            span: (start, start + raw.len()),
            prefix: hash_bytes(prefix),
        })
    }

    /// Returns the hash of the prompt's start together with what it runs on; never 0.
    pub fn prefix_hash(&self, served: &str) -> u64 {
        combine(hash_text(served), self.prefix).max(1)
    }

    /// Returns the body with `served` in place of the model's name; all other bytes stay as they
    /// are.
    pub fn with_model(&self, body: &[u8], served: &str) -> Bytes {
        let name = Value::from(served).to_string();
        let (start, end) = self.span;
        let mut renamed = BytesMut::with_capacity(body.len() + name.len());
        renamed.put_slice(&body[..start]);
        renamed.put_slice(name.as_bytes());
        renamed.put_slice(&body[end..]);
        renamed.freeze()
    }
}
