//! Conversion between the CQL tree and Z39.50 type-1 and type-101 queries (appendix 3, RPNQuery)
//! with Bib-1 attributes.

use crate::ber::{Class, Item, Writer, universal};
use crate::cql::term::{self, Mask};
use crate::cql::{Boolean, Clause, Modifier, Node, Proximity, Relation, Unit};
use crate::fault::{Fault, Kind};
use crate::index::{self, ANY, Index};

/// The Bib-1 attribute set.
pub const BIB1: &str = "1.2.840.10003.3.1";

/// Tags in a query.
pub mod tag {
    /// Attributes and a term.
    pub const OPERAND: u32 = 102;
    /// A list of attributes.
    pub const ATTRIBUTES: u32 = 44;
    /// The type of an attribute.
    pub const TYPE: u32 = 120;
    /// The value of an attribute, if numeric.
    pub const VALUE: u32 = 121;
    /// A term as octets.
    pub const TERM: u32 = 45;
    /// A numeric term.
    pub const TERM_NUMBER: u32 = 215;
    /// A term as characters.
    pub const TERM_TEXT: u32 = 216;
    /// The name of a result set.
    pub const SET: u32 = 31;
    /// An operator.
    pub const OPERATOR: u32 = 46;
}

fn malformed() -> Fault {
    Kind::SYNTAX.of("a malformed type-1 query")
}

/// Reads the query field of a search request, with at most `max_clauses` clauses.
pub fn read(query: &Item, max_clauses: usize) -> Result<Node, Fault> {
    let rpn = match query.items().first() {
        Some(item) if item.class == Class::Context && matches!(item.tag, 1 | 101) => item,
        Some(item) => return Err(Kind::QUERY_TYPE.of(format!("type-{}", item.tag))),
        None => return Err(malformed()),
    };
    let [set, structure] = rpn.items() else {
        return Err(malformed());
    };
    require_bib1(set)?;
    let mut clauses_left = max_clauses;
    read_structure(structure, &mut clauses_left)
}

/// Reads the attributes and term of a scan (APDU ScanRequest, termListAndStartPoint).
pub fn read_clause(set: Option<&Item>, operand: &Item) -> Result<Clause, Fault> {
    set.map_or(Ok(()), require_bib1)?;
    clause(operand)
}

fn require_bib1(set: &Item) -> Result<(), Fault> {
    match set.oid() {
        Some(oid) if oid == BIB1 => Ok(()),
        other => Err(Kind::CONTEXT_SET.of(other.unwrap_or_default())),
    }
}

fn read_structure(item: &Item, clauses_left: &mut usize) -> Result<Node, Fault> {
    match item.tag {
        0 => {
            *clauses_left = clauses_left
                .checked_sub(1)
                .ok_or_else(|| Kind::TOO_COMPLEX.of(""))?;
            operand(item.items().first().ok_or_else(malformed)?)
        }
        1 => {
            let [one, other, operator] = item.items() else {
                return Err(malformed());
            };
            let operator = operator.items().first().ok_or_else(malformed)?;
            let boolean = match operator.tag {
                0 => Boolean::And,
                1 => Boolean::Or,
                2 => Boolean::Not,
                3 => Boolean::Prox(proximity(operator)?),
                other => return Err(Kind::BOOLEAN.of(other.to_string())),
            };
            let (one, other) = (
                read_structure(one, clauses_left)?,
                read_structure(other, clauses_left)?,
            );
            Ok(Node::Joined {
                boolean,
                left: Box::new(one),
                right: Box::new(other),
            })
        }
        _ => Err(malformed()),
    }
}

fn proximity(item: &Item) -> Result<Proximity, Fault> {
    let number = |tag| item.get(tag).and_then(Item::integer);
    if item.get(1).and_then(Item::boolean) == Some(true) {
        return Err(Kind::PROXIMITY.of("exclusion"));
    }
    let relation = match number(4) {
        Some(1) => Relation::Less,
        Some(2) => Relation::LessOrEqual,
        Some(3) => Relation::Equal,
        Some(4) => Relation::GreaterOrEqual,
        Some(5) => Relation::Greater,
        Some(6) => Relation::NotEqual,
        other => return Err(Kind::PROXIMITY.of(format!("relation {}", other.unwrap_or(0)))),
    };
    let distance = number(2)
        .and_then(|n| u32::try_from(n).ok())
        .ok_or_else(malformed)?;
    let code = item
        .get(5)
        .and_then(|choice| choice.get(1))
        .and_then(Item::integer);
    let unit = code
        .and_then(Unit::of_code)
        .ok_or_else(|| Kind::PROXIMITY_UNIT.of(code.unwrap_or(0).to_string()))?;
    let ordered = item.get(3).and_then(Item::boolean).ok_or_else(malformed)?;
    Ok(Proximity {
        relation,
        distance,
        unit,
        ordered,
    })
}

fn operand(item: &Item) -> Result<Node, Fault> {
    match item.tag {
        tag::OPERAND => Ok(Node::Clause(clause(item)?)),
        tag::SET => Ok(Node::Set(item.text().ok_or_else(malformed)?)),
        // A result set restricted by attributes.
        214 => Err(Kind::FEATURE.of("a result set with attributes")),
        _ => Err(malformed()),
    }
}

/// The attributes of a term.
#[derive(Default)]
struct Attributes {
    index: Option<Index>,
    relation: Option<Relation>,
    modifiers: Vec<Modifier>,
    first: bool,
    word_list: bool,
    complete: bool,
    truncation: Option<i64>,
    always: bool,
}

impl Attributes {
    fn read(item: &Item) -> Result<Attributes, Fault> {
        let mut all = Attributes::default();
        for attribute in item
            .get(tag::ATTRIBUTES)
            .map(Item::items)
            .unwrap_or_default()
        {
            let number = |tag| attribute.get(tag).and_then(Item::integer);
            if let Some(set) = attribute.get(1) {
                require_bib1(set)?;
            }
            let kind = number(tag::TYPE).ok_or_else(malformed)?;
            let Some(value) = number(tag::VALUE) else {
                return Err(Kind::ATTRIBUTE_TYPE.of(format!("type {kind} with a complex value")));
            };
            all.add(kind, value)?;
        }
        Ok(all)
    }

    fn add(&mut self, kind: i64, value: i64) -> Result<(), Fault> {
        let unsupported = |kind: Kind| Err(kind.of(value.to_string()));
        match (kind, value) {
            (1, _) => match index::by_use(value) {
                Some(index) => self.index = Some(index),
                None => return unsupported(Kind::INDEX),
            },
            (2, 1) => self.relation = Some(Relation::Less),
            (2, 2) => self.relation = Some(Relation::LessOrEqual),
            (2, 3) => {}
            (2, 4) => self.relation = Some(Relation::GreaterOrEqual),
            (2, 5) => self.relation = Some(Relation::Greater),
            (2, 6) => self.relation = Some(Relation::NotEqual),
            (2, 100) => self.modifiers.push(Modifier::Phonetic),
            (2, 101) => self.modifiers.push(Modifier::Stem),
            (2, 102) => self.modifiers.push(Modifier::Relevant),
            (2, 103) => self.always = true,
            (2, _) => return unsupported(Kind::RELATION),
            (3, 1 | 2) => self.first = true,
            (3, 3) => {}
            (3, _) => return unsupported(Kind::ANCHOR),
            // Phrase, word, key, name and string: the index decides.
            (4, 1 | 2 | 3 | 101 | 102) => {}
            (4, 4 | 5 | 100) => self.modifiers.push(Modifier::IsoDate),
            (4, 6 | 105 | 106) => self.word_list = true,
            (4, 104) => self.modifiers.push(Modifier::Uri),
            (4, 108) => self.modifiers.push(Modifier::String),
            (4, 107 | 109) => self.modifiers.push(Modifier::Number),
            (4, _) => return unsupported(Kind::MODIFIER),
            (5, 1..=3 | 101 | 104) => self.truncation = Some(value),
            (5, 100) => {}
            (5, _) => return unsupported(Kind::MASKING),
            (6, 1 | 2) => {}
            (6, 3) => self.complete = true,
            (6, _) => return Err(Kind { bib1: 122, sru: 48 }.of(value.to_string())),
            // Sort hints are not part of the search.
            (7, _) => return Err(Kind::ATTRIBUTE_TYPE.of("7: use the sort service")),
            (other, _) => return Err(Kind::ATTRIBUTE_TYPE.of(other.to_string())),
        }
        Ok(())
    }

    fn term(&self, text: &str) -> String {
        let literal = term::literal(text);
        let anchor = if self.first { "^" } else { "" };
        let masked = match self.truncation {
            Some(1) => format!("{literal}*"),
            Some(2) => format!("*{literal}"),
            Some(3) => format!("*{literal}*"),
            // `#` is any number of characters in truncation 101, but one character in 104.
            Some(101) => literal.replace('#', "*"),
            Some(104) => text
                .chars()
                .map(|c| match c {
                    '?' => "*".to_owned(),
                    '#' => "?".to_owned(),
                    c => term::literal(&c.to_string()),
                })
                .collect(),
            _ => literal,
        };
        anchor.to_owned() + &masked
    }
}

fn clause(item: &Item) -> Result<Clause, Fault> {
    let attributes = Attributes::read(item)?;
    let term = item
        .items()
        .iter()
        .find(|i| matches!(i.tag, tag::TERM | tag::TERM_NUMBER | tag::TERM_TEXT));
    let text = match term.ok_or_else(|| Kind::TERM_TYPE.of(""))? {
        number if number.tag == tag::TERM_NUMBER => number.integer().map(|n| n.to_string()),
        text => text.text(),
    };
    let text = text.ok_or_else(|| Kind::TERM.of("not valid UTF-8"))?;
    let relation =
        attributes
            .relation
            .unwrap_or(match (attributes.complete, attributes.word_list) {
                (true, _) => Relation::Exact,
                (_, true) => Relation::All,
                _ => Relation::Equal,
            });
    // Always-matches: any record that has the field.
    let term = if attributes.always {
        "*".to_owned()
    } else {
        attributes.term(&text)
    };
    Ok(Clause {
        index: attributes.index.unwrap_or(ANY),
        relation,
        modifiers: attributes.modifiers,
        term,
    })
}

/// Writes a type-1 query into the query field of a search request. Fails if Bib-1 cannot express
/// it.
pub fn write(node: &Node, out: &mut Writer) -> Result<(), Fault> {
    // A separate writer, so that nothing is written if the query cannot be expressed.
    let mut rpn = Writer::default();
    write_structure(node, &mut rpn)?;
    out.inside(1, |inner| {
        inner.oid(BIB1);
        inner.append(rpn);
    });
    Ok(())
}

/// Writes attributes and a term into a scan request.
pub fn write_clause(clause: &Clause, out: &mut Writer) -> Result<(), Fault> {
    let (attributes, term) = attributes_of(clause)?;
    out.inside(tag::OPERAND, |operand| {
        write_operand(&attributes, &term, operand)
    });
    Ok(())
}

fn write_operand(attributes: &[(i64, i64)], term: &str, out: &mut Writer) {
    out.inside(tag::ATTRIBUTES, |list| {
        for (kind, value) in attributes {
            list.inside_universal(universal::SEQUENCE, |attribute| {
                attribute.integer(tag::TYPE, *kind);
                attribute.integer(tag::VALUE, *value);
            });
        }
    });
    out.bytes(tag::TERM, term.as_bytes());
}

fn write_structure(node: &Node, out: &mut Writer) -> Result<(), Fault> {
    match node {
        Node::Clause(clause) => {
            if let Some(wider) = expand(clause) {
                return write_structure(&wider, out);
            }
            let (attributes, term) = attributes_of(clause)?;
            out.inside(0, |operand| {
                operand.inside(tag::OPERAND, |o| write_operand(&attributes, &term, o))
            });
        }
        Node::Set(name) => out.inside(0, |operand| operand.bytes(tag::SET, name.as_bytes())),
        Node::Joined {
            boolean,
            left,
            right,
        } => {
            let mut inner = Writer::default();
            write_structure(left, &mut inner)?;
            write_structure(right, &mut inner)?;
            out.inside(1, |joined| {
                joined.append(inner);
                joined.inside(tag::OPERATOR, |operator| write_operator(*boolean, operator));
            });
        }
    }
    Ok(())
}

fn write_operator(boolean: Boolean, out: &mut Writer) {
    match boolean {
        Boolean::And => out.bytes(0, b""),
        Boolean::Or => out.bytes(1, b""),
        Boolean::Not => out.bytes(2, b""),
        Boolean::Prox(near) => out.inside(3, |p| {
            p.boolean(1, false);
            p.integer(2, i64::from(near.distance));
            p.boolean(3, near.ordered);
            p.integer(
                4,
                match near.relation {
                    Relation::Less => 1,
                    Relation::Equal => 3,
                    Relation::GreaterOrEqual => 4,
                    Relation::Greater => 5,
                    Relation::NotEqual => 6,
                    _ => 2,
                },
            );
            p.inside(5, |unit| unit.integer(1, near.unit.code()));
        }),
    }
}

/// Rewrites relations without a Bib-1 attribute as equivalent boolean queries.
fn expand(clause: &Clause) -> Option<Node> {
    let words: Vec<&str> = clause.term.split_whitespace().collect();
    let with = |relation, term: &str| {
        Node::Clause(Clause {
            relation,
            term: term.to_owned(),
            ..clause.clone()
        })
    };
    match (clause.relation, words.as_slice()) {
        (Relation::Any, [first, rest @ ..]) => {
            let join = |left, word: &&str| Node::Joined {
                boolean: Boolean::Or,
                left: Box::new(left),
                right: Box::new(with(Relation::Equal, word)),
            };
            Some(rest.iter().fold(with(Relation::Equal, first), join))
        }
        (Relation::Within, [least, most]) => Some(Node::Joined {
            boolean: Boolean::And,
            left: Box::new(with(Relation::GreaterOrEqual, least)),
            right: Box::new(with(Relation::LessOrEqual, most)),
        }),
        _ => None,
    }
}

fn attributes_of(clause: &Clause) -> Result<(Vec<(i64, i64)>, String), Fault> {
    let mut attributes = vec![(1, clause.index.use_attribute)];
    let parsed = term::parse(&clause.term);
    let (mut relation, mut structure) = match clause.relation {
        Relation::Equal => (3, 1),
        Relation::Exact => (3, 1),
        Relation::All => (3, 6),
        Relation::Less => (1, 1),
        Relation::LessOrEqual => (2, 1),
        Relation::GreaterOrEqual => (4, 1),
        Relation::Greater => (5, 1),
        Relation::NotEqual => (6, 1),
        other => return Err(Kind::RELATION.of(other.name())),
    };
    let mut unmasked = false;
    for modifier in &clause.modifiers {
        match modifier {
            Modifier::Stem if relation == 3 => relation = 101,
            Modifier::Relevant if relation == 3 => relation = 102,
            Modifier::Phonetic if relation == 3 => relation = 100,
            Modifier::Word => structure = 2,
            Modifier::String => structure = 108,
            Modifier::IsoDate => structure = 5,
            Modifier::Number => structure = 109,
            Modifier::Uri => structure = 104,
            Modifier::Unmasked => unmasked = true,
            Modifier::Masked => {}
            // Bib-1 cannot express the other modifiers. Without them the host would run another
            // search than requested.
            other => return Err(Kind::MODIFIER.of(other.name())),
        }
    }
    attributes.extend([(2, relation), (4, structure)]);
    if unmasked {
        return Ok((attributes, clause.term.clone()));
    }
    if parsed.anchored_end {
        return Err(Kind::ANCHOR.of("at the end of a field"));
    }
    if parsed.anchored_start {
        attributes.push((3, 1));
    }
    if clause.relation == Relation::Exact {
        attributes.push((6, 3));
    }
    let term = match parsed.mask() {
        Mask::None => parsed.plain(),
        Mask::Inside => {
            attributes.push((5, 104));
            parsed.z3958()
        }
        mask => {
            attributes.push((
                5,
                match mask {
                    Mask::Right => 1,
                    Mask::Left => 2,
                    _ => 3,
                },
            ));
            parsed.plain()
        }
    };
    Ok((attributes, term))
}

#[cfg(test)]
mod tests;
