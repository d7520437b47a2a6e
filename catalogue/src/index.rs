//! The indexes, as named in both protocols. Query parsing and the explain record both use this
//! table.

/// A searchable index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Index {
    /// The CQL name, with the short name of the context set.
    pub name: &'static str,
    /// The title for display.
    pub title: &'static str,
    /// The use attribute in the Bib-1 attribute set.
    pub use_attribute: i64,
    /// Whether its terms can be scanned.
    pub scan: bool,
    /// Whether results can be sorted by it. This requires the field's value in the record.
    pub sort: bool,
}

const fn index(
    name: &'static str,
    title: &'static str,
    use_attribute: i64,
    scan: bool,
    sort: bool,
) -> Index {
    Index {
        name,
        title,
        use_attribute,
        scan,
        sort,
    }
}

/// Any field, the index of a term without an explicit one.
pub const ANY: Index = index("cql.serverChoice", "Any field", 1016, true, false);

/// All indexes. If two share a use attribute, Z39.50 requests with that attribute refer to the
/// first.
pub const INDEXES: &[Index] = &[
    ANY,
    index("dc.title", "Title", 4, true, true),
    index("dc.creator", "Author", 1003, true, true),
    index("dc.subject", "Subject", 21, true, true),
    index("dc.date", "Date of publication", 31, true, true),
    index("dc.publisher", "Publisher", 1018, true, true),
    index("dc.description", "Abstract", 62, false, false),
    index("dc.language", "Language", 54, true, true),
    index("dc.identifier", "Identifier", 1007, true, true),
    index("bath.isbn", "ISBN", 7, true, false),
    index("bath.issn", "ISSN", 8, true, false),
    index(
        "bath.lccn",
        "Library of Congress card number",
        9,
        true,
        false,
    ),
    index("bath.name", "Name", 1002, true, false),
    index("bath.seriesTitle", "Series title", 5, true, false),
    index("bath.uniformTitle", "Uniform title", 6, true, false),
    index("rec.identifier", "Record identifier", 12, true, false),
];

/// The context sets, by short name and identifier.
pub const CONTEXT_SETS: &[(&str, &str)] = &[
    ("cql", "info:srw/cql-context-set/1/cql-v1.2"),
    ("dc", "info:srw/cql-context-set/1/dc-v1.1"),
    ("bath", "http://zing.z3950.org/cql/bath/2.0/"),
    ("rec", "info:srw/cql-context-set/2/rec-1.1"),
    ("sort", "info:srw/cql-context-set/1/sort-v1.0"),
];

/// The short name for a context set's identifier, regardless of the version at its end.
pub fn context_set(identifier: &str) -> Option<&'static str> {
    let stem = |full: &str| {
        full.trim_end_matches(|c: char| c.is_ascii_digit() || matches!(c, '.' | '-' | 'v'))
            .to_owned()
    };
    let wanted = stem(identifier);
    CONTEXT_SETS
        .iter()
        .find(|(_, known)| stem(known) == wanted)
        .map(|(short, _)| *short)
}

/// The index of this name, with or without its context set, regardless of case.
pub fn by_name(name: &str) -> Option<Index> {
    let plain = |full: &'static str| full.rsplit('.').next().unwrap_or_default();
    let name = name.to_ascii_lowercase();
    let known = |i: &&Index| {
        i.name.eq_ignore_ascii_case(&name) || plain(i.name).eq_ignore_ascii_case(&name)
    };
    match name.as_str() {
        "cql.anywhere" | "cql.anyindexes" | "anywhere" | "cql.keywords" | "keywords" => Some(ANY),
        "author" | "dc.author" => by_use(1003),
        "id" | "rec.id" => by_use(12),
        _ => INDEXES.iter().find(known).copied(),
    }
}

/// The index of a Bib-1 use attribute. Attributes with nearly the same meaning as a supported one
/// are mapped to that one.
pub fn by_use(value: i64) -> Option<Index> {
    let value = match value {
        1 | 1004 | 1005 | 1006 => 1003,
        30 => 31,
        46 | 47 | 27 => 21,
        1017 | 1035 | 1010 => 1016,
        other => other,
    };
    INDEXES.iter().find(|i| i.use_attribute == value).copied()
}

#[cfg(test)]
mod tests;
