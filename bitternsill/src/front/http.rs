//! An incremental parser for HTTP/1.1 messages, and the encoder for responses.

use std::fmt;

/// Why a message cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// The message violates the grammar.
    Malformed(&'static str),
    /// The head is longer than the limit.
    HeadTooLarge,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The transfer coding is not chunked.
    UnknownCoding,
    /// The version is not HTTP/1.0 or 1.1.
    Version,
}

impl HttpError {
    /// The status code of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::UnknownCoding => 501,
            HttpError::Version => 505,
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::Malformed(what) => write!(f, "malformed message: {what}"),
            HttpError::HeadTooLarge => f.write_str("the head is too large"),
            HttpError::BodyTooLarge => f.write_str("the body is too large"),
            HttpError::UnknownCoding => f.write_str("unknown transfer coding"),
            HttpError::Version => f.write_str("unknown version"),
        }
    }
}

impl std::error::Error for HttpError {}

/// A start line and headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The first two words of the start line: method and target, or version and status.
    pub start: (String, String),
    /// Whether the version is HTTP/1.0.
    pub is_http10: bool,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header that occurs exactly once. Names are compared case-insensitively.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut all = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        all.next()
            .filter(|_| all.next().is_none())
            .map(|(_, value)| value.as_str())
    }

    fn has_word(&self, name: &str, word: &str) -> bool {
        let lines = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        lines
            .flat_map(|(_, v)| v.split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the connection is kept open after this message.
    pub fn keeps_alive(&self) -> bool {
        !self.has_word("Connection", "close")
            && (!self.is_http10 || self.has_word("Connection", "keep-alive"))
    }

    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.has_word("Expect", "100-continue")
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Head,
    Length(usize),
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailers,
    UntilEnd,
    Done,
}

/// The progress of reading a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// More bytes are needed; the head may be complete already.
    More,
    /// The message is complete.
    Whole,
}

/// Parses consecutive messages from a buffer.
#[derive(Debug)]
pub struct Reader {
    state: State,
    response: bool,
    /// Bytes already searched for the end of the head.
    scanned: usize,
    /// Bytes of the trailers read so far.
    trailer_bytes: usize,
    head_limit: usize,
    body_limit: usize,
    /// The head, once complete.
    pub head: Option<Head>,
    /// The body received so far; the user of a stream may remove bytes as they arrive.
    pub body: Vec<u8>,
}

impl Reader {
    /// Creates a reader for requests.
    pub fn requests(head_limit: usize, body_limit: usize) -> Self {
        Reader {
            state: State::Head,
            response: false,
            scanned: 0,
            trailer_bytes: 0,
            head_limit,
            body_limit,
            head: None,
            body: Vec::new(),
        }
    }

    /// Creates a reader for responses.
    pub fn responses(head_limit: usize, body_limit: usize) -> Self {
        Reader {
            response: true,
            ..Reader::requests(head_limit, body_limit)
        }
    }

    /// Returns the message and resets the reader for the next one.
    pub fn take(&mut self) -> (Head, Vec<u8>) {
        let next = Reader {
            response: self.response,
            ..Reader::requests(self.head_limit, self.body_limit)
        };
        let done = std::mem::replace(self, next);
        (done.head.unwrap_or_default(), done.body)
    }

    /// Whether nothing of the next message has been read.
    pub fn is_fresh(&self) -> bool {
        self.state == State::Head && self.scanned == 0
    }

    /// Whether the message ends when the connection is closed.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilEnd
    }

    /// Parses `input` and removes the parsed bytes from it.
    pub fn read(&mut self, input: &mut Vec<u8>) -> Result<Progress, HttpError> {
        let mut at = 0;
        let result = self.step(input, &mut at);
        input.drain(..at);
        result
    }

    fn step(&mut self, input: &[u8], at: &mut usize) -> Result<Progress, HttpError> {
        loop {
            let rest = &input[*at..];
            match self.state {
                State::Head => {
                    let Some(length) = self.head_length(rest)? else {
                        return Ok(Progress::More);
                    };
                    let head = parse_head(&rest[..length], self.response)?;
                    *at += length;
                    self.scanned = 0;
                    let interim = self.response && head.start.1.starts_with('1');
                    if !interim {
                        self.state = self.framing(&head)?;
                        self.head = Some(head);
                    }
                }
                State::Length(0) | State::Done => {
                    self.state = State::Done;
                    return Ok(Progress::Whole);
                }
                State::Length(left) => {
                    let n = left.min(rest.len());
                    if n == 0 {
                        return Ok(Progress::More);
                    }
                    self.add(&rest[..n])?;
                    *at += n;
                    self.state = State::Length(left - n);
                }
                State::UntilEnd => {
                    self.add(rest)?;
                    *at += rest.len();
                    return Ok(Progress::More);
                }
                State::ChunkSize => {
                    let Some(line) = line(rest, 256)? else {
                        return Ok(Progress::More);
                    };
                    *at += line.len() + 2;
                    let digits = line
                        .split(|b| *b == b';')
                        .next()
                        .unwrap_or_default()
                        .trim_ascii();
                    let size = hex(digits).ok_or(HttpError::Malformed("chunk size"))?;
                    self.state = if size == 0 {
                        State::Trailers
                    } else {
                        State::Chunk(size)
                    };
                }
                State::Chunk(left) => {
                    let n = left.min(rest.len());
                    if n == 0 {
                        return Ok(Progress::More);
                    }
                    self.add(&rest[..n])?;
                    *at += n;
                    self.state = if n == left {
                        State::ChunkEnd
                    } else {
                        State::Chunk(left - n)
                    };
                }
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        *at += 2;
                        self.state = State::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok(Progress::More),
                    _ => return Err(HttpError::Malformed("chunk end")),
                },
                State::Trailers => {
                    let Some(line) = line(rest, self.head_limit)? else {
                        return Ok(Progress::More);
                    };
                    *at += line.len() + 2;
                    self.trailer_bytes += line.len() + 2;
                    if self.trailer_bytes > self.head_limit {
                        return Err(HttpError::HeadTooLarge);
                    }
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    /// The length of the head including its final empty line and any blank lines before the start
    /// line; `None` if the head is incomplete.
    fn head_length(&mut self, rest: &[u8]) -> Result<Option<usize>, HttpError> {
        let from = self.scanned.saturating_sub(3);
        let lead = rest
            .iter()
            .take_while(|b| matches!(b, b'\r' | b'\n'))
            .count();
        let end = rest[from.max(lead).min(rest.len())..]
            .windows(4)
            .position(|w| w == b"\r\n\r\n");
        self.scanned = rest.len();
        match end {
            Some(end) if from.max(lead) + end + 4 <= self.head_limit => {
                Ok(Some(from.max(lead) + end + 4))
            }
            None if rest.len() <= self.head_limit => Ok(None),
            _ => Err(HttpError::HeadTooLarge),
        }
    }

    fn framing(&self, head: &Head) -> Result<State, HttpError> {
        let count = |name: &str| {
            head.headers
                .iter()
                .filter(|(n, _)| n.eq_ignore_ascii_case(name))
                .count()
        };
        if self.response && matches!(head.start.1.as_str(), "204" | "304") {
            return Ok(State::Length(0));
        }
        if count("Transfer-Encoding") > 0 {
            // A message with both headers is rejected, as it can be used for request smuggling.
            if count("Content-Length") > 0 || head.is_http10 {
                return Err(HttpError::Malformed("two framings"));
            }
            return match head.get("Transfer-Encoding") {
                Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(State::ChunkSize),
                _ => Err(HttpError::UnknownCoding),
            };
        }
        match count("Content-Length") {
            0 if self.response => Ok(State::UntilEnd),
            0 => Ok(State::Length(0)),
            1 => {
                let digits = head.get("Content-Length").unwrap_or_default();
                if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(HttpError::Malformed("content length"));
                }
                match digits.parse() {
                    Ok(length) if length <= self.body_limit => Ok(State::Length(length)),
                    _ => Err(HttpError::BodyTooLarge),
                }
            }
            _ => Err(HttpError::Malformed("two content lengths")),
        }
    }

    fn add(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        if self.body.len() + bytes.len() > self.body_limit {
            return Err(HttpError::BodyTooLarge);
        }
        self.body.extend_from_slice(bytes);
        Ok(())
    }
}

/// The bytes before the next line end, if that has arrived.
fn line(rest: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, HttpError> {
    match rest.windows(2).position(|w| w == b"\r\n") {
        Some(end) if end <= max_bytes => Ok(Some(&rest[..end])),
        None if rest.len() <= max_bytes => Ok(None),
        _ => Err(HttpError::Malformed("line too long")),
    }
}

fn hex(digits: &[u8]) -> Option<usize> {
    if digits.is_empty() || digits.len() > 7 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

fn parse_head(bytes: &[u8], response: bool) -> Result<Head, HttpError> {
    let text =
        std::str::from_utf8(bytes).map_err(|_| HttpError::Malformed("bytes that are no text"))?;
    let mut lines = text.trim_start_matches(['\r', '\n']).split("\r\n");
    let first = lines.next().unwrap_or_default();
    let mut words = first.splitn(3, ' ');
    let (a, b, c) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let version = if response { a } else { c };
    let is_http10 = match version {
        "HTTP/1.1" => false,
        "HTTP/1.0" => true,
        v if v.starts_with("HTTP/") => return Err(HttpError::Version),
        _ => return Err(HttpError::Malformed("start line")),
    };
    let is_status = b.len() == 3 && b.bytes().all(|d| d.is_ascii_digit());
    let is_request = !a.is_empty() && a.bytes().all(is_token) && !b.is_empty();
    if if response { !is_status } else { !is_request } {
        return Err(HttpError::Malformed("start line"));
    }
    let mut headers = Vec::new();
    for line in lines.filter(|line| !line.is_empty()) {
        let (name, value) = line.split_once(':').ok_or(HttpError::Malformed("header"))?;
        if name.is_empty()
            || !name.bytes().all(is_token)
            || value.bytes().any(|b| b < b' ' && b != b'\t')
        {
            return Err(HttpError::Malformed("header"));
        }
        headers.push((name.to_owned(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Head {
        start: (a.to_owned(), b.to_owned()),
        is_http10,
        headers,
    })
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// An HTTP response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Additional header lines, without line ends.
    pub headers: Vec<String>,
    /// The content type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A plain-text response.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        let body: String = body.into();
        Response {
            status,
            headers: Vec::new(),
            content_type: "text/plain",
            body: (body + "\n").into_bytes(),
        }
    }

    /// The response to an unknown path, or to a method that the path does not allow.
    pub fn no_route(allowed: &[&str]) -> Self {
        if allowed.is_empty() {
            return Response::text(404, "no such path");
        }
        let mut response = Response::text(405, "no such method here");
        response
            .headers
            .push(format!("Allow: {}", allowed.join(", ")));
        response
    }

    /// Encodes the response, without the body if the request was a `HEAD`.
    pub fn encode(&self, close: bool, with_body: bool) -> Vec<u8> {
        let mut out = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            self.status,
            reason(self.status),
            self.content_type,
            self.body.len()
        );
        for header in &self.headers {
            out.push_str(header);
            out.push_str("\r\n");
        }
        out.push_str(if close {
            "Connection: close\r\n\r\n"
        } else {
            "\r\n"
        });
        let mut out = out.into_bytes();
        if with_body {
            out.extend_from_slice(&self.body);
        }
        out
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}

#[cfg(test)]
mod tests;
