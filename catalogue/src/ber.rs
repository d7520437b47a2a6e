//! The Basic Encoding Rules, as far as Z39.50 needs them, with limits on length and depth.

use thiserror::Error;

/// The class of a tag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Universal.
    Universal,
    /// Context-specific.
    Context,
    /// Any other class.
    Other,
}

/// An invalid encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BerError {
    /// The encoding exceeds the length limit.
    #[error("encoding exceeds the length limit")]
    TooLong,
    /// The encoding exceeds the depth limit.
    #[error("encoding nested too deep")]
    TooDeep,
    /// The encoding violates the rules.
    #[error("malformed encoding")]
    Malformed,
}

/// A decoded value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The class of the tag.
    pub class: Class,
    /// The number of the tag.
    pub tag: u32,
    /// The content.
    pub content: Content,
}

/// The content of a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// Bytes.
    Primitive(Vec<u8>),
    /// Nested values.
    Constructed(Vec<Item>),
}

/// The universal tags in use.
pub mod universal {
    /// INTEGER.
    pub const INTEGER: u32 = 2;
    /// BIT STRING.
    pub const BITS: u32 = 3;
    /// OCTET STRING.
    pub const OCTETS: u32 = 4;
    /// NULL.
    pub const NULL: u32 = 5;
    /// OBJECT IDENTIFIER.
    pub const OID: u32 = 6;
    /// EXTERNAL.
    pub const EXTERNAL: u32 = 8;
    /// SEQUENCE.
    pub const SEQUENCE: u32 = 16;
    /// GeneralString.
    pub const GENERAL: u32 = 27;
    /// VisibleString.
    pub const VISIBLE: u32 = 26;
}

impl Item {
    /// The first nested value with this context tag.
    pub fn get(&self, tag: u32) -> Option<&Item> {
        self.items()
            .iter()
            .find(|item| item.class == Class::Context && item.tag == tag)
    }

    /// The nested values; none for a primitive.
    pub fn items(&self) -> &[Item] {
        match &self.content {
            Content::Constructed(items) => items,
            Content::Primitive(_) => &[],
        }
    }

    /// The bytes; segments of a constructed string are joined.
    pub fn bytes(&self) -> Vec<u8> {
        match &self.content {
            Content::Primitive(bytes) => bytes.clone(),
            Content::Constructed(items) => items.iter().flat_map(Item::bytes).collect(),
        }
    }

    /// The text, if it is valid UTF-8.
    pub fn text(&self) -> Option<String> {
        String::from_utf8(self.bytes()).ok()
    }

    /// The number, if it fits.
    pub fn integer(&self) -> Option<i64> {
        let Content::Primitive(bytes) = &self.content else {
            return None;
        };
        if bytes.is_empty() || bytes.len() > 8 {
            return None;
        }
        let start = if bytes[0] >= 0x80 { -1 } else { 0 };
        Some(bytes.iter().fold(start, |n, b| n << 8 | i64::from(*b)))
    }

    /// The boolean value.
    pub fn boolean(&self) -> Option<bool> {
        match &self.content {
            Content::Primitive(bytes) if bytes.len() == 1 => Some(bytes[0] != 0),
            _ => None,
        }
    }

    /// The object identifier in dotted notation.
    pub fn oid(&self) -> Option<String> {
        let Content::Primitive(bytes) = &self.content else {
            return None;
        };
        let mut arcs: Vec<u64> = Vec::new();
        let mut arc = 0u64;
        for byte in bytes {
            arc = arc.checked_mul(128)?.checked_add(u64::from(byte & 0x7f))?;
            if byte & 0x80 == 0 {
                if arcs.is_empty() {
                    let first = (arc / 40).min(2);
                    arcs.extend([first, arc - first * 40]);
                } else {
                    arcs.push(arc);
                }
                arc = 0;
            }
        }
        let numbers: Vec<String> = arcs.iter().map(u64::to_string).collect();
        (!numbers.is_empty()).then(|| numbers.join("."))
    }

    /// Whether a bit of a BIT STRING is set.
    pub fn bit(&self, number: usize) -> bool {
        let Content::Primitive(bytes) = &self.content else {
            return false;
        };
        bytes
            .get(1 + number / 8)
            .is_some_and(|byte| byte & (0x80 >> (number % 8)) != 0)
    }
}

/// Reads the next complete value and removes it from `input`. The result does not depend on how the
/// bytes were split into reads.
pub fn read(input: &mut Vec<u8>, max_bytes: usize, depth: usize) -> Result<Option<Item>, BerError> {
    let mut at = 0;
    match decode(input, &mut at, depth) {
        Ok(item) if at <= max_bytes => {
            input.drain(..at);
            Ok(Some(item))
        }
        Err(DecodeError::Incomplete(total)) if input.len() <= max_bytes && total <= max_bytes => {
            Ok(None)
        }
        Ok(_) | Err(DecodeError::Incomplete(_)) => Err(BerError::TooLong),
        Err(DecodeError::Invalid(problem)) => Err(problem),
    }
}

/// Why decoding stopped: more bytes are needed (at least this many in total), or the encoding is
/// invalid.
enum DecodeError {
    Incomplete(usize),
    Invalid(BerError),
}

const MALFORMED: DecodeError = DecodeError::Invalid(BerError::Malformed);

fn decode(bytes: &[u8], at: &mut usize, depth: usize) -> Result<Item, DecodeError> {
    if depth == 0 {
        return Err(DecodeError::Invalid(BerError::TooDeep));
    }
    let next = |at: &mut usize| {
        let byte = bytes
            .get(*at)
            .copied()
            .ok_or(DecodeError::Incomplete(*at + 1))?;
        *at += 1;
        Ok::<u8, DecodeError>(byte)
    };
    let first = next(at)?;
    let class = match first >> 6 {
        0 => Class::Universal,
        2 => Class::Context,
        _ => Class::Other,
    };
    let mut tag = u32::from(first & 0x1f);
    if tag == 0x1f {
        tag = 0;
        loop {
            let byte = next(at)?;
            if tag > u32::MAX >> 7 {
                return Err(MALFORMED);
            }
            tag = tag << 7 | u32::from(byte & 0x7f);
            if byte & 0x80 == 0 {
                break;
            }
        }
    }
    let constructed = first & 0x20 != 0;
    let length = match next(at)? {
        0x80 if constructed => None,
        0x80 | 0xff => return Err(MALFORMED),
        short if short < 0x80 => Some(usize::from(short)),
        long => {
            let mut length = 0usize;
            for _ in 0..long & 0x7f {
                if length > usize::MAX >> 16 {
                    return Err(DecodeError::Invalid(BerError::TooLong));
                }
                length = length << 8 | usize::from(next(at)?);
            }
            Some(length)
        }
    };
    let Some(length) = length else {
        let mut items = Vec::new();
        while bytes.get(*at..*at + 2) != Some(&[0, 0]) {
            if bytes.len() < *at + 2 {
                return Err(DecodeError::Incomplete(*at + 2));
            }
            items.push(decode(bytes, at, depth - 1)?);
        }
        *at += 2;
        return Ok(Item {
            class,
            tag,
            content: Content::Constructed(items),
        });
    };
    let end = at
        .checked_add(length)
        .ok_or(DecodeError::Invalid(BerError::TooLong))?;
    let Some(body) = bytes.get(..end) else {
        return Err(DecodeError::Incomplete(end));
    };
    if !constructed {
        let content = Content::Primitive(body[*at..].to_vec());
        *at = end;
        return Ok(Item {
            class,
            tag,
            content,
        });
    }
    let mut items = Vec::new();
    while *at < end {
        // A nested value that extends beyond its container is malformed and not incomplete.
        items.push(decode(body, at, depth - 1).map_err(|error| match error {
            DecodeError::Incomplete(_) => MALFORMED,
            invalid => invalid,
        })?);
    }
    Ok(Item {
        class,
        tag,
        content: Content::Constructed(items),
    })
}

/// Encodes values, always with definite lengths.
#[derive(Debug, Default)]
pub struct Writer {
    out: Vec<u8>,
}

impl Writer {
    /// Returns the encoded bytes.
    pub fn finish(self) -> Vec<u8> {
        self.out
    }

    /// Appends encoded values.
    pub fn raw(&mut self, bytes: &[u8]) {
        self.out.extend_from_slice(bytes);
    }

    /// Encodes a decoded value again.
    pub fn item(&mut self, item: &Item) {
        match &item.content {
            Content::Primitive(bytes) => {
                self.header(item.class, false, item.tag, bytes.len());
                self.out.extend_from_slice(bytes);
            }
            Content::Constructed(items) => self.within(item.class, item.tag, |w| {
                for item in items {
                    w.item(item);
                }
            }),
        }
    }

    /// Appends the output of another writer.
    pub fn append(&mut self, mut other: Writer) {
        self.out.append(&mut other.out);
    }

    fn header(&mut self, class: Class, constructed: bool, tag: u32, length: usize) {
        let first = match class {
            Class::Universal => 0,
            Class::Context | Class::Other => 0x80,
        } | if constructed { 0x20 } else { 0 };
        if tag < 0x1f {
            self.out.push(first | tag as u8);
        } else {
            self.out.push(first | 0x1f);
            let groups = (1..5).rev().filter(|n| tag >> (7 * n) != 0);
            self.out
                .extend(groups.map(|n| 0x80 | (tag >> (7 * n)) as u8));
            self.out.push((tag & 0x7f) as u8);
        }
        if length < 0x80 {
            self.out.push(length as u8);
        } else {
            let bytes = length.to_be_bytes();
            let skip = bytes.iter().take_while(|b| **b == 0).count();
            self.out.push(0x80 | (bytes.len() - skip) as u8);
            self.out.extend_from_slice(&bytes[skip..]);
        }
    }

    /// Writes bytes with a context tag.
    pub fn bytes(&mut self, tag: u32, bytes: &[u8]) {
        self.header(Class::Context, false, tag, bytes.len());
        self.out.extend_from_slice(bytes);
    }

    /// Writes bytes with a universal tag.
    pub fn universal(&mut self, tag: u32, bytes: &[u8]) {
        self.header(Class::Universal, false, tag, bytes.len());
        self.out.extend_from_slice(bytes);
    }

    /// Writes a number with a context tag.
    pub fn integer(&mut self, tag: u32, number: i64) {
        self.bytes(tag, &integer(number));
    }

    /// Writes a boolean with a context tag.
    pub fn boolean(&mut self, tag: u32, value: bool) {
        self.bytes(tag, &[if value { 0xff } else { 0 }]);
    }

    /// Writes a bit string with a context tag, given the numbers of the set bits.
    pub fn bits(&mut self, tag: u32, set: impl IntoIterator<Item = usize>) {
        let mut bytes = vec![0u8];
        for bit in set {
            if bytes.len() < 2 + bit / 8 {
                bytes.resize(2 + bit / 8, 0);
            }
            bytes[1 + bit / 8] |= 0x80 >> (bit % 8);
        }
        self.bytes(tag, &bytes);
    }

    /// Writes an object identifier with a context tag.
    pub fn oid_as(&mut self, tag: u32, dotted: &str) {
        self.bytes(tag, &oid(dotted));
    }

    /// Writes an object identifier with its universal tag.
    pub fn oid(&mut self, dotted: &str) {
        self.universal(universal::OID, &oid(dotted));
    }

    /// Writes nested values in a context tag.
    pub fn inside(&mut self, tag: u32, fill: impl FnOnce(&mut Writer)) {
        self.within(Class::Context, tag, fill);
    }

    /// Writes nested values in a universal tag.
    pub fn inside_universal(&mut self, tag: u32, fill: impl FnOnce(&mut Writer)) {
        self.within(Class::Universal, tag, fill);
    }

    fn within(&mut self, class: Class, tag: u32, fill: impl FnOnce(&mut Writer)) {
        let mut inner = Writer::default();
        fill(&mut inner);
        self.header(class, true, tag, inner.out.len());
        self.out.append(&mut inner.out);
    }
}

/// Encodes a number.
pub fn integer(number: i64) -> Vec<u8> {
    let bytes = number.to_be_bytes();
    let spare = |i: &usize| {
        let (byte, next) = (bytes[*i], bytes[*i + 1]);
        byte == 0 && next < 0x80 || byte == 0xff && next >= 0x80
    };
    let skip = (0..7).take_while(spare).count();
    bytes[skip..].to_vec()
}

/// Encodes an object identifier.
pub fn oid(dotted: &str) -> Vec<u8> {
    let arcs: Vec<u64> = dotted
        .split('.')
        .filter_map(|arc| arc.parse().ok())
        .collect();
    let [first, second, rest @ ..] = arcs.as_slice() else {
        return Vec::new();
    };
    let mut out = Vec::new();
    for arc in std::iter::once(first * 40 + second).chain(rest.iter().copied()) {
        let groups = (1..10).rev().filter(|n| arc >> (7 * n) != 0);
        out.extend(groups.map(|n| 0x80 | (arc >> (7 * n)) as u8));
        out.push((arc & 0x7f) as u8);
    }
    out
}

#[cfg(test)]
mod tests;
