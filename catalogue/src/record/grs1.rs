//! GRS-1 records (appendix 5, RecordSyntax-generic). Elements are identified by tag set G (type 2)
//! or by name (type 3).

use super::{FIELDS, Field, Fields, RecordError};
use crate::ber::{self, Class, Content, Item, Writer, universal};

/// The type number of tag set G.
const TAG_SET_G: i64 = 2;

/// Writes the elements of a record, the content of a single-ASN1-type.
pub fn write(fields: &Fields) -> Vec<u8> {
    let mut writer = Writer::default();
    writer.inside_universal(universal::SEQUENCE, |elements| {
        for (field, text) in &fields.0 {
            let tag = FIELDS
                .iter()
                .find(|(f, ..)| f == field)
                .map_or(0, |(.., tag)| *tag);
            elements.inside_universal(universal::SEQUENCE, |tagged| {
                tagged.integer(1, TAG_SET_G);
                // StringOrNumeric as a number.
                tagged.inside(2, |value| value.integer(2, tag));
                tagged.inside(4, |content| {
                    content.universal(universal::GENERAL, text.as_bytes())
                });
            });
        }
    });
    writer.finish()
}

/// Reads the elements of a record; elements that correspond to no field are ignored.
pub fn read(bytes: &[u8]) -> Result<Fields, RecordError> {
    let length = bytes.len();
    let item = ber::read(&mut bytes.to_vec(), length.max(1), 32)
        .ok()
        .flatten();
    let item = item.ok_or(RecordError::Malformed("not valid GRS-1"))?;
    let mut fields = Fields::default();
    for element in item.items() {
        let Some(value) = element.get(2) else {
            continue;
        };
        let choice = value.items().first();
        let field = match choice {
            Some(number) if number.tag == 2 => {
                let tag_number = number.integer().unwrap_or(0);
                FIELDS
                    .iter()
                    .find(|(.., tag)| *tag == tag_number)
                    .map(|(f, ..)| *f)
            }
            Some(name) => name
                .text()
                .and_then(|n| Field::named(&n.to_ascii_lowercase())),
            None => None,
        };
        let content = element.get(4).and_then(|c| c.items().first());
        if let (Some(field), Some(content)) = (field, content) {
            fields.add(field, &element_text(content));
        }
    }
    Ok(fields)
}

/// The text of an element of any type.
fn element_text(content: &Item) -> String {
    match (&content.content, content.class, content.tag) {
        (Content::Primitive(_), Class::Universal, universal::INTEGER) => content
            .integer()
            .map_or_else(String::new, |n| n.to_string()),
        _ => content.text().unwrap_or_default(),
    }
}
