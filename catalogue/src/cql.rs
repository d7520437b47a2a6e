//! The Contextual Query Language: parsed into a tree that both protocols share, and written again.

use std::fmt;

/// What is wrong with a query, as both standards number it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CqlError {
    /// It breaks the grammar.
    Syntax(String),
    /// An index that is not searched here.
    Index(String),
    /// A relation that is not known here.
    Relation(String),
    /// A relation modifier; none is known here.
    RelationModifier(String),
    /// A boolean other than and, or, not.
    Boolean(String),
    /// Nested deeper than the limit.
    TooDeep,
    /// Sorting; results are in the slices' order.
    Sort,
    /// A feature of the language that is not supported.
    Feature(&'static str),
}

impl fmt::Display for CqlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CqlError::Syntax(what) => write!(f, "query syntax: {what}"),
            CqlError::Index(index) => write!(f, "unsupported index {index}"),
            CqlError::Relation(relation) => write!(f, "unsupported relation {relation}"),
            CqlError::RelationModifier(modifier) => write!(f, "unsupported relation modifier {modifier}"),
            CqlError::Boolean(boolean) => write!(f, "unsupported boolean {boolean}"),
            CqlError::TooDeep => f.write_str("too many booleans"),
            CqlError::Sort => f.write_str("sorting is not supported"),
            CqlError::Feature(what) => write!(f, "unsupported: {what}"),
        }
    }
}

impl std::error::Error for CqlError {}

/// What is searched, in both protocols' terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Index {
    /// The index's name in CQL.
    pub name: &'static str,
    /// Its title for people.
    pub title: &'static str,
    /// Its use attribute in the Bib-1 attribute set.
    pub use_attribute: i64,
}

/// Every index; the first stands for any field.
pub const INDEXES: &[Index] = &[
    Index { name: "cql.serverChoice", title: "Any field", use_attribute: 1016 },
    Index { name: "dc.title", title: "Title", use_attribute: 4 },
    Index { name: "dc.creator", title: "Author", use_attribute: 1003 },
    Index { name: "dc.subject", title: "Subject", use_attribute: 21 },
    Index { name: "dc.date", title: "Date of publication", use_attribute: 31 },
    Index { name: "bath.isbn", title: "ISBN", use_attribute: 7 },
];

/// How an index and a term are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// `=`: the server's choice, words in a row.
    Equal,
    /// `==`: the whole field.
    Exact,
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
}

impl Relation {
    const NAMES: &[(&str, Relation)] = &[
        ("=", Relation::Equal),
        ("adj", Relation::Equal),
        ("scr", Relation::Equal),
        ("cql.scr", Relation::Equal),
        ("==", Relation::Exact),
        ("exact", Relation::Exact),
        ("all", Relation::All),
        ("<", Relation::Less),
        ("<=", Relation::LessOrEqual),
        (">=", Relation::GreaterOrEqual),
        (">", Relation::Greater),
    ];

    fn name(self) -> &'static str {
        Self::NAMES.iter().find(|(_, r)| *r == self).map_or("=", |(name, _)| name)
    }
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
}

/// A search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Node {
    /// One index, one term.
    Clause {
        /// What is searched.
        index: Index,
        /// How.
        relation: Relation,
        /// For what.
        term: String,
    },
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

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Node::Clause { index, relation, term } => {
                let escaped = term.replace('\\', "\\\\").replace('"', "\\\"");
                write!(f, "{} {} \"{escaped}\"", index.name, relation.name())
            }
            Node::Joined { boolean, left, right } => {
                let word = match boolean {
                    Boolean::And => "and",
                    Boolean::Or => "or",
                    Boolean::Not => "not",
                };
                // Booleans are read from the left, so only what stands on the right needs parentheses.
                match **right {
                    Node::Joined { .. } => write!(f, "{left} {word} ({right})"),
                    Node::Clause { .. } => write!(f, "{left} {word} {right}"),
                }
            }
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Token {
    Word(String),
    Quoted(String),
    Symbol(&'static str),
}

fn tokens(text: &str) -> Result<Vec<Token>, CqlError> {
    const SYMBOLS: &[&str] = &["==", "<=", ">=", "<>", "=", "<", ">", "/", "(", ")"];
    let mut found = Vec::new();
    let mut rest = text;
    loop {
        rest = rest.trim_start();
        let Some(first) = rest.chars().next() else { return Ok(found) };
        if first == '"' {
            let (term, after) = quoted(&rest[1..])?;
            found.push(Token::Quoted(term));
            rest = after;
        } else if let Some(symbol) = SYMBOLS.iter().find(|s| rest.starts_with(**s)) {
            found.push(Token::Symbol(symbol));
            rest = &rest[symbol.len()..];
        } else {
            let stop = |c: char| c.is_whitespace() || "=<>/()\"".contains(c);
            let end = rest.find(stop).unwrap_or(rest.len());
            found.push(Token::Word(rest[..end].to_owned()));
            rest = &rest[end..];
        }
    }
}

fn quoted(text: &str) -> Result<(String, &str), CqlError> {
    let mut term = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Ok((term, &text[at + 1..])),
            '\\' => match chars.next() {
                Some((_, escaped @ ('"' | '\\'))) => term.push(escaped),
                // Masking characters keep their escape, as the index host reads it.
                Some((_, other)) => term.extend(['\\', other]),
                None => break,
            },
            other => term.push(other),
        }
    }
    Err(CqlError::Syntax("a quote is not closed".to_owned()))
}

struct Parser {
    tokens: std::iter::Peekable<std::vec::IntoIter<Token>>,
    depth: usize,
    most: usize,
    clauses: usize,
}

/// Parses a query nested no deeper than `most`, with at most four times as many clauses.
pub fn parse(text: &str, most: usize) -> Result<Node, CqlError> {
    let tokens = tokens(text)?.into_iter().peekable();
    let mut parser = Parser { tokens, depth: 0, most, clauses: 0 };
    let node = parser.query()?;
    match parser.tokens.next() {
        None => Ok(node),
        Some(Token::Word(word)) if word.eq_ignore_ascii_case("sortby") => Err(CqlError::Sort),
        Some(_) => Err(CqlError::Syntax("something follows the query's end".to_owned())),
    }
}

impl Parser {
    fn query(&mut self) -> Result<Node, CqlError> {
        self.depth += 1;
        if self.depth > self.most {
            return Err(CqlError::TooDeep);
        }
        let mut left = self.clause()?;
        while let Some(Token::Word(word)) = self.tokens.peek() {
            let boolean = match word.to_ascii_lowercase().as_str() {
                "and" => Boolean::And,
                "or" => Boolean::Or,
                "not" => Boolean::Not,
                "prox" => return Err(CqlError::Boolean("prox".to_owned())),
                _ => break,
            };
            self.tokens.next();
            if self.tokens.peek() == Some(&Token::Symbol("/")) {
                return Err(CqlError::Feature("boolean modifiers"));
            }
            let right = self.clause()?;
            left = Node::Joined { boolean, left: Box::new(left), right: Box::new(right) };
        }
        self.depth -= 1;
        Ok(left)
    }

    fn clause(&mut self) -> Result<Node, CqlError> {
        // A long chain of clauses makes a tree as deep as it is long.
        self.clauses += 1;
        if self.clauses > 4 * self.most {
            return Err(CqlError::TooDeep);
        }
        match self.tokens.next() {
            Some(Token::Symbol("(")) => {
                let node = self.query()?;
                match self.tokens.next() {
                    Some(Token::Symbol(")")) => Ok(node),
                    _ => Err(CqlError::Syntax("a parenthesis is not closed".to_owned())),
                }
            }
            Some(Token::Symbol(">")) => Err(CqlError::Feature("prefix assignment")),
            Some(Token::Quoted(term)) => self.after_operand(term, true),
            Some(Token::Word(word)) => self.after_operand(word, false),
            Some(Token::Symbol(other)) => Err(CqlError::Syntax(format!("unexpected {other}"))),
            None => Err(CqlError::Syntax("a search term is missing".to_owned())),
        }
    }

    /// A first word is an index where a relation follows it, else the term itself.
    fn after_operand(&mut self, first: String, quoted: bool) -> Result<Node, CqlError> {
        let named = match self.tokens.peek() {
            Some(Token::Symbol(symbol)) if !matches!(*symbol, "(" | ")" | "/") => Some((*symbol).to_owned()),
            Some(Token::Word(word)) => {
                let word = word.to_ascii_lowercase();
                let known = Relation::NAMES.iter().any(|(name, _)| *name == word);
                let other = matches!(word.as_str(), "any" | "within" | "encloses" | "partial");
                (known || other).then_some(word)
            }
            _ => None,
        };
        let Some(named) = named.filter(|_| !quoted) else {
            return Ok(Node::Clause { index: INDEXES[0], relation: Relation::Equal, term: first });
        };
        self.tokens.next();
        if self.tokens.peek() == Some(&Token::Symbol("/")) {
            self.tokens.next();
            let modifier = match self.tokens.next() {
                Some(Token::Word(word)) => word,
                _ => return Err(CqlError::Syntax("a modifier is missing".to_owned())),
            };
            return Err(CqlError::RelationModifier(modifier));
        }
        let relation = Relation::NAMES.iter().find(|(name, _)| *name == named).map(|(_, r)| *r);
        let relation = relation.ok_or(CqlError::Relation(named))?;
        let term = match self.tokens.next() {
            Some(Token::Quoted(term) | Token::Word(term)) => term,
            _ => return Err(CqlError::Syntax("a search term is missing".to_owned())),
        };
        let index = index(&first).ok_or(CqlError::Index(first))?;
        Ok(Node::Clause { index, relation, term })
    }
}

/// The index of a name, with or without its context set.
fn index(name: &str) -> Option<Index> {
    let plain = |full: &str| full.rsplit('.').next().unwrap_or_default().to_owned();
    let name = name.to_ascii_lowercase();
    let known = |i: &&Index| i.name.eq_ignore_ascii_case(&name) || plain(i.name).eq_ignore_ascii_case(&name);
    match name.as_str() {
        "cql.anywhere" | "cql.anyindexes" | "anywhere" => Some(INDEXES[0]),
        "author" | "dc.author" => INDEXES.iter().find(|i| i.use_attribute == 1003).copied(),
        _ => INDEXES.iter().find(known).copied(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn queries_are_read_and_written_and_faults_named() {
        let say = |text: &str| match parse(text, 8) {
            Ok(node) => {
                // What is written is read as the same tree.
                assert_eq!(parse(&node.to_string(), 16), Ok(node.clone()));
                node.to_string()
            }
            Err(problem) => problem.to_string(),
        };
        let cases = [
            "moon",
            r#""moon \"rabbit\"""#,
            "title = moon and (author all \"a b\" or dc.date >= 2001) not isbn == 1",
            "shoesize = 4",
            "title any moon",
            "title =/stem moon",
            "a prox b",
            "a sortby title",
            "(a",
            "title =",
            "> dc = \"x\" title = a",
            "((((((((((a))))))))))",
        ];
        let said: Vec<String> = cases.iter().map(|case| format!("{case} -> {}", say(case))).collect();
        insta::assert_snapshot!(said.join("\n"));
    }
}
