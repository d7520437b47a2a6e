//! Conversion of the common fields from and to each schema, based on the crosswalks of the Library
//! of Congress.

use super::marc::Marc;
use super::tree::Element;
use super::{Field, Fields, Schema, element};
use crate::escape;

/// The schema of a root element.
pub fn of_root(name: &str, namespace: &str) -> Option<Schema> {
    match (name, namespace) {
        // Any namespace is accepted: SRU and OAI use different ones, and some hosts none.
        ("dc" | "srw_dc" | "oai_dc", _) => Some(Schema::Dc),
        ("mods", "" | "http://www.loc.gov/mods/v3" | "http://www.loc.gov/mods/") => {
            Some(Schema::Mods)
        }
        ("record", "http://www.loc.gov/MARC21/slim") => Some(Schema::MarcXml),
        _ => None,
    }
}

pub fn from_dc(root: &Element) -> Fields {
    let mut fields = Fields::default();
    for child in &root.children {
        if let Some(field) = Field::named(&child.name) {
            fields.add(field, &child.full_text());
        }
    }
    fields
}

pub fn to_dc(fields: &Fields) -> String {
    let mut out = "<srw_dc:dc xmlns:srw_dc=\"info:srw/schema/1/dc-schema\" \
        xmlns=\"http://purl.org/dc/elements/1.1/\">"
        .to_owned();
    for (field, text) in &fields.0 {
        element(&mut out, field.name(), text);
    }
    out + "</srw_dc:dc>"
}

pub fn from_mods(root: &Element) -> Fields {
    let mut fields = Fields::default();
    for child in &root.children {
        let text = |name: &str| child.find(name).map(Element::full_text).unwrap_or_default();
        match child.name.as_str() {
            "titleInfo" => {
                let (title, sub) = (text("title"), text("subTitle"));
                fields.add(
                    Field::Title,
                    &if sub.is_empty() {
                        title
                    } else {
                        format!("{title} : {sub}")
                    },
                );
            }
            "name" => {
                let parts: Vec<String> = child.all("namePart").map(Element::full_text).collect();
                let role = text("roleTerm");
                let main = role.is_empty()
                    || matches!(role.as_str(), "creator" | "author" | "cre" | "aut");
                fields.add(
                    if main {
                        Field::Creator
                    } else {
                        Field::Contributor
                    },
                    &parts.join(", "),
                );
            }
            "subject" => {
                let parts: Vec<String> = child.children.iter().map(Element::full_text).collect();
                fields.add(Field::Subject, &parts.join(" -- "));
            }
            "abstract" | "note" => fields.add(Field::Description, &child.full_text()),
            "originInfo" => {
                fields.add(Field::Publisher, &text("publisher"));
                fields.add(
                    Field::Date,
                    &child
                        .find("dateIssued")
                        .map_or_else(|| text("dateCreated"), Element::full_text),
                );
            }
            "typeOfResource" | "genre" => fields.add(Field::Type, &child.full_text()),
            "physicalDescription" => fields.add(Field::Format, &child.full_text()),
            "identifier" => fields.add(Field::Identifier, &child.full_text()),
            "language" => fields.add(Field::Language, &child.full_text()),
            "accessCondition" => fields.add(Field::Rights, &child.full_text()),
            _ => {}
        }
    }
    fields
}

pub fn to_mods(fields: &Fields) -> String {
    let mut out = "<mods xmlns=\"http://www.loc.gov/mods/v3\" version=\"3.3\">".to_owned();
    let name = |text: &str, role: &str| {
        format!(
            "<name><namePart>{}</namePart><role><roleTerm type=\"text\">{role}</roleTerm></role></name>",
            escape(text)
        )
    };
    for (field, text) in &fields.0 {
        let safe = escape(text);
        out.push_str(&match field {
            Field::Title => format!("<titleInfo><title>{safe}</title></titleInfo>"),
            Field::Creator => name(text, "creator"),
            Field::Contributor => name(text, "contributor"),
            Field::Subject => format!("<subject><topic>{safe}</topic></subject>"),
            Field::Description => format!("<abstract>{safe}</abstract>"),
            Field::Publisher => format!("<originInfo><publisher>{safe}</publisher></originInfo>"),
            Field::Date => format!("<originInfo><dateIssued>{safe}</dateIssued></originInfo>"),
            Field::Type => format!("<genre>{safe}</genre>"),
            Field::Format => {
                format!("<physicalDescription><form>{safe}</form></physicalDescription>")
            }
            Field::Identifier => format!("<identifier>{safe}</identifier>"),
            Field::Language => format!("<language><languageTerm>{safe}</languageTerm></language>"),
            Field::Rights => format!("<accessCondition>{safe}</accessCondition>"),
        });
    }
    out + "</mods>"
}

/// The position of each field in MARC 21: tag, and the subfields to join.
const MARC_FIELDS: &[(&str, &str, Field)] = &[
    ("245", "ab", Field::Title),
    ("100", "a", Field::Creator),
    ("110", "a", Field::Creator),
    ("111", "a", Field::Creator),
    ("700", "a", Field::Contributor),
    ("710", "a", Field::Contributor),
    ("600", "ax", Field::Subject),
    ("610", "ax", Field::Subject),
    ("650", "ax", Field::Subject),
    ("651", "ax", Field::Subject),
    ("653", "a", Field::Subject),
    ("520", "a", Field::Description),
    ("500", "a", Field::Description),
    ("260", "b", Field::Publisher),
    ("264", "b", Field::Publisher),
    ("260", "c", Field::Date),
    ("264", "c", Field::Date),
    ("655", "a", Field::Type),
    ("300", "a", Field::Format),
    ("020", "a", Field::Identifier),
    ("022", "a", Field::Identifier),
    ("024", "a", Field::Identifier),
    ("041", "a", Field::Language),
    ("540", "a", Field::Rights),
];

pub fn from_marc(marc: &Marc) -> Fields {
    let mut fields = Fields::default();
    // The control number serves as identifier if there is no other.
    let mut identified = false;
    for data in &marc.data {
        for (_, codes, field) in MARC_FIELDS.iter().filter(|(tag, ..)| *tag == data.tag) {
            let texts: Vec<&str> = data
                .subfields
                .iter()
                .filter(|(code, _)| codes.contains(*code))
                // Catalogue card punctuation at the end of subfields is removed.
                .map(|(_, text)| text.trim_end_matches([' ', '/', ':', ',', ';']))
                .collect();
            identified |= *field == Field::Identifier;
            let joint = if *field == Field::Subject {
                " -- "
            } else {
                " : "
            };
            fields.add(*field, &texts.join(joint));
        }
    }
    if !identified && let Some((_, number)) = marc.control.iter().find(|(tag, _)| tag == "001") {
        fields.add(Field::Identifier, number);
    }
    fields
}

pub fn to_marc(fields: &Fields) -> Marc {
    let mut marc = Marc::default();
    if let Some(id) = fields.first(Field::Identifier) {
        marc.control.push(("001".to_owned(), id.to_owned()));
    }
    let mut main_entry = true;
    for (field, text) in &fields.0 {
        let (tag, indicators, code) = match field {
            Field::Title => ("245", "00", 'a'),
            Field::Creator if main_entry => ("100", "1 ", 'a'),
            Field::Creator => ("110", "2 ", 'a'),
            Field::Contributor => ("700", "1 ", 'a'),
            Field::Subject => ("650", " 4", 'a'),
            Field::Description => ("520", "  ", 'a'),
            Field::Publisher => ("260", "  ", 'b'),
            Field::Date => ("260", "  ", 'c'),
            Field::Type => ("655", " 4", 'a'),
            Field::Format => ("300", "  ", 'a'),
            Field::Identifier => ("024", "8 ", 'a'),
            Field::Language => ("041", "0 ", 'a'),
            Field::Rights => ("540", "  ", 'a'),
        };
        main_entry &= *field != Field::Creator;
        marc.add(tag, indicators, code, text);
    }
    marc.data.sort_by(|a, b| a.tag.cmp(&b.tag));
    debug_assert!(fields.all(Field::Title).count() <= marc.data.len());
    marc
}
