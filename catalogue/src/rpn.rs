//! Z39.50's type-1 query, read into the tree of CQL and written from it.

use crate::ber::{Class, Item, Writer, universal};
use crate::cql::{Boolean, INDEXES, Node, Relation};

/// The Bib-1 attribute set.
pub const BIB1: &str = "1.2.840.10003.3.1";

/// A diagnostic of the Bib-1 set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Its number.
    pub condition: i64,
    /// What it is about.
    pub addinfo: String,
}

impl Diagnostic {
    /// A diagnostic.
    pub fn new(condition: i64, addinfo: impl Into<String>) -> Self {
        Diagnostic { condition, addinfo: addinfo.into() }
    }
}

fn malformed() -> Diagnostic {
    Diagnostic::new(108, "")
}

/// Reads the query of a search request: the value inside its tag.
pub fn read(query: &Item) -> Result<Node, Diagnostic> {
    let rpn = match query.items().first() {
        Some(item) if item.class == Class::Context && matches!(item.tag, 1 | 101) => item,
        Some(item) => return Err(Diagnostic::new(107, format!("type-{}", item.tag))),
        None => return Err(malformed()),
    };
    let [set, structure] = rpn.items() else { return Err(malformed()) };
    match set.oid() {
        Some(oid) if oid == BIB1 => structure_of(structure),
        other => Err(Diagnostic::new(121, other.unwrap_or_default())),
    }
}

fn structure_of(item: &Item) -> Result<Node, Diagnostic> {
    match item.tag {
        0 => operand(item.items().first().ok_or_else(malformed)?),
        1 => {
            let [left, right, operator] = item.items() else { return Err(malformed()) };
            let operator = operator.items().first().ok_or_else(malformed)?;
            let boolean = match operator.tag {
                0 => Boolean::And,
                1 => Boolean::Or,
                2 => Boolean::Not,
                _ => return Err(Diagnostic::new(110, "proximity")),
            };
            let (left, right) = (structure_of(left)?, structure_of(right)?);
            Ok(Node::Joined { boolean, left: Box::new(left), right: Box::new(right) })
        }
        _ => Err(malformed()),
    }
}

fn operand(item: &Item) -> Result<Node, Diagnostic> {
    match item.tag {
        102 => {}
        31 => return Err(Diagnostic::new(18, "result set as a search term")),
        _ => return Err(malformed()),
    }
    let (mut index, mut relation, mut complete, mut words) = (INDEXES[0], Relation::Equal, false, false);
    for attribute in item.get(44).map(Item::items).unwrap_or_default() {
        let number = |tag| attribute.get(tag).and_then(Item::integer);
        let (Some(kind), Some(value)) = (number(120), number(121)) else { return Err(malformed()) };
        let unsupported = |condition| Diagnostic::new(condition, value.to_string());
        match kind {
            1 => {
                let known = INDEXES.iter().find(|i| i.use_attribute == value);
                index = *known.ok_or_else(|| unsupported(114))?;
            }
            2 => {
                relation = match value {
                    1 => Relation::Less,
                    2 => Relation::LessOrEqual,
                    3 => Relation::Equal,
                    4 => Relation::GreaterOrEqual,
                    5 => Relation::Greater,
                    _ => return Err(unsupported(117)),
                }
            }
            3 if (1..=3).contains(&value) => {}
            3 => return Err(unsupported(119)),
            4 => match value {
                1 | 2 | 4 | 5 => {}
                6 => words = true,
                _ => return Err(unsupported(118)),
            },
            5 if value == 100 => {}
            5 => return Err(unsupported(120)),
            6 => complete = value == 3,
            other => return Err(Diagnostic::new(113, other.to_string())),
        }
    }
    if relation == Relation::Equal {
        relation = match (complete, words) {
            (true, _) => Relation::Exact,
            (_, true) => Relation::All,
            _ => Relation::Equal,
        };
    }
    let term = item.items().iter().find(|i| matches!(i.tag, 45 | 215 | 216));
    let term = match term.ok_or_else(|| Diagnostic::new(229, ""))? {
        number if number.tag == 215 => number.integer().map(|n| n.to_string()),
        text => text.text(),
    };
    let term = term.ok_or_else(|| Diagnostic::new(125, ""))?;
    Ok(Node::Clause { index, relation, term })
}

/// Writes a type-1 query inside the tag of a search request's query.
pub fn write(node: &Node, out: &mut Writer) {
    out.inside(1, |rpn| {
        rpn.oid(BIB1);
        write_structure(node, rpn);
    });
}

fn write_structure(node: &Node, out: &mut Writer) {
    match node {
        Node::Clause { index, relation, term } => out.inside(0, |operand| {
            operand.inside(102, |clause| {
                clause.inside(44, |attributes| {
                    for (kind, value) in attributes_of(index.use_attribute, *relation) {
                        attributes.inside_universal(universal::SEQUENCE, |attribute| {
                            attribute.integer(120, kind);
                            attribute.integer(121, value);
                        });
                    }
                });
                clause.bytes(45, term.as_bytes());
            });
        }),
        Node::Joined { boolean, left, right } => out.inside(1, |joined| {
            write_structure(left, joined);
            write_structure(right, joined);
            let tag = match boolean {
                Boolean::And => 0,
                Boolean::Or => 1,
                Boolean::Not => 2,
            };
            joined.inside(46, |operator| operator.bytes(tag, b""));
        }),
    }
}

fn attributes_of(use_attribute: i64, relation: Relation) -> Vec<(i64, i64)> {
    let mut attributes = vec![(1, use_attribute)];
    attributes.extend(match relation {
        Relation::Equal => [(2, 3), (4, 1)],
        Relation::Exact => [(2, 3), (6, 3)],
        Relation::All => [(2, 3), (4, 6)],
        Relation::Less => [(2, 1), (4, 1)],
        Relation::LessOrEqual => [(2, 2), (4, 1)],
        Relation::GreaterOrEqual => [(2, 4), (4, 1)],
        Relation::Greater => [(2, 5), (4, 1)],
    });
    attributes
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{ber, cql};

    #[test]
    fn a_search_means_the_same_in_both_languages() {
        let text = "title == \"moon\" and (creator all \"a b\" or date <= 2001) not isbn = 7";
        let node = cql::parse(text, 8).unwrap();
        let mut writer = Writer::default();
        writer.inside(21, |w| write(&node, w));
        let item = ber::read(&mut writer.finish(), 10_000, 16).unwrap().expect("a whole value");
        assert_eq!(read(&item), Ok(node));
    }
}
