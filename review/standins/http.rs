//! HTTP/1.1 over blocking sockets, one thread a connection: as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A connection with what was read of it beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The head of a message, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Method, target and version, or version, status and reason.
    pub first: Vec<String>,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns a value of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| decode(value))
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            let found = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n");
            if let Some(found) = found {
                break found + 4;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(broken("cut head"))
                };
            }
        };
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines
            .next()
            .unwrap_or("")
            .splitn(3, ' ')
            .map(str::to_owned)
            .collect();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields =
            fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some(Head {
            first,
            fields: fields.collect(),
        }))
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(broken("cut body"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(broken("cut line"));
            }
        }
    }

    /// Reads the next part of a body in chunks; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk"))?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(None);
        }
        let data = self.exactly(size)?;
        self.exactly(2)?;
        Ok(Some(data))
    }

    /// Reads a body that has a length or comes in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head
            .get("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
        {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = head
            .get("content-length")
            .and_then(|value| value.parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads and drops everything until the peer closes.
    pub fn swallow(&mut self) {
        let _ = self.stream.set_read_timeout(None);
        while matches!(self.fill(), Ok(true)) {
            self.buffer.clear();
        }
    }
}

/// Returns a whole message with this body.
pub fn answer(status: u16, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let reason = if status < 300 { "OK" } else { "Other" };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// An answer as a client sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(addr: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Answer> {
    let deadline = Instant::now() + timeout;
    let mut conn = Conn::open(addr, Duration::from_secs(1))?;
    conn.stream.set_read_timeout(Some(timeout))?;
    conn.stream.set_write_timeout(Some(timeout))?;
    conn.send(request)?;
    let head = conn
        .read_head()?
        .ok_or_else(|| broken("closed without an answer"))?;
    if Instant::now() > deadline {
        return Err(broken("late"));
    }
    let body = conn.read_body(&head)?;
    Ok(Answer { head, body })
}

/// Calls `serve` with each connection in a thread of its own, until the returned flag is set.
pub fn listen(
    addr: SocketAddr,
    serve: impl Fn(Conn) + Send + Sync + 'static,
) -> io::Result<Arc<AtomicBool>> {
    let listener = TcpListener::bind(addr)?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let serve = serve.clone();
            std::thread::spawn(move || serve(Conn::new(stream)));
        }
    });
    Ok(stop)
}
