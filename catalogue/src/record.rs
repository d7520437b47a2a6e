//! Records and their conversion between schemas and syntaxes.
//!
//! A record is kept as XML in the schema that its host returned. It is converted on delivery, and
//! only if the client requested another schema or syntax.

pub mod grs1;
pub mod marc;
mod schemas;
pub mod tree;

use crate::escape;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A schema of XML records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Schema {
    /// Simple Dublin Core.
    Dc,
    /// MODS.
    Mods,
    /// MARC 21 in XML.
    MarcXml,
}

/// The names of a schema.
#[derive(Debug, Clone, Copy)]
pub struct SchemaNames {
    /// The schema.
    pub schema: Schema,
    /// The short name in SRU.
    pub short: &'static str,
    /// The identifier in the explain record.
    pub identifier: &'static str,
    /// Other accepted identifiers.
    pub aliases: &'static [&'static str],
    /// The title for display.
    pub title: &'static str,
}

/// The supported schemas, used for requests and the explain record. The first is the default.
pub const SCHEMAS: &[SchemaNames] = &[
    SchemaNames {
        schema: Schema::Dc,
        short: "dc",
        identifier: "info:srw/schema/1/dc-v1.1",
        aliases: &[
            "http://purl.org/dc/elements/1.1/",
            "http://www.openarchives.org/OAI/2.0/oai_dc/",
            "oai_dc",
        ],
        title: "Dublin Core",
    },
    SchemaNames {
        schema: Schema::Mods,
        short: "mods",
        identifier: "info:srw/schema/1/mods-v3.3",
        aliases: &["http://www.loc.gov/mods/v3", "info:srw/schema/1/mods-v3.0"],
        title: "MODS",
    },
    SchemaNames {
        schema: Schema::MarcXml,
        short: "marcxml",
        identifier: "info:srw/schema/1/marcxml-v1.1",
        aliases: &["http://www.loc.gov/MARC21/slim"],
        title: "MARC 21 in XML",
    },
];

impl Schema {
    /// The schema with this short name or identifier.
    pub fn named(name: &str) -> Option<Schema> {
        let known =
            |s: &&SchemaNames| s.short == name || s.identifier == name || s.aliases.contains(&name);
        SCHEMAS.iter().find(known).map(|s| s.schema)
    }

    /// The names of the schema.
    pub fn names(self) -> &'static SchemaNames {
        SCHEMAS
            .iter()
            .find(|s| s.schema == self)
            .unwrap_or(&SCHEMAS[0])
    }
}

/// A record syntax of Z39.50.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Syntax {
    /// XML.
    Xml,
    /// MARC 21, which Z39.50 calls USMARC.
    Usmarc,
    /// Unstructured text.
    Sutrs,
    /// Generic records.
    Grs1,
}

/// The syntaxes and their object identifiers (1.2.840.10003.5).
pub const SYNTAXES: &[(Syntax, &str)] = &[
    (Syntax::Xml, "1.2.840.10003.5.109.10"),
    (Syntax::Usmarc, "1.2.840.10003.5.10"),
    (Syntax::Sutrs, "1.2.840.10003.5.101"),
    (Syntax::Grs1, "1.2.840.10003.5.105"),
];

impl Syntax {
    /// The syntax with this object identifier.
    pub fn of_oid(oid: &str) -> Option<Syntax> {
        // Some clients request text/xml by the identifier of its MIME type.
        let oid = if oid == "1.2.840.10003.5.109.11" {
            SYNTAXES[0].1
        } else {
            oid
        };
        SYNTAXES
            .iter()
            .find(|(_, known)| *known == oid)
            .map(|(syntax, _)| *syntax)
    }

    /// The object identifier.
    pub fn oid(self) -> &'static str {
        SYNTAXES
            .iter()
            .find(|(s, _)| *s == self)
            .map_or(SYNTAXES[0].1, |(_, oid)| oid)
    }
}

/// A record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The schema; `None` for an unknown one, whose records can only be delivered unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<Schema>,
    /// The XML.
    pub xml: String,
    /// The surrogate diagnostic, if there is no record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<crate::fault::Fault>,
}

/// A record that cannot be read, or cannot be written as requested.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The record violates its format.
    #[error("malformed record: {0}")]
    Malformed(&'static str),
    /// The schema is unknown, so the record can only be delivered unchanged.
    #[error("unknown record schema")]
    UnknownSchema,
    /// The record exceeds the length limit of its format.
    #[error("record exceeds the length limit of its format")]
    TooLong,
}

/// A field that all schemas share, named after its Dublin Core element.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Field {
    Title,
    Creator,
    Contributor,
    Subject,
    Description,
    Publisher,
    Date,
    Type,
    Format,
    Identifier,
    Language,
    Rights,
}

/// The fields with their Dublin Core names and their tags in GRS-1's tag set G.
pub const FIELDS: &[(Field, &str, i64)] = &[
    (Field::Title, "title", 1),
    (Field::Creator, "creator", 2),
    (Field::Contributor, "contributor", 32),
    (Field::Subject, "subject", 21),
    (Field::Description, "description", 17),
    (Field::Publisher, "publisher", 31),
    (Field::Date, "date", 4),
    (Field::Type, "type", 22),
    (Field::Format, "format", 27),
    (Field::Identifier, "identifier", 28),
    (Field::Language, "language", 20),
    (Field::Rights, "rights", 29),
];

impl Field {
    /// The Dublin Core name.
    pub fn name(self) -> &'static str {
        FIELDS
            .iter()
            .find(|(f, ..)| *f == self)
            .map_or("", |(_, name, _)| name)
    }

    fn named(name: &str) -> Option<Field> {
        FIELDS
            .iter()
            .find(|(_, known, _)| *known == name)
            .map(|(field, ..)| *field)
    }
}

/// The fields of a record in order, the intermediate form of lossy conversions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields(pub Vec<(Field, String)>);

impl Fields {
    /// The first value of a field.
    pub fn first(&self, field: Field) -> Option<&str> {
        self.0
            .iter()
            .find(|(f, _)| *f == field)
            .map(|(_, text)| text.as_str())
    }

    fn all(&self, field: Field) -> impl Iterator<Item = &str> {
        self.0
            .iter()
            .filter(move |(f, _)| *f == field)
            .map(|(_, text)| text.as_str())
    }

    fn add(&mut self, field: Field, text: &str) {
        let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
        if !text.is_empty() {
            self.0.push((field, text));
        }
    }

    /// The fields of a brief record (element set name B).
    fn brief(&self) -> Fields {
        let kept = [Field::Title, Field::Creator, Field::Date, Field::Identifier];
        Fields(
            self.0
                .iter()
                .filter(|(field, _)| kept.contains(field))
                .cloned()
                .collect(),
        )
    }
}

impl Record {
    /// A record from its XML. The root element determines the schema.
    pub fn new(xml: String) -> Record {
        let schema =
            tree::root(&xml).and_then(|(name, namespace)| schemas::of_root(&name, &namespace));
        Record {
            schema,
            xml,
            fault: None,
        }
    }

    /// A surrogate diagnostic.
    pub fn refused(fault: crate::fault::Fault) -> Record {
        Record {
            schema: None,
            xml: String::new(),
            fault: Some(fault),
        }
    }

    /// The fields of the record.
    pub fn fields(&self) -> Result<Fields, RecordError> {
        let root = tree::read(&self.xml)?;
        match self.schema {
            Some(Schema::Dc) => Ok(schemas::from_dc(&root)),
            Some(Schema::Mods) => Ok(schemas::from_mods(&root)),
            Some(Schema::MarcXml) => Ok(schemas::from_marc(&marc::Marc::from_xml(&root)?)),
            None => Err(RecordError::UnknownSchema),
        }
    }

    /// The first value of the field that corresponds to an index.
    pub fn value(&self, index: &str) -> Option<String> {
        let field = Field::named(index.strip_prefix("dc.")?)?;
        self.fields().ok()?.first(field).map(str::to_owned)
    }

    /// The record as XML in a schema. A full record already in that schema is returned unchanged.
    pub fn to_xml(&self, schema: Schema, brief: bool) -> Result<String, RecordError> {
        if self.schema == Some(schema) && !brief {
            return Ok(self.xml.clone());
        }
        let mut fields = self.fields()?;
        if brief {
            fields = fields.brief();
        }
        Ok(match schema {
            Schema::Dc => schemas::to_dc(&fields),
            Schema::Mods => schemas::to_mods(&fields),
            Schema::MarcXml => schemas::to_marc(&fields).to_xml(),
        })
    }

    /// Encodes the record in a Z39.50 syntax.
    pub fn to_bytes(
        &self,
        syntax: Syntax,
        schema: Schema,
        brief: bool,
    ) -> Result<Vec<u8>, RecordError> {
        match syntax {
            Syntax::Xml => self.to_xml(schema, brief).map(String::into_bytes),
            Syntax::Usmarc => match (self.schema, brief) {
                (Some(Schema::MarcXml), false) => {
                    marc::Marc::from_xml(&tree::read(&self.xml)?)?.to_bytes()
                }
                _ => schemas::to_marc(&self.wanted_fields(brief)?).to_bytes(),
            },
            Syntax::Sutrs => Ok(sutrs(&self.wanted_fields(brief)?).into_bytes()),
            Syntax::Grs1 => Ok(grs1::write(&self.wanted_fields(brief)?)),
        }
    }

    fn wanted_fields(&self, brief: bool) -> Result<Fields, RecordError> {
        let fields = self.fields()?;
        Ok(if brief { fields.brief() } else { fields })
    }

    /// Decodes a record from a Z39.50 syntax.
    pub fn from_bytes(syntax: Syntax, bytes: &[u8]) -> Result<Record, RecordError> {
        match syntax {
            Syntax::Xml => {
                let xml = std::str::from_utf8(bytes)
                    .map_err(|_| RecordError::Malformed("not valid UTF-8"))?;
                // An XML declaration is only valid at the start of a document, and the record
                // becomes part of one.
                let xml = match xml.trim_start().strip_prefix("<?xml") {
                    Some(rest) => rest.split_once("?>").map_or("", |(_, xml)| xml),
                    None => xml,
                };
                Ok(Record::new(xml.trim().to_owned()))
            }
            Syntax::Usmarc => {
                let xml = marc::Marc::from_bytes(bytes)?.to_xml();
                Ok(Record {
                    schema: Some(Schema::MarcXml),
                    xml,
                    fault: None,
                })
            }
            Syntax::Sutrs => {
                let mut fields = Fields::default();
                for line in String::from_utf8_lossy(bytes).lines() {
                    let (name, text) = line.split_once(':').unwrap_or(("description", line));
                    let field = Field::named(&name.trim().to_ascii_lowercase());
                    fields.add(field.unwrap_or(Field::Description), text);
                }
                Ok(Record {
                    schema: Some(Schema::Dc),
                    xml: schemas::to_dc(&fields),
                    fault: None,
                })
            }
            Syntax::Grs1 => {
                let fields = grs1::read(bytes)?;
                Ok(Record {
                    schema: Some(Schema::Dc),
                    xml: schemas::to_dc(&fields),
                    fault: None,
                })
            }
        }
    }

    /// A hash of the text, which does not depend on the prefixes and white space that the host
    /// uses.
    pub fn fingerprint(&self) -> u64 {
        let text = tree::read(&self.xml).map_or_else(|_| self.xml.clone(), |root| root.full_text());
        // FNV-1a gives the same result on every machine. The hash protects no secret.
        text.split_whitespace()
            .flat_map(|word| word.bytes().chain([b' ']))
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
            })
    }
}

/// The SUTRS form: one line per field.
fn sutrs(fields: &Fields) -> String {
    fields
        .0
        .iter()
        .map(|(field, text)| format!("{}: {text}\n", field.name()))
        .collect()
}

fn element(out: &mut String, name: &str, text: &str) {
    out.push_str(&format!("<{name}>{}</{name}>", escape(text)));
}

#[cfg(test)]
mod tests;
