//! The explain record (ZeeRex 2.0), generated from the tables that request parsing uses.

use super::Version;
use crate::cql::MODIFIERS;
use crate::escape;
use crate::index::{CONTEXT_SETS, INDEXES};
use crate::record::SCHEMAS;
use std::fmt::Write as _;

/// The server properties in the explain record.
#[derive(Debug, Clone)]
pub struct About<'a> {
    /// The host name in the client's request.
    pub host: &'a str,
    /// The port.
    pub port: u16,
    /// The name of the database.
    pub database: &'a str,
    /// The title of the database.
    pub title: &'a str,
    /// Maximum records of a page.
    pub page: u64,
    /// How long an unused result set is kept, in seconds.
    pub idle: u64,
}

/// Writes the explain record.
pub fn record(version: Version, about: &About<'_>) -> String {
    let mut out = format!(
        "<explain xmlns=\"http://explain.z3950.org/dtd/2.0/\">\
         <serverInfo protocol=\"SRU\" version=\"{}\" transport=\"http\" method=\"GET POST SOAP\">\
         <host>{}</host><port>{}</port><database>{}</database></serverInfo>\
         <databaseInfo><title>{}</title></databaseInfo><indexInfo>",
        version.name(),
        escape(about.host),
        about.port,
        escape(about.database),
        escape(about.title),
    );
    for (name, identifier) in CONTEXT_SETS {
        let _ = write!(out, "<set name=\"{name}\" identifier=\"{identifier}\"/>");
    }
    for index in INDEXES {
        let (set, name) = index.name.split_once('.').unwrap_or(("cql", index.name));
        let _ = write!(
            out,
            "<index search=\"true\" scan=\"{}\" sort=\"{}\"><title>{}</title>\
             <map><name set=\"{set}\">{name}</name></map></index>",
            index.scan, index.sort, index.title
        );
    }
    out.push_str("</indexInfo><schemaInfo>");
    for schema in SCHEMAS {
        let _ = write!(
            out,
            "<schema name=\"{}\" identifier=\"{}\" retrieve=\"true\" sort=\"false\"><title>{}</title></schema>",
            schema.short, schema.identifier, schema.title
        );
    }
    let _ = write!(
        out,
        "</schemaInfo><configInfo><default type=\"numberOfRecords\">10</default>\
         <default type=\"retrieveSchema\">{}</default>\
         <setting type=\"maximumRecords\">{}</setting><setting type=\"resultSetTTL\">{}</setting>",
        SCHEMAS[0].short, about.page, about.idle
    );
    for relation in [
        "=", "==", "<>", "<", "<=", ">", ">=", "any", "all", "adj", "within", "encloses",
    ] {
        let _ = write!(
            out,
            "<supports type=\"relation\">{}</supports>",
            escape(relation)
        );
    }
    for (name, _) in MODIFIERS {
        let _ = write!(out, "<supports type=\"relationModifier\">{name}</supports>");
    }
    for boolean in ["and", "or", "not", "prox"] {
        let _ = write!(
            out,
            "<supports type=\"booleanOperator\">{boolean}</supports>"
        );
    }
    for feature in [
        "proximity",
        "resultSets",
        "sort",
        "scan",
        "maskingCharacter",
        "anchoring",
    ] {
        let _ = write!(out, "<supports type=\"{feature}\"/>");
    }
    out + "</configInfo></explain>"
}
