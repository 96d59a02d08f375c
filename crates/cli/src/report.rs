//! Output and exit code of a command.

use std::fmt::Display;

use objects::Finding;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Exit status of a command. Scripts match on the code and on the serialized name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command was refused, or it found errors, differences or no record.
    Refused,
    /// The arguments, the settings or the directory are unusable.
    Usage,
    /// The table service, the object store or a process does not answer.
    Unreachable,
    /// The edits conflict with a generation published by someone else, or are based on one that
    /// the table does not have.
    Conflict,
}

impl Exit {
    /// Returns the exit code for the operating system.
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
            Exit::Conflict => 4,
        }
    }
}

/// Output and exit status of a finished command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Determines the exit code.
    pub exit: Exit,
    /// Lines for standard output.
    pub lines: Vec<String>,
    /// Lines for standard error, errors and warnings alike.
    pub errors: Vec<String>,
}

impl Report {
    /// Returns a successful report that prints `text`.
    pub fn text(text: impl Into<String>) -> Report {
        Report {
            exit: Exit::Done,
            lines: vec![text.into()],
            errors: Vec::new(),
        }
    }

    /// Returns a failed report that prints `message` as an error.
    pub fn error(exit: Exit, message: impl Display) -> Report {
        Report {
            exit,
            lines: Vec::new(),
            errors: vec![format!("error: {message}")],
        }
    }

    /// Returns a report that prints `findings` to standard error. Each finding includes its
    /// severity.
    pub fn findings(exit: Exit, findings: &[Finding]) -> Report {
        Report {
            exit,
            lines: Vec::new(),
            errors: findings.iter().map(ToString::to_string).collect(),
        }
    }

    /// If `json` is set, replaces the output by one JSON document on standard output, made up of
    /// the exit status, the error messages and `fields`.
    pub fn with_json(self, json: bool, fields: Value) -> Report {
        if !json {
            return self;
        }
        let mut document = json!({ "exit": self.exit, "code": self.exit.code() });
        if !self.errors.is_empty() {
            document["messages"] = json!(self.errors);
        }
        if let (Some(document), Value::Object(fields)) = (document.as_object_mut(), fields) {
            document.extend(fields);
        }
        Report {
            exit: self.exit,
            lines: vec![document.to_string()],
            errors: Vec::new(),
        }
    }
}
