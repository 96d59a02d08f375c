//! The little of HTTP/1.1 that the stand-ins speak.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The stack of the thread that serves a connection.
const STACK_BYTES: usize = 256 << 10;

/// A message: its first line, its headers with names in lowercase, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }


    /// Returns the path of a request, with its query.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], code.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection, with the bytes that were read and not used.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> std::io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Conn::new(stream))
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(std::io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some(Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    fn read_exact(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> std::io::Result<String> {
        let end = loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line = self.read_exact(end + 2)?;
        Ok(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    /// Reads a whole message, in chunks or with a length.
    pub fn read_message(&mut self) -> std::io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let chunked = message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if !chunked {
            let length = message.header("content-length").and_then(|value| value.parse().ok());
            message.body = self.read_exact(length.unwrap_or(0))?;
            return Ok(Some(message));
        }
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let data = self.read_exact(size + 2)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&data[..size]);
        }
    }

    /// Sends a request and reads its response.
    pub fn call(&mut self, request: &[u8]) -> std::io::Result<Message> {
        self.stream.write_all(request)?;
        let reply = self.read_message()?;
        reply.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    }
}

/// Encodes a response with a body.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// Serves each connection of a listener in a thread, until the process ends.
pub fn serve<F>(addr: &str, handle: F) -> std::io::Result<SocketAddr>
where
    F: Fn(&mut Conn) -> std::io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let serve = move || {
                let mut conn = Conn::new(stream);
                let _ = handle(&mut conn);
            };
            // Without a thread the connection is closed.
            let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(serve);
        }
    });
    Ok(addr)
}
