//! The Contextual Query Language 1.2: a tree that both protocols share, read and written.

mod parse;
pub mod term;

pub use parse::parse;

use crate::index::Index;
use crate::sort::{Missing, SortKey};
use std::fmt;

/// How an index and a term are compared (CQL 1.2, "Relation").
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// `=`: the server's choice; here words in a row, as `adj`.
    Equal,
    /// `==`: the whole field.
    Exact,
    /// `<>`
    NotEqual,
    /// `any`: one word at least.
    Any,
    /// `all`: every word.
    All,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>=`
    GreaterOrEqual,
    /// `>`
    Greater,
    /// `within`: between the term's two values.
    Within,
    /// `encloses`: a range that holds the term.
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

    /// Its name in CQL.
    pub fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, r)| *r == self)
            .map_or("=", |(name, _)| name)
    }
}

/// How a term is understood (CQL context set 1.2, "Relation modifiers"): those that change what is
/// found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Modifier {
    /// Words of the same stem.
    Stem,
    /// Whatever seems relevant.
    Relevant,
    /// Words that sound alike.
    Phonetic,
    /// Words that are nearly so.
    Fuzzy,
    /// The term is words.
    Word,
    /// The term is one string.
    String,
    /// The term is a date of ISO 8601.
    IsoDate,
    /// The term is a number.
    Number,
    /// The term is a URI.
    Uri,
    /// Case does not matter.
    IgnoreCase,
    /// Case matters.
    RespectCase,
    /// Accents do not matter.
    IgnoreAccents,
    /// Accents matter.
    RespectAccents,
    /// `*`, `?` and `^` mask; they do so anyway.
    Masked,
    /// `*`, `?` and `^` are characters.
    Unmasked,
}

/// The modifiers by their names; explain lists them.
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

    /// Its name in CQL.
    pub fn name(self) -> &'static str {
        MODIFIERS
            .iter()
            .find(|(_, m)| *m == self)
            .map_or("masked", |(name, _)| name)
    }
}

/// One index, one term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Clause {
    /// What is searched.
    pub index: Index,
    /// How.
    pub relation: Relation,
    /// How the term is understood.
    pub modifiers: Vec<Modifier>,
    /// For what; masking characters are those that are not escaped.
    pub term: String,
}

/// What is counted between two terms.
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

    /// Its known unit code in a type-1 query.
    pub fn code(self) -> i64 {
        Self::NAMES
            .iter()
            .find(|(_, u, _)| *u == self)
            .map_or(2, |(.., code)| *code)
    }

    /// The unit of such a code.
    pub fn of_code(code: i64) -> Option<Unit> {
        Self::NAMES
            .iter()
            .find(|(.., c)| *c == code)
            .map(|(_, unit, _)| *unit)
    }
}

/// How near two terms must stand (CQL 1.2, "Proximity").
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proximity {
    /// How the distance compares: `<`, `<=`, `=`, `>=`, `>` or `<>`.
    pub relation: Relation,
    /// How far.
    pub distance: u32,
    /// In what.
    pub unit: Unit,
    /// Whether the first must stand first.
    pub ordered: bool,
}

impl Proximity {
    /// What `prox` alone means.
    pub const NEXT: Proximity = Proximity {
        relation: Relation::LessOrEqual,
        distance: 1,
        unit: Unit::Word,
        ordered: false,
    };
}

/// How two searches are joined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Boolean {
    /// Both.
    And,
    /// Either.
    Or,
    /// The first and not the second.
    Not,
    /// Both, near one another.
    Prox(Proximity),
}

/// A search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Node {
    /// One index, one term.
    Clause(Clause),
    /// The records of a set.
    Set(String),
    /// Two searches.
    Joined {
        /// How they are joined.
        boolean: Boolean,
        /// The one.
        left: Box<Node>,
        /// The other.
        right: Box<Node>,
    },
}

impl Node {
    /// The names of the sets in it.
    pub fn sets(&self) -> Vec<&str> {
        match self {
            Node::Clause(_) => Vec::new(),
            Node::Set(name) => vec![name],
            Node::Joined { left, right, .. } => [left.sets(), right.sets()].concat(),
        }
    }

    /// With each set in it replaced by the search that it was made of.
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

    /// How many clauses it has.
    pub fn clauses(&self) -> usize {
        match self {
            Node::Joined { left, right, .. } => left.clauses() + right.clauses(),
            _ => 1,
        }
    }
}

/// A search and the order of what it finds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The search.
    pub root: Node,
    /// `sortBy`, if there is one.
    pub sort: Vec<SortKey>,
}

fn quote(term: &str) -> String {
    // A quotation mark is the only character that quoting itself has to guard; escapes of masks
    // stay as they are.
    let mut out = String::with_capacity(term.len() + 2);
    out.push('"');
    for c in term.chars() {
        if c == '"' {
            out.push('\\');
        }
        out.push(c);
    }
    // A word may end in a lone escape, which would take the closing mark with it.
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
                // Booleans are read from the left, so only what stands on the right needs
                // parentheses.
                match **right {
                    Node::Joined { .. } => write!(f, "{left} {word} ({right})"),
                    _ => write!(f, "{left} {word} {right}"),
                }
            }
        }
    }
}

/// Writes `sortBy` with its keys.
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
