//! A small deployment: the store, runners, the programs of the deploy file, and the record of a run.
//!
//! The programs run as the deploy file says, with its templates and the figures of the site file
//! `pinecrest-airing.toml`. Everything listens on loopback addresses of this run's own network.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

pub const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const AGENT_PORT: u16 = 7380;
pub const RUNNER_PORT: u16 = 8145;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The network of a run, `127.A.B.0/24`.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    pub fn new() -> Net {
        let id = std::process::id();
        Net((20 + id / 250 % 200) as u8, (id % 250) as u8)
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.0, self.1, host), port).into()
    }
}

/// What was sent, answered and run, in the order in which it happened.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: &str) {
        let ms = self.ms();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {text}");
    }

    /// Adds a line that is also shown.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.add(text);
    }
}

/// A program under test; dropping it kills it.
pub struct Program {
    pub name: String,
    pub child: Child,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Site {
    pub net: Net,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    root: PathBuf,
    folder: PathBuf,
    members: Arc<Mutex<BTreeMap<String, String>>>,
    pub memory_mb: u32,
    pub programs: Vec<Program>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.programs.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    /// Starts the store, and the writes of the runners there.
    pub fn start(record: Arc<Record>) -> Site {
        let net = Net::new();
        let store = Store::start(net.at(1, 8142));
        let root = std::env::current_dir().expect("a working folder");
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let members = Arc::new(Mutex::new(BTreeMap::<String, String>::new()));
        let (known, table) = (members.clone(), store.clone());
        std::thread::spawn(move || {
            for beat in 1_u64.. {
                std::thread::sleep(HEARTBEAT);
                for (id, entry) in known.lock().unwrap().iter() {
                    table.put("servers", id, &entry.replace("SEQUENCE", &beat.to_string()));
                }
            }
        });
        Site {
            net,
            store,
            record,
            root,
            folder,
            members,
            memory_mb: 260,
            programs: Vec::new(),
        }
    }

    pub fn members(&self) -> Arc<Mutex<BTreeMap<String, String>>> {
        self.members.clone()
    }

    fn render(&self, template: &str, values: &[(&str, String)]) -> String {
        let path = self.root.join(template);
        let text = std::fs::read_to_string(&path).expect("the template can be read");
        values.iter().fold(text, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        })
    }

    fn run(&mut self, name: &str, words: [&str; 2], settings: &str) {
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("the settings can be written");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(self.root.join(words[0]))
            .arg(words[1])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/nonexistent")
            .env("LANG", "C.UTF-8")
            .env("DOTTERELWHEEL_CONFIG", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        let child = child.unwrap_or_else(|error| panic!("{} cannot be started: {error}", words[0]));
        self.programs.push(Program {
            name: name.to_owned(),
            child,
        });
    }

    /// Starts an entry and returns the address at which it takes requesters.
    pub fn start_entry(&mut self, host: u8) -> SocketAddr {
        let front = self.net.at(host, FRONT_PORT);
        let ready = self.net.at(host, READY_PORT);
        let values = [
            ("node", format!("front-{host}")),
            ("zone", "se-a".to_owned()),
            ("ip", front.ip().to_string()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("provider.addr", self.store.addr.to_string()),
            ("port_range.0", AGENT_PORT.to_string()),
            ("limits.max_fds", "4100".to_owned()),
            ("limits.memory_mb", self.memory_mb.to_string()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.contact_ms", "3000".to_owned()),
            ("bounds.version_ms", "5000".to_owned()),
            ("bounds.retry_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "56".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
        ];
        let settings = self.render("deploy/entry.toml.in", &values);
        let name = format!("entry-{host}");
        self.run(
            &name,
            ["target/release/dotterelwheel", "gateway"],
            &settings,
        );
        front
    }

    /// Starts the agent beside the runner at this address.
    pub fn start_agent(&mut self, runner: SocketAddr) {
        let values = [
            ("node", format!("side-{}", runner.ip())),
            ("ip", runner.ip().to_string()),
            ("port_range.0", AGENT_PORT.to_string()),
            ("app", runner.to_string()),
        ];
        let settings = self.render("deploy/agent.toml.in", &values);
        let name = format!("agent-{}", runner.ip());
        self.run(
            &name,
            ["target/release/dotterelwheel-agent", "sidecar"],
            &settings,
        );
    }

    /// Waits until all entries say that they are ready; exits with 2 if one does not.
    pub fn wait_ready(&self, entries: &[SocketAddr]) {
        let limit = Instant::now() + Duration::from_secs(15);
        for entry in entries {
            let ready = SocketAddr::new(entry.ip(), READY_PORT);
            let question =
                format!("GET /-/readyz HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n");
            loop {
                let answer = http::call(ready, question.as_bytes(), Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.head.status() == 200) {
                    break;
                }
                if Instant::now() > limit {
                    self.record.say("cannot run: an entry is not ready");
                    self.end(2);
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Returns the programs that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let programs = self.programs.iter_mut();
        let ended = programs.filter_map(|program| {
            let status = program.child.try_wait().ok()??;
            Some(format!("{} ended: {status}", program.name))
        });
        ended.collect()
    }

    /// Ends all programs, and then this process.
    pub fn end(&self, code: i32) -> ! {
        for program in &self.programs {
            // The programs are children of this process.
            let _ = Command::new("kill")
                .args(["-KILL", &program.child.id().to_string()])
                .status();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code)
    }
}

pub fn register(members: &Mutex<BTreeMap<String, String>>, store: &Store, id: &str, entry: String) {
    store.put("servers", id, &entry.replace("SEQUENCE", "0"));
    members.lock().unwrap().insert(id.to_owned(), entry);
}

/// Whether the run has its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
