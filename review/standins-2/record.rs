//! The record of a play, and its result.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// The result of a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

impl Verdict {
    /// Returns `Broken` if the condition holds, and `Held` otherwise.
    pub fn broken_if(broken: bool) -> Verdict {
        if broken { Verdict::Broken } else { Verdict::Held }
    }

    pub fn code(self) -> i32 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::NotRun => 2,
        }
    }

    pub fn text(self) -> &'static str {
        match self {
            Verdict::Held => "the rule held",
            Verdict::Broken => "the rule was broken",
            Verdict::NotRun => "not run",
        }
    }
}

/// The file that a play is recorded in, with the seconds since its start before each line.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            file: Mutex::new(file),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

}
