//! Who calls, and what the headers ask for.

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

use crate::shared::Directory;

/// The longest identifier, idempotency key or conversation key, in bytes.
const MAX_KEY: usize = 128;

/// What the headers of a request say.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: Arc<Workspace>,
    pub(crate) id: Option<String>,
    pub(crate) key: Option<String>,
    pub(crate) conversation: Option<String>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) priority: Option<Priority>,
}

impl Caller {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// Fails if the API key does not fit, or if a header is malformed.
    pub(crate) fn read(directory: &Directory, headers: &HeaderMap) -> Result<Caller, Problem> {
        let workspace = authenticate(directory, headers).ok_or_else(|| {
            let message = "the API key or the workspace is missing or wrong";
            Problem::not_run(Code::Unauthorized, message)
        })?;
        Ok(Caller {
            workspace,
            id: key_header(headers, "x-request-id")?,
            key: key_header(headers, "idempotency-key")?,
            conversation: key_header(headers, "x-conversation-id")?,
            deadline: deadline_header(headers)?,
            priority: priority_header(headers)?,
        })
    }
}

/// Returns the caller's workspace.
///
/// A workspace with an API key is found by the key alone or by name and key; one without a key is
/// found by name. The answer to a wrong key does not tell whether the workspace exists.
fn authenticate(directory: &Directory, headers: &HeaderMap) -> Option<Arc<Workspace>> {
    let bearer = text(headers, AUTHORIZATION.as_str()).and_then(|value| {
        let (scheme, token) = value.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case("bearer")
            .then_some(token.trim())
    });
    let digest = bearer.map(key_digest);
    let Some(name) = text(headers, "x-workspace") else {
        return directory.secrets.get(&*digest?).cloned();
    };
    let workspace = &directory.table.workspace(name)?.workspace;
    let fits = match (&workspace.secret, &digest) {
        (None, _) => true,
        (Some(secret), Some(digest)) => bool::from(secret.as_bytes().ct_eq(digest.as_bytes())),
        (Some(_), None) => false,
    };
    fits.then(|| workspace.clone())
}

/// Returns the digest of an API key in the form that workspaces declare.
pub fn key_digest(key: &str) -> String {
    audit::digest(key.as_bytes())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header that serves as a key: printable characters without `/`, at most [`MAX_KEY`].
fn key_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let valid = |text: &&str| {
        let fits = (1..=MAX_KEY).contains(&text.len());
        fits && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/')
    };
    match value.to_str().ok().filter(valid) {
        Some(text) => Ok(Some(text.to_owned())),
        None => Err(malformed(&format!(
            "header {name} must have 1 to {MAX_KEY} printable characters without spaces and `/`"
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

/// Returns the problem of a malformed request.
pub(crate) fn malformed(message: &str) -> Problem {
    Problem::new(Code::InvalidRequest, Ran::No, message)
}
