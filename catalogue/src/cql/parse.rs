//! The CQL parser. Nesting depth and the number of clauses are limited, so that the cost of a query
//! is bounded by its length.

use super::{Boolean, Clause, Modifier, Node, Proximity, Query, Relation, Unit};
use crate::fault::{Fault, Kind};
use crate::index::{self, ANY};
use crate::sort::{Missing, SortKey};
use std::collections::BTreeMap;

/// Maximum number of keys in `sortBy`.
const SORT_KEYS: usize = 8;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Token {
    Word(String),
    Quoted(String),
    Symbol(&'static str),
}

fn syntax(what: impl Into<String>) -> Fault {
    Kind::SYNTAX.of(what)
}

fn tokens(text: &str) -> Result<Vec<Token>, Fault> {
    const SYMBOLS: &[&str] = &["==", "<=", ">=", "<>", "=", "<", ">", "/", "(", ")"];
    let mut found = Vec::new();
    let mut rest = text;
    loop {
        rest = rest.trim_start();
        let Some(first) = rest.chars().next() else {
            return Ok(found);
        };
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

fn quoted(text: &str) -> Result<(String, &str), Fault> {
    let mut term = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Ok((term, &text[at + 1..])),
            '\\' => match chars.next() {
                Some((_, '"')) => term.push('"'),
                // Other escapes are kept, because they distinguish literal characters from masking
                // characters.
                Some((_, other)) => term.extend(['\\', other]),
                None => break,
            },
            other => term.push(other),
        }
    }
    Err(syntax("a quote is not closed"))
}

struct Parser {
    tokens: std::iter::Peekable<std::vec::IntoIter<Token>>,
    /// Context sets by the prefixes that the query assigns. The empty prefix applies to names
    /// without one.
    prefixes: BTreeMap<String, &'static str>,
    depth: usize,
    max_depth: usize,
    clauses: usize,
}

/// Parses a query with at most `max_depth` levels of nesting and four times as many clauses.
pub fn parse(text: &str, max_depth: usize) -> Result<Query, Fault> {
    let tokens = tokens(text)?.into_iter().peekable();
    let mut parser = Parser {
        tokens,
        prefixes: BTreeMap::new(),
        depth: 0,
        max_depth,
        clauses: 0,
    };
    let root = parser.query()?;
    let sort = if parser.word_is("sortby") {
        parser.sort_by()?
    } else {
        Vec::new()
    };
    match parser.tokens.next() {
        None => Ok(Query { root, sort }),
        Some(_) => Err(syntax("something follows the query's end")),
    }
}

impl Parser {
    fn word_is(&mut self, wanted: &str) -> bool {
        matches!(self.tokens.peek(), Some(Token::Word(word)) if word.eq_ignore_ascii_case(wanted))
    }

    fn symbol(&mut self, wanted: &'static str) -> bool {
        self.tokens
            .next_if(|token| *token == Token::Symbol(wanted))
            .is_some()
    }

    fn text(&mut self, what: &str) -> Result<String, Fault> {
        match self.tokens.next() {
            Some(Token::Word(text) | Token::Quoted(text)) => Ok(text),
            _ => Err(syntax(format!("{what} is missing"))),
        }
    }

    fn query(&mut self) -> Result<Node, Fault> {
        self.depth += 1;
        if self.depth > self.max_depth {
            return Err(Kind::TOO_COMPLEX.of(self.max_depth.to_string()));
        }
        let outer = self.prefixes.clone();
        while self.symbol(">") {
            self.prefix()?;
        }
        let mut left = self.clause()?;
        while let Some(Token::Word(word)) = self.tokens.peek() {
            let mut boolean = match word.to_ascii_lowercase().as_str() {
                "and" => Boolean::And,
                "or" => Boolean::Or,
                "not" => Boolean::Not,
                "prox" => Boolean::Prox(Proximity::NEXT),
                _ => break,
            };
            self.tokens.next();
            while self.symbol("/") {
                self.boolean_modifier(&mut boolean)?;
            }
            let right = self.clause()?;
            left = Node::Joined {
                boolean,
                left: Box::new(left),
                right: Box::new(right),
            };
        }
        // A prefix applies only within the query that it precedes.
        self.prefixes = outer;
        self.depth -= 1;
        Ok(left)
    }

    /// Parses `> name = "identifier"` or `> "identifier"` after the `>`.
    fn prefix(&mut self) -> Result<(), Fault> {
        let first = self.text("a prefix")?;
        let (name, identifier) = if self.symbol("=") {
            (first, self.text("a context set's identifier")?)
        } else {
            (String::new(), first)
        };
        let set =
            index::context_set(&identifier).ok_or_else(|| Kind::CONTEXT_SET.of(identifier))?;
        if self.prefixes.len() >= 32 {
            return Err(Kind::TOO_COMPLEX.of("prefixes"));
        }
        self.prefixes.insert(name.to_ascii_lowercase(), set);
        Ok(())
    }

    fn boolean_modifier(&mut self, boolean: &mut Boolean) -> Result<(), Fault> {
        let name = self.text("a modifier")?;
        let Boolean::Prox(near) = boolean else {
            return Err(Kind::BOOLEAN_MODIFIER.of(name));
        };
        let plain = name
            .strip_prefix("cql.")
            .unwrap_or(&name)
            .to_ascii_lowercase();
        match plain.as_str() {
            "ordered" => near.ordered = true,
            "unordered" => near.ordered = false,
            "unit" => {
                if !self.symbol("=") {
                    return Err(syntax("a unit is missing"));
                }
                let unit = self.text("a unit")?;
                near.unit = Unit::named(&unit).ok_or_else(|| Kind::PROXIMITY_UNIT.of(unit))?;
            }
            "distance" => {
                let relation = match self.tokens.next() {
                    Some(Token::Symbol(symbol))
                        if symbol != "(" && symbol != ")" && symbol != "/" =>
                    {
                        Relation::named(symbol).filter(|r| *r != Relation::Exact)
                    }
                    _ => None,
                };
                near.relation = relation.ok_or_else(|| syntax("a distance is missing"))?;
                let distance = self.text("a distance")?;
                near.distance = distance.parse().map_err(|_| Kind::PROXIMITY.of(distance))?;
            }
            _ => return Err(Kind::BOOLEAN_MODIFIER.of(name)),
        }
        Ok(())
    }

    fn clause(&mut self) -> Result<Node, Fault> {
        // Operators nest to the left, so the tree of a long chain of clauses is as deep as the
        // chain is long.
        self.clauses += 1;
        if self.clauses > 4 * self.max_depth {
            return Err(Kind::TOO_COMPLEX.of((4 * self.max_depth).to_string()));
        }
        match self.tokens.next() {
            Some(Token::Symbol("(")) => {
                let node = self.query()?;
                if self.symbol(")") {
                    Ok(node)
                } else {
                    Err(syntax("a parenthesis is not closed"))
                }
            }
            Some(Token::Quoted(term)) => self.clause_from_first_word(term, true),
            Some(Token::Word(word)) => self.clause_from_first_word(word, false),
            Some(Token::Symbol(other)) => Err(syntax(format!("unexpected {other}"))),
            None => Err(syntax("a search term is missing")),
        }
    }

    /// The first word is an index if a relation follows, otherwise the term.
    fn clause_from_first_word(&mut self, first: String, quoted: bool) -> Result<Node, Fault> {
        let named = match self.tokens.peek() {
            Some(Token::Symbol(symbol)) if !matches!(*symbol, "(" | ")" | "/") => {
                Some((*symbol).to_owned())
            }
            Some(Token::Word(word)) => (Relation::named(word).is_some()
                // The relation of another context set contains a dot, unlike any boolean.
                || word.contains('.') && !quoted)
                .then(|| word.clone()),
            _ => None,
        };
        let Some(named) = named else {
            if !quoted
                && matches!(
                    first.to_ascii_lowercase().as_str(),
                    "and" | "or" | "not" | "prox" | "sortby"
                )
            {
                return Err(syntax(format!(
                    "{first} stands where a search term is wanted"
                )));
            }
            return Ok(Node::Clause(Clause {
                index: ANY,
                relation: Relation::Equal,
                modifiers: Vec::new(),
                term: first,
            }));
        };
        self.tokens.next();
        let mut modifiers = Vec::new();
        while self.symbol("/") {
            let name = self.text("a modifier")?;
            let modifier = Modifier::named(&name).ok_or_else(|| Kind::MODIFIER.of(name))?;
            if !modifiers.contains(&modifier) {
                modifiers.push(modifier);
            }
        }
        let relation = Relation::named(&named).ok_or(Kind::RELATION.of(named))?;
        let term = self.text("a search term")?;
        if first.eq_ignore_ascii_case("cql.resultSetId") {
            return Ok(Node::Set(super::term::parse(&term).plain()));
        }
        let index = self.index(&first)?;
        Ok(Node::Clause(Clause {
            index,
            relation,
            modifiers,
            term,
        }))
    }

    fn index(&self, name: &str) -> Result<index::Index, Fault> {
        let full = match name.split_once('.') {
            None => self.prefixes.get("").map(|set| format!("{set}.{name}")),
            Some((prefix, rest)) => self
                .prefixes
                .get(&prefix.to_ascii_lowercase())
                .map(|set| format!("{set}.{rest}")),
        };
        index::by_name(full.as_deref().unwrap_or(name)).ok_or_else(|| Kind::INDEX.of(name))
    }

    /// Parses `sortBy` and its keys (CQL 1.2, "Sorting").
    fn sort_by(&mut self) -> Result<Vec<SortKey>, Fault> {
        self.tokens.next();
        let mut keys: Vec<SortKey> = Vec::new();
        while self.tokens.peek().is_some() {
            if keys.len() >= SORT_KEYS {
                return Err(Kind::SORT_KEYS.of(SORT_KEYS.to_string()));
            }
            let name = self.text("a sort key")?;
            let index = self.index(&name).ok().filter(|i| i.sort);
            let mut key = SortKey::by(&index.ok_or_else(|| Kind::SORT_KEY.of(name))?);
            while self.symbol("/") {
                let name = self.text("a modifier")?;
                let plain = name
                    .strip_prefix("sort.")
                    .unwrap_or(&name)
                    .to_ascii_lowercase();
                match plain.as_str() {
                    "ascending" => key.ascending = true,
                    "descending" => key.ascending = false,
                    "ignorecase" => key.case = false,
                    "respectcase" => key.case = true,
                    "missingfail" => key.missing = Missing::Fail,
                    "missinglow" => key.missing = Missing::Low,
                    "missinghigh" => key.missing = Missing::High,
                    "missingomit" => return Err(Kind::SORT_MISSING_ACTION.of("missingOmit")),
                    "missingvalue" => {
                        if !self.symbol("=") {
                            return Err(syntax("a value is missing"));
                        }
                        key.missing = Missing::Constant(self.text("a value")?);
                    }
                    _ => return Err(Kind::SORT_KEY.of(name)),
                }
            }
            keys.push(key);
        }
        if keys.is_empty() {
            Err(syntax("a sort key is missing"))
        } else {
            Ok(keys)
        }
    }
}

#[cfg(test)]
mod tests;
