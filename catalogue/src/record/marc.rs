//! MARC 21: the exchange format (ISO 2709, ANSI/NISO Z39.2) and MARCXML.

use super::RecordError;
use super::tree::Element;
use crate::escape;

const END_OF_RECORD: u8 = 0x1d;
const END_OF_FIELD: u8 = 0x1e;
const SUBFIELD: u8 = 0x1f;
/// The lengths of the leader and of a directory entry.
const LEADER: usize = 24;
const ENTRY: usize = 12;

/// A data field.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Data {
    /// Three characters.
    pub tag: String,
    /// Two characters.
    pub indicators: String,
    /// Codes and texts.
    pub subfields: Vec<(char, String)>,
}

/// A MARC record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Marc {
    /// The leader, or empty for the default one.
    pub leader: String,
    /// Control fields: tags and texts.
    pub control: Vec<(String, String)>,
    /// Data fields.
    pub data: Vec<Data>,
}

fn malformed(what: &'static str) -> RecordError {
    RecordError::Malformed(what)
}

fn number(bytes: &[u8]) -> Result<usize, RecordError> {
    let text = std::str::from_utf8(bytes)
        .ok()
        .filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    text.and_then(|t| t.parse().ok())
        .ok_or(malformed("non-numeric length"))
}

impl Marc {
    pub(super) fn add(&mut self, tag: &str, indicators: &str, code: char, text: &str) {
        let subfields = vec![(code, text.to_owned())];
        self.data.push(Data {
            tag: tag.to_owned(),
            indicators: indicators.to_owned(),
            subfields,
        });
    }

    /// Reads the exchange format and validates its lengths.
    pub fn from_bytes(bytes: &[u8]) -> Result<Marc, RecordError> {
        let leader = bytes
            .get(..LEADER)
            .ok_or(malformed("shorter than a leader"))?;
        let (length, base) = (number(&leader[..5])?, number(&leader[12..17])?);
        if length != bytes.len() || base < LEADER + 1 || base > length {
            return Err(malformed(
                "length or base address does not match the record",
            ));
        }
        let directory = bytes
            .get(LEADER..base - 1)
            .ok_or(malformed("invalid directory"))?;
        if directory.len() % ENTRY != 0 || bytes[base - 1] != END_OF_FIELD {
            return Err(malformed("invalid directory"));
        }
        let mut marc = Marc {
            leader: text(leader),
            ..Marc::default()
        };
        for entry in directory.chunks(ENTRY) {
            let tag = text(&entry[..3]);
            let (length, start) = (number(&entry[3..7])?, base + number(&entry[7..12])?);
            let field = bytes
                .get(start..start + length)
                .ok_or(malformed("field outside the record"))?;
            let field = field
                .strip_suffix(&[END_OF_FIELD])
                .ok_or(malformed("field without terminator"))?;
            if tag.starts_with("00") {
                marc.control.push((tag, text(field)));
                continue;
            }
            let mut fragments = field.split(|b| *b == SUBFIELD);
            let indicators = text(fragments.next().unwrap_or_default());
            let subfield = |fragment: &[u8]| {
                let fragment = text(fragment);
                let mut chars = fragment.chars();
                chars.next().map(|code| (code, chars.as_str().to_owned()))
            };
            marc.data.push(Data {
                tag,
                indicators,
                subfields: fragments.filter_map(subfield).collect(),
            });
        }
        Ok(marc)
    }

    /// Writes the exchange format.
    pub fn to_bytes(&self) -> Result<Vec<u8>, RecordError> {
        let mut body: Vec<u8> = Vec::new();
        let mut directory = String::new();
        let mut add_field = |tag: &str, field: Vec<u8>, body: &mut Vec<u8>| {
            if field.len() > 9_999 || body.len() > 99_999 || tag.len() != 3 {
                return Err(RecordError::TooLong);
            }
            directory.push_str(&format!("{tag}{:04}{:05}", field.len(), body.len()));
            body.extend(field);
            Ok(())
        };
        for (tag, text) in &self.control {
            let mut field = without_separators(text).into_bytes();
            field.push(END_OF_FIELD);
            add_field(tag, field, &mut body)?;
        }
        for data in &self.data {
            let mut field = format!("{:2}", without_separators(&data.indicators)).into_bytes();
            for (code, text) in &data.subfields {
                field.push(SUBFIELD);
                field.extend(code.to_string().bytes());
                field.extend(without_separators(text).bytes());
            }
            field.push(END_OF_FIELD);
            add_field(&data.tag, field, &mut body)?;
        }
        let base = LEADER + directory.len() + 1;
        let length = base + body.len() + 1;
        if length > 99_999 {
            return Err(RecordError::TooLong);
        }
        // Only the leader's description of the record is kept. Lengths and character coding (UTF-8)
        // are set for the new encoding.
        let from_leader = |range: std::ops::Range<usize>, usual: &str| {
            self.leader
                .get(range.clone())
                .filter(|t| t.len() == range.len())
                .unwrap_or(usual)
                .to_owned()
        };
        let leader = format!(
            "{length:05}{}a22{base:05}{}4500",
            from_leader(5..9, "nam "),
            from_leader(17..20, " a ")
        );
        let mut out = leader.into_bytes();
        out.extend(directory.bytes());
        out.push(END_OF_FIELD);
        out.extend(body);
        out.push(END_OF_RECORD);
        Ok(out)
    }

    /// Reads MARCXML.
    pub fn from_xml(root: &Element) -> Result<Marc, RecordError> {
        let mut marc = Marc::default();
        for child in &root.children {
            let tag = child.attribute("tag").unwrap_or_default().to_owned();
            match child.name.as_str() {
                "leader" => marc.leader = child.text.clone(),
                "controlfield" if tag.len() == 3 => marc.control.push((tag, child.text.clone())),
                "datafield" if tag.len() == 3 => {
                    let indicator = |name| {
                        child
                            .attribute(name)
                            .and_then(|i| i.chars().next())
                            .unwrap_or(' ')
                    };
                    let subfield =
                        |s: &Element| Some((s.attribute("code")?.chars().next()?, s.text.clone()));
                    marc.data.push(Data {
                        tag,
                        indicators: [indicator("ind1"), indicator("ind2")].iter().collect(),
                        subfields: child.all("subfield").filter_map(subfield).collect(),
                    });
                }
                _ => return Err(malformed("unexpected element in MARCXML")),
            }
        }
        Ok(marc)
    }

    /// Writes MARCXML.
    pub fn to_xml(&self) -> String {
        let mut out = "<record xmlns=\"http://www.loc.gov/MARC21/slim\">".to_owned();
        let leader = if self.leader.is_empty() {
            "00000nam a2200000 a 4500"
        } else {
            &self.leader
        };
        out.push_str(&format!("<leader>{}</leader>", escape(leader)));
        for (tag, text) in &self.control {
            out.push_str(&format!(
                "<controlfield tag=\"{}\">{}</controlfield>",
                escape(tag),
                escape(text)
            ));
        }
        for data in &self.data {
            let mut indicators = data.indicators.chars();
            let mut next = || escape(&indicators.next().unwrap_or(' ').to_string());
            let (first, second) = (next(), next());
            out.push_str(&format!(
                "<datafield tag=\"{}\" ind1=\"{first}\" ind2=\"{second}\">",
                escape(&data.tag)
            ));
            for (code, text) in &data.subfields {
                let code = escape(&code.to_string());
                out.push_str(&format!(
                    "<subfield code=\"{code}\">{}</subfield>",
                    escape(text)
                ));
            }
            out.push_str("</datafield>");
        }
        out + "</record>"
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Removes the format's separators, which would end the field early.
fn without_separators(text: &str) -> String {
    text.chars()
        .filter(|c| !matches!(*c, '\u{1d}'..='\u{1f}'))
        .collect()
}

#[cfg(test)]
mod tests;
