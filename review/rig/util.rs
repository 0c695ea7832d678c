//! JSON, HTTP and small helpers of the stand-ins. Standard library only.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        parse_value(text.as_bytes(), &mut 0)
    }

    pub fn encode(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(value) => value.to_string(),
            Json::Number(value) if value.fract() == 0.0 => format!("{}", *value as i64),
            Json::Number(value) => value.to_string(),
            Json::Text(text) => format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\"")),
            Json::List(items) => {
                format!("[{}]", items.iter().map(Json::encode).collect::<Vec<_>>().join(","))
            }
            Json::Map(map) => {
                let fields: Vec<String> = map
                    .iter()
                    .map(|(key, value)| format!("\"{key}\":{}", value.encode()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_blanks(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(bytes, at)? else { return None };
                        skip_blanks(bytes, at);
                        *at += 1;
                        map.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Map(map))
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match *bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => break,
                    b'\\' => {
                        *at += 1;
                        text.push(*bytes.get(*at)?);
                    }
                    other => text.push(other),
                }
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(String::from_utf8_lossy(&text).into_owned()))
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

/// An HTTP message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0_u8; 16_384];
        let count = self.stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Some(())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            self.fill()?;
        }
    }

    fn exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads a head, without its body.
    pub fn head(&mut self) -> Option<Message> {
        let mut message = Message { first_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads one chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
        let chunk = self.exact(size)?;
        self.line()?;
        Some(chunk)
    }

    /// Reads a whole message whose body, if any, has a length.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            message.body = self.exact(length)?;
        }
        Some(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends a whole answer.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }

    /// Says nothing further, until the other side closes the connection.
    pub fn fall_silent(&mut self) {
        let mut chunk = [0_u8; 1024];
        while self.stream.read(&mut chunk).is_ok_and(|count| count > 0) {}
    }
}

/// Serves each connection in a thread of its own, on a free loopback port.
pub fn serve(handle: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || handle(Wire::new(stream)));
        }
    });
    address
}

/// A port that is free on `ip` now.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("bind");
    listener.local_addr().expect("address").port()
}

pub fn connect(address: SocketAddr, timeout: Duration) -> Option<Wire> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    Some(Wire::new(stream))
}

/// Milliseconds since `start`.
pub fn since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
