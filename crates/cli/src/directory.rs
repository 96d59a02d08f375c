//! An operator's directory: the object files and the note of what they were last published as.

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

/// The file in a directory that holds its [`Base`].
pub const BASE_FILE: &str = ".published";

/// What the files of a directory were last published as.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The head after publishing.
    #[serde(flatten)]
    pub head: Head,
    /// The digest of the manifest of the directory's own set. It differs from the head's digest if
    /// a rebase merged in objects that the directory does not have.
    pub own: String,
}

impl Base {
    /// Returns the base of a directory that holds exactly the set of `head`.
    pub fn of(head: Head) -> Base {
        let own = head.digest.clone();
        Base { head, own }
    }
}

/// Reads and validates all `*.toml` files directly in `dir`.
///
/// # Errors
///
/// The report of a directory that cannot be read or has no such file. An empty directory is refused
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

type Failed = (PathBuf, io::Error);

fn read_files(dir: &Path) -> Result<Vec<(String, String)>, Failed> {
    let at = |path: &Path| {
        let path = path.to_owned();
        move |error| (path, error)
    };
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(at(dir))? {
        let path = entry.map_err(at(dir))?.path();
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
        let text = fs::read_to_string(&path).map_err(at(&path))?;
        files.push((path.display().to_string(), text));
    }
    Ok(files)
}

/// Reads the base of a directory; without one, the directory is based on no generation.
///
/// # Errors
///
/// The report of a base file that cannot be used.
pub fn read_base(dir: &Path) -> Result<Base, Report> {
    let path = dir.join(BASE_FILE);
    let fault = |error: &dyn std::fmt::Display| {
        let fix = "restore the file, or pass `--base GENERATION`";
        let message = format!("read {}: {error}; {fix}", path.display());
        Report::error(Exit::Usage, message)
    };
    match fs::read_to_string(&path) {
        Ok(text) => toml::from_str(&text).map_err(|error| fault(&error)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Base::default()),
        Err(error) => Err(fault(&error)),
    }
}

/// Replaces the base of a directory.
pub fn write_base(dir: &Path, base: &Base) -> io::Result<()> {
    let text = toml::to_string(base).map_err(io::Error::other)?;
    let temporary = dir.join(format!("{BASE_FILE}.new"));
    fs::write(&temporary, text)?;
    fs::rename(&temporary, dir.join(BASE_FILE))
}
