//! Model runners and plain runners (PROTOCOL.md, "Runners" and "Model placement").

use std::collections::BTreeMap;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Conn;
use crate::http::Message;
use crate::platform::Store;

/// The only model.
pub const MODEL: &str = "m0";
/// The number of its adapters, which are named a1, a2, and so on.
pub const ADAPTERS: u32 = 3_000;
/// The places for adapters at a runner.
const ADAPTER_SLOTS: usize = 17;
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
/// The requests that a model runner takes at once, with those in its queue.
const ENGINE_ROOM: usize = 64 + 192;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a runner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// It answers with success.
    Sound,
    /// It gives no answer before this time, and is sound otherwise.
    SilentUntil(Instant),
}

struct Engine {
    sequence: u64,
    /// The adapters with the times at which they are there.
    adapters: BTreeMap<String, Instant>,
}

struct Shared {
    id: String,
    born: u128,
    is_engine: bool,
    engine: Mutex<Engine>,
    behavior: Mutex<Behavior>,
    /// The identifiers of the requests that ran.
    ran: Mutex<Vec<String>>,
    /// The requests that are there now, and the most there have been.
    present: Mutex<(usize, usize)>,
}

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Runner {
    /// Starts a runner, which registers itself in the store and goes on to do so.
    pub fn start(id: &str, service: &str, is_engine: bool, ip: Ipv4Addr, store: &Store) -> std::io::Result<Runner> {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            born: born.map_or(1, |time| time.as_millis()),
            is_engine,
            engine: Mutex::new(Engine {
                sequence: 0,
                adapters: BTreeMap::new(),
            }),
            behavior: Mutex::new(Behavior::Sound),
            ran: Mutex::default(),
            present: Mutex::default(),
        });
        let served = shared.clone();
        let addr = http::serve(&format!("{ip}:0"), move |conn| served.serve(conn))?;
        let runner = Runner { addr, shared };
        let (registered, service, store) = (runner.clone(), service.to_owned(), store.clone());
        thread::spawn(move || {
            for sequence in 0.. {
                let record = registered.member_record(&service, sequence);
                store.put("servers", &registered.shared.id, &record);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *self.shared.behavior.lock().expect("no panic under the lock") = behavior;
    }

    /// Returns the identifiers of the requests that ran.
    pub fn ran(&self) -> Vec<String> {
        self.shared.ran.lock().expect("no panic under the lock").clone()
    }

    /// Returns the most requests that were there at once.
    pub fn most_present(&self) -> usize {
        self.shared.present.lock().expect("no panic under the lock").1
    }

    fn member_record(&self, service: &str, sequence: u64) -> String {
        let Shared { born, .. } = *self.shared;
        let addr = self.addr;
        let slots = if self.shared.is_engine { 64 } else { 6 };
        let models = self.shared.models();
        format!(
            r#"{{"service":"{service}","addr":"{addr}","zone":"z","version":1,"slots":{slots},"state":"ready","cold_ms":0,"sequence":{sequence},"born":{born}{models}}}"#
        )
    }
}

impl Shared {
    /// Returns the `models` field of a description, after a comma; nothing for a plain runner.
    fn models(&self) -> String {
        if !self.is_engine {
            return String::new();
        }
        let engine = self.engine.lock().expect("no panic under the lock");
        let now = Instant::now();
        let held = engine.adapters.iter().filter(|(_, at)| **at <= now);
        let held: Vec<String> = held.map(|(name, _)| format!(r#""{name}@1""#)).collect();
        format!(r#","models":[{{"name":"{MODEL}","version":1,"adapters":[{}]}}]"#, held.join(","))
    }

    fn report(&self) -> String {
        let models = self.models();
        let engine = self.engine.lock().expect("no panic under the lock");
        let now = Instant::now();
        let coming = engine.adapters.iter().filter(|(_, at)| **at > now);
        let coming: Vec<String> = coming.map(|(name, _)| format!(r#""{MODEL}/{name}@1""#)).collect();
        format!(
            r#"{{"stage":"mixed","state":"ready","busy":false,"born":{},"sequence":{},"queued":0,"running":0,"kv_used":0,"kv_total":265730,"handles":0,"coming":[{}]{models}}}"#,
            self.born,
            engine.sequence,
            coming.join(",")
        )
    }

    fn serve(&self, conn: &mut Conn) -> std::io::Result<()> {
        while let Some(request) = conn.read_message()? {
            let reply = match request.target() {
                "/-/report" => {
                    let headers = [("content-type", "application/json")];
                    http::response("200 OK", &headers, self.report().as_bytes())
                }
                "/-/order" => http::response(self.order(&request), &[], b"{}"),
                _ => self.run(&request),
            };
            conn.stream.write_all(&reply)?;
        }
        Ok(())
    }

    /// Carries out an order, and returns the status of the answer.
    fn order(&self, request: &Message) -> &'static str {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return "421 Misdirected Request";
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let text = |name: &str| json_text(&body, name);
        let mut engine = self.engine.lock().expect("no panic under the lock");
        let expected = json_number(&body, "expected");
        if expected.is_some_and(|expected| expected != engine.sequence) {
            return "409 Conflict";
        }
        let (kind, adapter) = (text("op_type"), text("adapter"));
        let Some(adapter) = adapter else {
            return "200 OK";
        };
        let number = adapter.strip_prefix('a').and_then(|number| number.parse::<u32>().ok());
        if !number.is_some_and(|number| (1..=ADAPTERS).contains(&number)) {
            return "400 Bad Request";
        }
        match kind.as_deref() {
            Some("load") if engine.adapters.contains_key(&adapter) => "200 OK",
            Some("load") if engine.adapters.len() >= ADAPTER_SLOTS => "400 Bad Request",
            Some("load") => {
                engine.adapters.insert(adapter, Instant::now() + ADAPTER_LOAD);
                engine.sequence += 1;
                "202 Accepted"
            }
            Some("unload") => {
                engine.adapters.remove(&adapter);
                engine.sequence += 1;
                "200 OK"
            }
            _ => "400 Bad Request",
        }
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let not_run = [("x-request-id", id.as_str()), ("x-not-run", "1"), ("x-instance-id", &self.id)];
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return http::response("421 Misdirected Request", &not_run, b"");
        }
        if self.is_engine && !self.holds(request.header("x-model").unwrap_or("")) {
            return http::response("421 Misdirected Request", &not_run, b"");
        }
        if !self.enter() {
            return http::response("503 Full", &not_run, b"");
        }
        let reply = self.work(&id);
        self.present.lock().expect("no panic under the lock").0 -= 1;
        reply
    }

    /// Counts a request; returns whether there is room for it.
    fn enter(&self) -> bool {
        let mut present = self.present.lock().expect("no panic under the lock");
        if self.is_engine && present.0 >= ENGINE_ROOM {
            return false;
        }
        present.0 += 1;
        present.1 = present.1.max(present.0);
        true
    }

    fn work(&self, id: &str) -> Vec<u8> {
        thread::sleep(Duration::from_millis(20));
        self.ran.lock().expect("no panic under the lock").push(id.to_owned());
        let behavior = *self.behavior.lock().expect("no panic under the lock");
        if let Behavior::SilentUntil(end) = behavior {
            thread::sleep(end.saturating_duration_since(Instant::now()));
        }
        let seal = format!("1.200.{id}");
        let headers = [("x-request-id", id), ("x-response-seal", &seal), ("x-weight-versions", "1")];
        if !self.is_engine {
            return http::response("200 OK", &headers, format!("ok {id}").as_bytes());
        }
        let events: String = (1..=4).map(|number| format!("id: {number}\ndata: e{number} {id}\n\n")).collect();
        let headers = [headers[0], headers[1], headers[2], ("content-type", "text/event-stream")];
        http::response("200 OK", &headers, events.as_bytes())
    }

    fn holds(&self, model: &str) -> bool {
        let engine = self.engine.lock().expect("no panic under the lock");
        match model.split_once('/') {
            None => model == MODEL,
            Some((model, adapter)) => {
                let at = engine.adapters.get(adapter);
                model == MODEL && at.is_some_and(|at| *at <= Instant::now())
            }
        }
    }
}

fn json_text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}

fn json_number(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
