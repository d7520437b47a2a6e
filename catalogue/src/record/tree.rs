//! A small XML tree for records, with limits on depth and number of elements.

use super::RecordError;
use quick_xml::events::{BytesStart, Event};
use quick_xml::reader::Reader;

/// Maximum nesting of a record.
const DEPTH: usize = 32;
/// Maximum number of elements in a record.
const ELEMENTS: usize = 20_000;

/// An XML element.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Element {
    /// The local name.
    pub name: String,
    /// The attributes, by local name.
    pub attributes: Vec<(String, String)>,
    /// The child elements.
    pub children: Vec<Element>,
    /// The text directly inside the element.
    pub text: String,
}

impl Element {
    /// The value of an attribute.
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// The child elements with this name.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a Element> + use<'a, 'n> {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// The first element with this name, at any depth.
    pub fn find(&self, name: &str) -> Option<&Element> {
        if self.name == name {
            return Some(self);
        }
        self.children.iter().find_map(|child| child.find(name))
    }

    /// All text inside the element.
    pub fn full_text(&self) -> String {
        let mut out = self.text.clone();
        for child in &self.children {
            out.push(' ');
            out.push_str(&child.full_text());
        }
        out
    }
}

fn open(start: &BytesStart<'_>) -> Result<Element, RecordError> {
    let name = String::from_utf8_lossy(start.local_name().as_ref()).into_owned();
    let mut attributes = Vec::new();
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|_| RecordError::Malformed("invalid attribute"))?;
        let key = String::from_utf8_lossy(attribute.key.local_name().as_ref()).into_owned();
        let value = attribute
            .normalized_value(quick_xml::XmlVersion::Implicit1_0)
            .map_err(|_| RecordError::Malformed("invalid attribute"))?;
        attributes.push((key, value.into_owned()));
    }
    Ok(Element {
        name,
        attributes,
        ..Element::default()
    })
}

/// Parses a document.
pub fn read(xml: &str) -> Result<Element, RecordError> {
    let mut reader = Reader::from_str(xml);
    let mut stack: Vec<Element> = Vec::new();
    let mut count = 0;
    loop {
        let event = reader
            .read_event()
            .map_err(|_| RecordError::Malformed("not well-formed XML"))?;
        let done = match event {
            Event::Start(start) => {
                count += 1;
                if stack.len() >= DEPTH || count > ELEMENTS {
                    return Err(RecordError::Malformed(
                        "nested too deep, or too many elements",
                    ));
                }
                stack.push(open(&start)?);
                continue;
            }
            Event::Empty(start) => {
                count += 1;
                if count > ELEMENTS {
                    return Err(RecordError::Malformed("too many elements"));
                }
                open(&start)?
            }
            Event::End(_) => stack
                .pop()
                .ok_or(RecordError::Malformed("end tag without a start tag"))?,
            Event::Text(text) => {
                let text = text
                    .decode()
                    .map_err(|_| RecordError::Malformed("invalid text encoding"))?;
                if let Some(top) = stack.last_mut() {
                    top.text.push_str(&text);
                }
                continue;
            }
            Event::CData(text) => {
                let text = text
                    .decode()
                    .map_err(|_| RecordError::Malformed("invalid text encoding"))?;
                if let Some(top) = stack.last_mut() {
                    top.text.push_str(&text);
                }
                continue;
            }
            Event::GeneralRef(reference) => {
                let resolved = match reference.resolve_char_ref() {
                    Ok(Some(c)) => c.to_string(),
                    Ok(None) => {
                        let name = reference
                            .decode()
                            .map_err(|_| RecordError::Malformed("invalid reference"))?;
                        let known = quick_xml::escape::resolve_predefined_entity(&name);
                        known
                            .ok_or(RecordError::Malformed("unknown entity"))?
                            .to_owned()
                    }
                    Err(_) => return Err(RecordError::Malformed("invalid reference")),
                };
                if let Some(top) = stack.last_mut() {
                    top.text.push_str(&resolved);
                }
                continue;
            }
            Event::Eof => return Err(RecordError::Malformed("missing or unclosed root element")),
            _ => continue,
        };
        match stack.last_mut() {
            Some(parent) => parent.children.push(done),
            None => return Ok(done),
        }
    }
}

/// The local name and the namespace of the root element.
pub fn root(xml: &str) -> Option<(String, String)> {
    let mut reader = Reader::from_str(xml);
    loop {
        match reader.read_event().ok()? {
            Event::Start(start) | Event::Empty(start) => {
                let name = String::from_utf8_lossy(start.local_name().as_ref()).into_owned();
                let prefix = start
                    .name()
                    .prefix()
                    .map(|p| String::from_utf8_lossy(p.as_ref()).into_owned());
                let key = prefix.map_or("xmlns".to_owned(), |p| format!("xmlns:{p}"));
                let declared = start
                    .attributes()
                    .flatten()
                    .find(|a| a.key.as_ref() == key.as_bytes());
                let namespace = declared.and_then(|a| {
                    a.normalized_value(quick_xml::XmlVersion::Implicit1_0)
                        .ok()
                        .map(|v| v.into_owned())
                });
                return Some((name, namespace.unwrap_or_default()));
            }
            Event::Eof => return None,
            _ => {}
        }
    }
}
