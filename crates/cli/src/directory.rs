//! An operator's directory: the object files and the record of their last publication.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use decision::ids::Head;
use objects::LoadedSet;
use serde::Deserialize;
use serde::Serialize;

use crate::report::Exit;
use crate::report::Report;

/// Name of the file that stores the [`Base`] of a directory.
pub const BASE_FILE: &str = ".published";

/// Generation that the files of a directory are based on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Head after the last publication from this directory.
    #[serde(flatten)]
    pub head: Head,
    /// Manifest digest of the directory's own set. It differs from the head's digest if a rebase
    /// merged in objects that the directory does not have.
    #[serde(rename = "own")]
    pub own_digest: String,
}

impl Base {
    /// Returns the base of a directory whose files match the set of `head`.
    pub fn from_head(head: Head) -> Base {
        let own_digest = head.digest.clone();
        Base { head, own_digest }
    }
}

/// Reads and validates all `*.toml` files directly in `dir`; hidden files are ignored.
///
/// # Errors
///
/// Returns a report if `dir` cannot be read or has no such file. An empty directory is refused
/// because publishing it would remove all objects.
pub fn load(dir: &Path) -> Result<LoadedSet, Report> {
    let files = read_files(dir).map_err(|(path, error)| {
        let message = format!("read {}: {error}; check the path", path.display());
        Report::error(Exit::Usage, message)
    })?;
    if files.is_empty() {
        let hint = "name the directory with the object files";
        let message = format!("{}: there is no `*.toml` file; {hint}", dir.display());
        return Err(Report::error(Exit::Usage, message));
    }
    let files = files.iter().map(|(name, text)| (&**name, &**text));
    Ok(objects::load(files))
}

type ReadError = (PathBuf, io::Error);

fn read_files(dir: &Path) -> Result<Vec<(String, String)>, ReadError> {
    let with_path = |path: &Path| {
        let path = path.to_owned();
        move |error| (path, error)
    };
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(with_path(dir))? {
        let path = entry.map_err(with_path(dir))?.path();
        let hidden = path
            .file_name()
            .is_some_and(|name| name.as_encoded_bytes()[0] == b'.');
        if !hidden
            && path
                .extension()
                .is_some_and(|extension| extension == "toml")
        {
            paths.push(path);
        }
    }
    paths.sort();
    let mut files = Vec::with_capacity(paths.len());
    for path in paths {
        let text = fs::read_to_string(&path).map_err(with_path(&path))?;
        files.push((path.display().to_string(), text));
    }
    Ok(files)
}

/// Reads the base of a directory. A directory without a [`BASE_FILE`] is based on no generation.
///
/// # Errors
///
/// Returns a report if the file cannot be read or parsed.
pub fn read_base(dir: &Path) -> Result<Base, Report> {
    let path = dir.join(BASE_FILE);
    let unusable = |error: &dyn std::fmt::Display| {
        let fix = "restore the file, or pass `--base GENERATION`";
        let message = format!("read {}: {error}; {fix}", path.display());
        Report::error(Exit::Usage, message)
    };
    match fs::read_to_string(&path) {
        Ok(text) => toml::from_str(&text).map_err(|error| unusable(&error)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Base::default()),
        Err(error) => Err(unusable(&error)),
    }
}

/// Atomically replaces the [`BASE_FILE`] of a directory.
///
/// # Errors
///
/// Fails if the directory cannot be written.
pub fn write_base(dir: &Path, base: &Base) -> io::Result<()> {
    let text = toml::to_string(base).map_err(io::Error::other)?;
    let temporary = dir.join(format!("{BASE_FILE}.new"));
    fs::write(&temporary, text)?;
    fs::rename(&temporary, dir.join(BASE_FILE))
}
