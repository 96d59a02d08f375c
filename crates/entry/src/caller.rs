//! Authentication of callers and parsing of request headers.

use std::sync::Arc;
use std::time::Duration;

use decision::ids::Priority;
use decision::problem::Code;
use decision::problem::Problem;
use decision::problem::Ran;
use objects::Workspace;
use subtle::ConstantTimeEq;
use viz::header::AUTHORIZATION;
use viz::header::HeaderMap;

use crate::shared::ConfigIndex;

/// Maximum length of a request identifier, idempotency key or conversation identifier.
const MAX_KEY_BYTES: usize = 128;

/// An authenticated caller and the options in its headers.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: Arc<Workspace>,
    pub(crate) request_id: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) conversation: Option<String>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) priority: Option<Priority>,
}

impl Caller {
    /// Authenticates the caller and parses its headers.
    ///
    /// # Errors
    ///
    /// Fails if the workspace or its API key is missing or wrong, or if a header is malformed.
    pub(crate) fn from_headers(
        config_index: &ConfigIndex,
        headers: &HeaderMap,
    ) -> Result<Caller, Problem> {
        let workspace = authenticate(config_index, headers).ok_or_else(|| {
            let message = "the API key or the workspace is missing or wrong";
            Problem::not_run(Code::Unauthorized, message)
        })?;
        Ok(Caller {
            workspace,
            request_id: key_header(headers, "x-request-id")?,
            idempotency_key: key_header(headers, "idempotency-key")?,
            conversation: key_header(headers, "x-conversation-id")?,
            deadline: deadline_header(headers)?,
            priority: priority_header(headers)?,
        })
    }
}

/// Returns the caller's workspace.
///
/// A workspace with an API key is identified by the key alone or by name and key, one without a key
/// by its name. The error for a wrong key does not reveal whether the workspace exists.
fn authenticate(config_index: &ConfigIndex, headers: &HeaderMap) -> Option<Arc<Workspace>> {
    let bearer = header_text(headers, AUTHORIZATION.as_str()).and_then(|value| {
        let (scheme, token) = value.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case("bearer")
            .then_some(token.trim())
    });
    let digest = bearer.map(key_digest);
    let Some(name) = header_text(headers, "x-workspace") else {
        return config_index.workspaces_by_key.get(&*digest?).cloned();
    };
    let workspace = &config_index.routes.workspace(name)?.workspace;
    let key_matches = match (&workspace.secret, &digest) {
        (None, _) => true,
        (Some(secret), Some(digest)) => bool::from(secret.as_bytes().ct_eq(digest.as_bytes())),
        (Some(_), None) => false,
    };
    key_matches.then(|| workspace.clone())
}

/// Returns the digest of an API key, as stored in the `secret` field of a workspace.
pub fn key_digest(key: &str) -> String {
    audit::digest(key.as_bytes())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header used as a key: 1 to [`MAX_KEY_BYTES`] printable ASCII characters without spaces
/// and `/`.
fn key_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let valid = |text: &&str| {
        let fits = (1..=MAX_KEY_BYTES).contains(&text.len());
        fits && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/')
    };
    match value.to_str().ok().filter(valid) {
        Some(text) => Ok(Some(text.to_owned())),
        None => Err(malformed(&format!(
            "header {name} must have 1 to {MAX_KEY_BYTES} printable characters without spaces and `/`"
        ))),
    }
}

fn deadline_header(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    let ms = value.to_str().ok().and_then(|text| text.parse().ok());
    match ms {
        Some(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => Err(malformed("header x-deadline-ms must be a number above 0")),
    }
}

fn priority_header(headers: &HeaderMap) -> Result<Option<Priority>, Problem> {
    let Some(value) = headers.get("x-priority") else {
        return Ok(None);
    };
    match value.as_bytes() {
        b"interactive" => Ok(Some(Priority::Interactive)),
        b"booking" => Ok(Some(Priority::Booking)),
        b"overnight" => Ok(Some(Priority::Overnight)),
        _ => Err(malformed(
            "header x-priority must be interactive, booking or overnight",
        )),
    }
}

/// Returns the error for a malformed request.
pub(crate) fn malformed(message: &str) -> Problem {
    Problem::new(Code::InvalidRequest, Ran::No, message)
}
