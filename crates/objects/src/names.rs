//! The forms of names, locators and digests.

const NAME_MAX: usize = 128;
const VERSION_MAX: usize = 64;
const LOCATOR_MAX: usize = 1024;

const NAME_FORM: &str = "1 to 128 characters of a-z, 0-9, `-`, `_` and `.`";
const VERSION_FORM: &str = "1 to 64 characters of a-z, 0-9, `-`, `_` and `.`";
const FULL_VERSION_FORM: &str = "`adapter@version`";
const LOCATOR_FORM: &str = "1 to 1024 visible ASCII characters";
const DIGEST_FORM: &str = "`sha256:` and 64 hex digits in lower case";

/// Checks an object's name; the error is the expected form.
pub fn check_name(text: &str) -> Result<(), &'static str> {
    check(is_word(text, NAME_MAX), NAME_FORM)
}

/// Checks the version part of a full version name; the error is the expected form.
pub fn check_version_label(text: &str) -> Result<(), &'static str> {
    check(is_word(text, VERSION_MAX), VERSION_FORM)
}

/// Checks a full version name, `adapter@version`; the error is the expected form.
pub fn check_full_version(text: &str) -> Result<(), &'static str> {
    let parts = text.split_once('@');
    let valid = parts.is_some_and(|(adapter, version)| {
        is_word(adapter, NAME_MAX) && is_word(version, VERSION_MAX)
    });
    check(valid, FULL_VERSION_FORM)
}

/// Checks an identifier of another system; the error is the expected form.
pub fn check_locator(text: &str) -> Result<(), &'static str> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    check(
        visible && (1..=LOCATOR_MAX).contains(&text.len()),
        LOCATOR_FORM,
    )
}

/// Checks a digest; the error is the expected form.
pub fn check_digest(text: &str) -> Result<(), &'static str> {
    let hex = text.strip_prefix("sha256:").unwrap_or_default();
    let digits = hex
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    check(digits && hex.len() == 64, DIGEST_FORM)
}

fn is_word(text: &str, max: usize) -> bool {
    let allowed = |byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    (1..=max).contains(&text.len()) && text.bytes().all(allowed)
}

fn check(valid: bool, form: &'static str) -> Result<(), &'static str> {
    if valid { Ok(()) } else { Err(form) }
}
