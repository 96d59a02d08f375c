//! A stand-in of the platform's store: tables in memory, conditional writes, reads, and the feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Conn, Head};
use crate::json::{Json, base64};

#[derive(Clone)]
struct Row {
    /// Base64; `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
    /// Answers with rows to this many reads of the changes of a table are lost.
    lose: BTreeMap<String, u32>,
    /// Answers given, and those that were lost, since the loss began.
    given: u32,
    lost: u32,
}

pub struct Store {
    pub addr: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store {
            addr,
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let server = store.clone();
        http::listen(addr, move |conn| server.serve(conn)).expect("the store's address is free");
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows
            .insert((table.into(), key.into()), Row { value, ver });
        self.changed.notify_all();
    }

    /// Loses the next `count` answers that tell of changes of a table.
    pub fn lose_answers(&self, table: &str, count: u32) {
        let mut rows = self.rows.lock().unwrap();
        rows.lose.insert(table.into(), count);
        rows.given = 0;
        rows.lost = 0;
    }

    /// Returns the numbers of answers since the loss began, and of those that were lost.
    pub fn answers(&self) -> (u32, u32) {
        let rows = self.rows.lock().unwrap();
        (rows.given + rows.lost, rows.lost)
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            let Some((status, text)) = self.respond(&head, &body) else {
                // A channel on which an answer is lost delivers nothing further.
                conn.swallow();
                return;
            };
            let fields = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "1".to_owned()),
            ];
            if conn
                .send(&http::answer(status, &fields, text.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    /// Returns status and body; `None` if the answer is lost.
    fn respond(&self, head: &Head, body: &[u8]) -> Option<(u16, String)> {
        match head.path() {
            "/-/rows-tx" => Some(self.transact(body)),
            "/-/rows-get" => Some((200, self.read(head))),
            "/-/rows-feed" => self.feed(head),
            _ => Some((404, "{}".into())),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn read(&self, head: &Head) -> String {
        let table = head.query("table").unwrap_or_default();
        let from = head.query("from").unwrap_or_default();
        let to = head.query("to");
        let limit = head
            .query("limit")
            .and_then(|text| text.parse().ok())
            .unwrap_or(500);
        let mut rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((known, key), row)| {
            *known == table
                && *key >= from
                && to.as_ref().is_none_or(|to| key < to)
                && row.value.is_some()
        });
        let found: Vec<String> = found
            .map(|((_, key), row)| shown(&table, key, row))
            .collect();
        let more = found.len() > limit;
        let page = found[..found.len().min(limit)].join(",");
        let (ver, now) = (rows.ver, self.now_ms());
        rows.given += 1;
        format!(r#"{{"rows":[{page}],"has_more":{more},"ver":{ver},"now_ms":{now}}}"#)
    }

    fn feed(&self, head: &Head) -> Option<(u16, String)> {
        let number = |name: &str| {
            head.query(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let table = head.query("table").unwrap_or_default();
        let (after, wait) = (
            number("after"),
            Duration::from_millis(number("wait_ms").min(30_000)),
        );
        let limit = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<(&(String, String), &Row)> = rows
                .rows
                .iter()
                .filter(|((known, _), row)| *known == table && row.ver > after)
                .collect();
            found.sort_by_key(|(_, row)| row.ver);
            let left = limit.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let page: Vec<String> = found
                    .iter()
                    .map(|((_, key), row)| shown(&table, key, row))
                    .collect();
                let page = page.join(",");
                let (ver, now) = (rows.ver, self.now_ms());
                let lose = rows.lose.get(&table).copied().unwrap_or(0);
                if !page.is_empty() && lose > 0 {
                    rows.lose.insert(table, lose - 1);
                    rows.lost += 1;
                    return None;
                }
                rows.given += 1;
                return Some((
                    200,
                    format!(r#"{{"rows":[{page}],"ver":{ver},"now_ms":{now}}}"#),
                ));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".into());
        };
        let place = |entry: &Json| {
            (
                entry.get("table").text().to_owned(),
                entry.get("key").text().to_owned(),
            )
        };
        let mut rows = self.rows.lock().unwrap();
        let now = self.now_ms();
        rows.given += 1;
        for entry in call.get("expected").list() {
            let known = rows
                .rows
                .get(&place(entry))
                .filter(|row| row.value.is_some());
            if entry.get("ver").number() != Some(known.map_or(0, |row| row.ver)) {
                let ver = rows.ver;
                return (412, format!(r#"{{"rows":[],"ver":{ver},"now_ms":{now}}}"#));
            }
        }
        rows.ver += 1;
        let ver = rows.ver;
        for entry in call.get("puts").list() {
            let value = Some(entry.get("value").text().to_owned());
            rows.rows.insert(place(entry), Row { value, ver });
        }
        for entry in call.get("remove").list() {
            rows.rows.insert(place(entry), Row { value: None, ver });
        }
        self.changed.notify_all();
        (200, format!(r#"{{"ver":{ver},"now_ms":{now}}}"#))
    }
}

fn shown(table: &str, key: &str, row: &Row) -> String {
    let ver = row.ver;
    match &row.value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#
        ),
        None => {
            format!(r#"{{"table":"{table}","part":"","key":"{key}","removed":true,"ver":{ver}}}"#)
        }
    }
}
