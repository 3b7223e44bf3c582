//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case, in the order received.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, v)| v.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length").and_then(|v| v.parse().ok())
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|w| w.parse().ok()).unwrap_or(0)
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Peer {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads a head, or returns `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads exactly `length` bytes of a body.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a whole answer with a length or in chunks.
    pub fn answer(&mut self) -> io::Result<Option<(Head, Vec<u8>)>> {
        let Some(head) = self.head()? else {
            return Ok(None);
        };
        if let Some(length) = head.length() {
            let body = self.body(length)?;
            return Ok(Some((head, body)));
        }
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(self.line()?.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.body(size)?);
            self.body(2)?;
            if size == 0 {
                return Ok(Some((head, body)));
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
    Head {
        first,
        headers: headers.collect(),
    }
}
