//! The platform's store: rows in tables, with a feed of changes (PROTOCOL.md, "The platform's metadata store").

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Conn;
use crate::http::Message;

#[derive(Clone)]
struct Row {
    /// `None` once the row is removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Rows {
    tables: BTreeMap<(String, String), Row>,
    ver: u64,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> std::io::Result<Store> {
        let shared = Arc::new(Shared {
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let served = shared.clone();
        let addr = http::serve("127.0.0.1:0", move |conn| serve(&served, conn))?;
        Ok(Store { addr, shared })
    }

    /// Writes a row as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.shared.rows.lock().expect("no panic under the lock");
        rows.put(table, key, Some(base64(value.as_bytes())));
        drop(rows);
        self.shared.changed.notify_all();
    }
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.ver += 1;
        let row = Row {
            value,
            ver: self.ver,
        };
        self.tables.insert((table.to_owned(), key.to_owned()), row);
    }

    fn of<'a>(&'a self, table: &'a str) -> impl Iterator<Item = (&'a str, &'a Row)> {
        let rows = self.tables.iter().filter(move |((known, _), _)| known == table);
        rows.map(|((_, key), row)| (key.as_str(), row))
    }
}

fn serve(shared: &Shared, conn: &mut Conn) -> std::io::Result<()> {
    while let Some(call) = conn.read_message()? {
        let path = call.target().split('?').next().unwrap_or("").to_owned();
        let (status, body) = match path.as_str() {
            "/-/rows-get" => ("200 OK", get(shared, &call)),
            "/-/rows-feed" => ("200 OK", feed(shared, &call)),
            // The system's own rows play no part in these cases; they are accepted.
            "/-/rows-tx" => ("200 OK", "{}".to_owned()),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let headers = [("content-type", "application/json")];
        conn.stream.write_all(&http::response(status, &headers, body.as_bytes()))?;
    }
    Ok(())
}

fn get(shared: &Shared, call: &Message) -> String {
    let table = call.query("table").unwrap_or_default();
    let from = call.query("from").unwrap_or_default();
    let rows = shared.rows.lock().expect("no panic under the lock");
    let found = rows.of(&table).filter(|(key, row)| row.value.is_some() && *key >= from.as_str());
    encode(shared, &rows, found.map(|(key, row)| encode_row(&table, key, row)).collect())
}

fn feed(shared: &Shared, call: &Message) -> String {
    let table = call.query("table").unwrap_or_default();
    let number = |name: &str| call.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let after = number("after");
    let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
    let mut rows = shared.rows.lock().expect("no panic under the lock");
    loop {
        let mut new: Vec<(&str, &Row)> = rows.of(&table).filter(|(_, row)| row.ver > after).collect();
        new.sort_by_key(|(_, row)| row.ver);
        let left = end.saturating_duration_since(Instant::now());
        if !new.is_empty() || left.is_zero() {
            let new = new.iter().map(|(key, row)| encode_row(&table, key, row));
            return encode(shared, &rows, new.collect());
        }
        rows = shared.changed.wait_timeout(rows, left).expect("no panic under the lock").0;
    }
}

fn encode_row(table: &str, key: &str, row: &Row) -> String {
    let content = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{},{content}}}"#, row.ver)
}

fn encode(shared: &Shared, rows: &Rows, encoded: Vec<String>) -> String {
    let now_ms = shared.start.elapsed().as_millis();
    format!(r#"{{"rows":[{}],"has_more":false,"ver":{},"now_ms":{now_ms}}}"#, encoded.join(","), rows.ver)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}
