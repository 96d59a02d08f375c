//! Syntax of names, versions, locators and digests.

const MAX_NAME_BYTES: usize = 128;
const MAX_VERSION_BYTES: usize = 64;
const MAX_LOCATOR_BYTES: usize = 1024;

const NAME_FORMAT: &str = "1 to 128 characters of a-z, 0-9, `-`, `_` and `.`";
const VERSION_FORMAT: &str = "1 to 64 characters of a-z, 0-9, `-`, `_` and `.`";
const FULL_VERSION_FORMAT: &str = "`adapter@version`";
const LOCATOR_FORMAT: &str = "1 to 1024 visible ASCII characters";
const DIGEST_FORMAT: &str = "`sha256:` and 64 hex digits in lower case";

/// Checks the name of an object.
///
/// # Errors
///
/// Returns a description of the expected format.
pub fn check_name(text: &str) -> Result<(), &'static str> {
    require(is_identifier(text, MAX_NAME_BYTES), NAME_FORMAT)
}

/// Checks a version without the adapter's name, such as `v1`.
///
/// # Errors
///
/// Returns a description of the expected format.
pub fn check_version_label(text: &str) -> Result<(), &'static str> {
    require(is_identifier(text, MAX_VERSION_BYTES), VERSION_FORMAT)
}

/// Checks a full version name, `adapter@version`.
///
/// # Errors
///
/// Returns a description of the expected format.
pub fn check_full_version(text: &str) -> Result<(), &'static str> {
    let parts = text.split_once('@');
    let valid = parts.is_some_and(|(adapter, version)| {
        is_identifier(adapter, MAX_NAME_BYTES) && is_identifier(version, MAX_VERSION_BYTES)
    });
    require(valid, FULL_VERSION_FORMAT)
}

/// Checks an identifier that another system assigns, such as a locator in the weight store.
///
/// # Errors
///
/// Returns a description of the expected format.
pub fn check_locator(text: &str) -> Result<(), &'static str> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    require(
        visible && (1..=MAX_LOCATOR_BYTES).contains(&text.len()),
        LOCATOR_FORMAT,
    )
}

/// Checks the text form of a SHA-256 digest.
///
/// # Errors
///
/// Returns a description of the expected format.
pub fn check_digest(text: &str) -> Result<(), &'static str> {
    let hex = text.strip_prefix("sha256:").unwrap_or_default();
    let digits = hex
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    require(digits && hex.len() == 64, DIGEST_FORMAT)
}

fn is_identifier(text: &str, max_bytes: usize) -> bool {
    let allowed = |byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    (1..=max_bytes).contains(&text.len()) && text.bytes().all(allowed)
}

fn require(valid: bool, format: &'static str) -> Result<(), &'static str> {
    if valid { Ok(()) } else { Err(format) }
}
