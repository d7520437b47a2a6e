//! The Contextual Query Language 1.2: parser, writer, and the query tree that both protocols share.

mod parse;
pub mod term;

pub use parse::parse;

use crate::index::Index;
use crate::sort::{Missing, SortKey};
use std::fmt;

/// A relation between an index and a term (CQL 1.2, "Relation").
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// `=`: the server's choice; here adjacent words, as with `adj`.
    Equal,
    /// `==`: the whole field.
    Exact,
    /// `<>`
    NotEqual,
    /// `any`: at least one of the words.
    Any,
    /// `all`: all words.
    All,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>=`
    GreaterOrEqual,
    /// `>`
    Greater,
    /// `within`: between the two values in the term.
    Within,
    /// `encloses`: a range that contains the term.
    Encloses,
}

impl Relation {
    const NAMES: &[(&str, Relation)] = &[
        ("=", Relation::Equal),
        ("adj", Relation::Equal),
        ("scr", Relation::Equal),
        ("==", Relation::Exact),
        ("exact", Relation::Exact),
        ("<>", Relation::NotEqual),
        ("any", Relation::Any),
        ("all", Relation::All),
        ("<", Relation::Less),
        ("<=", Relation::LessOrEqual),
        (">=", Relation::GreaterOrEqual),
        (">", Relation::Greater),
        ("within", Relation::Within),
        ("encloses", Relation::Encloses),
    ];

    fn named(name: &str) -> Option<Relation> {
        let name = name.to_ascii_lowercase();
        let name = name.strip_prefix("cql.").unwrap_or(&name);
        Self::NAMES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, relation)| *relation)
    }

    /// The name in CQL.
    pub fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, r)| *r == self)
            .map_or("=", |(name, _)| name)
    }
}

/// Relation modifiers that affect which records match (CQL context set 1.2, "Relation modifiers").
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Modifier {
    /// Words with the same stem.
    Stem,
    /// Records that the server considers relevant.
    Relevant,
    /// Words that sound alike.
    Phonetic,
    /// Similar words.
    Fuzzy,
    /// The term consists of words.
    Word,
    /// The term is a single string.
    String,
    /// The term is an ISO 8601 date.
    IsoDate,
    /// The term is a number.
    Number,
    /// The term is a URI.
    Uri,
    /// Ignore case.
    IgnoreCase,
    /// Respect case.
    RespectCase,
    /// Ignore accents.
    IgnoreAccents,
    /// Respect accents.
    RespectAccents,
    /// `*`, `?` and `^` are masking characters; this is the default.
    Masked,
    /// `*`, `?` and `^` are literal characters.
    Unmasked,
}

/// The modifiers by name. The explain record lists them.
pub const MODIFIERS: &[(&str, Modifier)] = &[
    ("stem", Modifier::Stem),
    ("relevant", Modifier::Relevant),
    ("phonetic", Modifier::Phonetic),
    ("fuzzy", Modifier::Fuzzy),
    ("word", Modifier::Word),
    ("string", Modifier::String),
    ("isoDate", Modifier::IsoDate),
    ("number", Modifier::Number),
    ("uri", Modifier::Uri),
    ("ignoreCase", Modifier::IgnoreCase),
    ("respectCase", Modifier::RespectCase),
    ("ignoreAccents", Modifier::IgnoreAccents),
    ("respectAccents", Modifier::RespectAccents),
    ("masked", Modifier::Masked),
    ("unmasked", Modifier::Unmasked),
];

impl Modifier {
    fn named(name: &str) -> Option<Modifier> {
        let name = name.strip_prefix("cql.").unwrap_or(name);
        MODIFIERS
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, m)| *m)
    }

    /// The name in CQL.
    pub fn name(self) -> &'static str {
        MODIFIERS
            .iter()
            .find(|(_, m)| *m == self)
            .map_or("masked", |(name, _)| name)
    }
}

/// A search clause: one index and one term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Clause {
    /// The index.
    pub index: Index,
    /// The relation.
    pub relation: Relation,
    /// The relation modifiers.
    pub modifiers: Vec<Modifier>,
    /// The term, in which unescaped masking characters mask.
    pub term: String,
}

/// The unit of a proximity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Words.
    Word,
    /// Sentences.
    Sentence,
    /// Paragraphs.
    Paragraph,
    /// Elements of the record.
    Element,
}

impl Unit {
    const NAMES: &[(&str, Unit, i64)] = &[
        ("word", Unit::Word, 2),
        ("sentence", Unit::Sentence, 3),
        ("paragraph", Unit::Paragraph, 4),
        ("element", Unit::Element, 8),
    ];

    fn named(name: &str) -> Option<Unit> {
        Self::NAMES
            .iter()
            .find(|(known, ..)| known.eq_ignore_ascii_case(name))
            .map(|(_, unit, _)| *unit)
    }

    fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, u, _)| *u == self)
            .map_or("word", |(name, ..)| name)
    }

    /// The KnownProximityUnit code in a type-1 query.
    pub fn code(self) -> i64 {
        Self::NAMES
            .iter()
            .find(|(_, u, _)| *u == self)
            .map_or(2, |(.., code)| *code)
    }

    /// The unit with this code.
    pub fn of_code(code: i64) -> Option<Unit> {
        Self::NAMES
            .iter()
            .find(|(.., c)| *c == code)
            .map(|(_, unit, _)| *unit)
    }
}

/// How close two terms must be (CQL 1.2, "Proximity").
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proximity {
    /// The comparison of the distance: `<`, `<=`, `=`, `>=`, `>` or `<>`.
    pub relation: Relation,
    /// The distance.
    pub distance: u32,
    /// The unit of the distance.
    pub unit: Unit,
    /// Whether the order of the terms matters.
    pub ordered: bool,
}

impl Proximity {
    /// The meaning of `prox` without modifiers.
    pub const NEXT: Proximity = Proximity {
        relation: Relation::LessOrEqual,
        distance: 1,
        unit: Unit::Word,
        ordered: false,
    };
}

/// A boolean operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Boolean {
    /// Records that match both operands.
    And,
    /// Records that match at least one operand.
    Or,
    /// Records that match only the left operand.
    Not,
    /// Records in which both operands match close to each other.
    Prox(Proximity),
}

/// A node of the query tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Node {
    /// A search clause.
    Clause(Clause),
    /// The records of a result set.
    Set(String),
    /// Two operands joined by a boolean.
    Joined {
        /// The operator.
        boolean: Boolean,
        /// The left operand.
        left: Box<Node>,
        /// The right operand.
        right: Box<Node>,
    },
}

impl Node {
    /// The names of the result sets in the query.
    pub fn sets(&self) -> Vec<&str> {
        match self {
            Node::Clause(_) => Vec::new(),
            Node::Set(name) => vec![name],
            Node::Joined { left, right, .. } => [left.sets(), right.sets()].concat(),
        }
    }

    /// Replaces each result set by the query that created it.
    pub fn resolve<E>(self, set: &mut impl FnMut(&str) -> Result<Node, E>) -> Result<Node, E> {
        Ok(match self {
            Node::Set(name) => set(&name)?,
            Node::Joined {
                boolean,
                left,
                right,
            } => Node::Joined {
                boolean,
                left: Box::new(left.resolve(set)?),
                right: Box::new(right.resolve(set)?),
            },
            clause => clause,
        })
    }

    /// The number of clauses.
    pub fn clauses(&self) -> usize {
        match self {
            Node::Joined { left, right, .. } => left.clauses() + right.clauses(),
            _ => 1,
        }
    }
}

/// A query with its sort keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The query tree.
    pub root: Node,
    /// The keys of `sortBy`, if present.
    pub sort: Vec<SortKey>,
}

fn quote(term: &str) -> String {
    // Within quotes only the quotation mark needs an escape; existing escapes of masking characters
    // remain.
    let mut out = String::with_capacity(term.len() + 2);
    out.push('"');
    for c in term.chars() {
        if c == '"' {
            out.push('\\');
        }
        out.push(c);
    }
    // A single backslash at the end would escape the closing quote.
    if term.chars().rev().take_while(|c| *c == '\\').count() % 2 == 1 {
        out.push('\\');
    }
    out.push('"');
    out
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Node::Clause(clause) => {
                write!(f, "{} {}", clause.index.name, clause.relation.name())?;
                for modifier in &clause.modifiers {
                    write!(f, "/{}", modifier.name())?;
                }
                write!(f, " {}", quote(&clause.term))
            }
            Node::Set(name) => write!(f, "cql.resultSetId = {}", quote(&term::literal(name))),
            Node::Joined {
                boolean,
                left,
                right,
            } => {
                let word = match boolean {
                    Boolean::And => "and".to_owned(),
                    Boolean::Or => "or".to_owned(),
                    Boolean::Not => "not".to_owned(),
                    Boolean::Prox(p) => format!(
                        "prox/unit={}/distance{}{}/{}",
                        p.unit.name(),
                        p.relation.name(),
                        p.distance,
                        if p.ordered { "ordered" } else { "unordered" }
                    ),
                };
                // Booleans are left-associative, so only a compound right operand needs
                // parentheses.
                match **right {
                    Node::Joined { .. } => write!(f, "{left} {word} ({right})"),
                    _ => write!(f, "{left} {word} {right}"),
                }
            }
        }
    }
}

/// Writes `sortBy` and its keys.
pub fn write_sort(keys: &[SortKey]) -> String {
    let mut out = String::new();
    for key in keys {
        out.push_str(if out.is_empty() { "sortBy " } else { " " });
        out.push_str(&key.index);
        out.push_str(if key.ascending {
            "/sort.ascending"
        } else {
            "/sort.descending"
        });
        out.push_str(if key.case {
            "/sort.respectCase"
        } else {
            "/sort.ignoreCase"
        });
        out.push_str(&match &key.missing {
            Missing::Fail => "/sort.missingFail".to_owned(),
            Missing::Low => "/sort.missingLow".to_owned(),
            Missing::High => "/sort.missingHigh".to_owned(),
            Missing::Constant(text) => format!("/sort.missingValue={}", quote(text)),
        });
    }
    out
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.root.fmt(f)?;
        if self.sort.is_empty() {
            Ok(())
        } else {
            write!(f, " {}", write_sort(&self.sort))
        }
    }
}
