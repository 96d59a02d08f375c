//! What a command prints and how it exits.

use std::fmt::Display;

use objects::Finding;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// The exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Exit {
    /// The command did what it was asked for.
    Done,
    /// The objects have errors, or the command was refused.
    Refused,
    /// The arguments, the settings or the directory cannot be used.
    Usage,
    /// The table or the object store does not answer.
    Unreachable,
    /// Another publisher was first.
    Conflict,
}

impl Exit {
    /// Returns the exit code of the process.
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

/// The end of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The exit code.
    pub exit: Exit,
    /// The lines for the standard output.
    pub lines: Vec<String>,
    /// The lines for the standard error.
    pub errors: Vec<String>,
}

impl Report {
    /// Returns a report of success with this text.
    pub fn text(text: impl Into<String>) -> Report {
        Report {
            exit: Exit::Done,
            lines: vec![text.into()],
            errors: Vec::new(),
        }
    }

    /// Returns a report of failure with this message.
    pub fn error(exit: Exit, message: impl Display) -> Report {
        Report {
            exit,
            lines: Vec::new(),
            errors: vec![format!("error: {message}")],
        }
    }

    /// Returns the report of `findings`, which name their own severity, on the standard error.
    pub fn findings(exit: Exit, findings: &[Finding]) -> Report {
        Report {
            exit,
            lines: Vec::new(),
            errors: findings.iter().map(ToString::to_string).collect(),
        }
    }

    /// With `json`, replaces the lines for both outputs by one document: `fields` with the exit
    /// code and the messages.
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
