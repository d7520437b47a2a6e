//! Tests of `rpn`.

use super::*;
use crate::{ber, cql};

fn round_trip(text: &str) -> Result<Node, Fault> {
    let node = cql::parse(text, 8).unwrap().root;
    let mut writer = Writer::default();
    let mut inner = Writer::default();
    write(&node, &mut inner)?;
    writer.inside(21, |w| w.append(inner));
    let item = ber::read(&mut writer.finish(), 10_000, 16)
        .unwrap()
        .expect("a whole value");
    read(&item, 16)
}

#[test]
fn cql_round_trips_through_rpn() {
    for text in [
        "title == \"moon\" and (creator all \"a b\" or date <= 2001) not isbn = 7",
        "title = moon* or title = *moon or title = *moon* or title = m?o*n",
        r"title = what\? not title = ^the",
        "a prox/unit=sentence/distance>3/ordered b",
        "title =/stem moons and date >=/isoDate 2001-01-01 and title <> sun",
        "cql.resultSetId = \"A\" and moon",
    ] {
        assert_eq!(
            round_trip(text),
            Ok(cql::parse(text, 8).unwrap().root),
            "{text}"
        );
    }
}

#[test]
fn relations_without_bib1_attribute_are_rewritten_or_refused() {
    let same =
        |a: &str, b: &str| assert_eq!(round_trip(a), Ok(cql::parse(b, 8).unwrap().root), "{a}");
    same("title any \"a b c\"", "title = a or title = b or title = c");
    same("date within \"1990 2000\"", "date >= 1990 and date <= 2000");
    for (text, kind) in [
        ("title encloses 5", Kind::RELATION),
        ("title =/fuzzy moon", Kind::MODIFIER),
        ("title =/respectCase moon", Kind::MODIFIER),
        ("title = moon^", Kind::ANCHOR),
    ] {
        assert_eq!(round_trip(text).map_err(|f| f.kind), Err(kind), "{text}");
    }
}

#[test]
fn unknown_attributes_are_refused_with_specific_diagnostics() {
    for (kind, value, condition) in [
        (1, 9999, 114),
        (2, 77, 117),
        (3, 9, 119),
        (4, 77, 118),
        (5, 77, 120),
        (6, 9, 122),
        (7, 1, 113),
        (9, 1, 113),
    ] {
        let mut writer = Writer::default();
        writer.inside(21, |w| {
            w.inside(1, |rpn| {
                rpn.oid(BIB1);
                rpn.inside(0, |o| {
                    o.inside(tag::OPERAND, |o| write_operand(&[(kind, value)], "x", o))
                });
            })
        });
        let item = ber::read(&mut writer.finish(), 10_000, 16)
            .unwrap()
            .expect("a whole value");
        assert_eq!(
            read(&item, 9).map_err(|f| f.kind.bib1),
            Err(condition),
            "{kind}={value}"
        );
    }
}
