//! Tests of `cql::parse`.

use super::*;

#[test]
fn queries_are_read_and_written_and_faults_named() {
    let describe = |text: &str| match parse(text, 8) {
        Ok(query) => {
            // The written query parses to the same tree.
            assert_eq!(parse(&query.to_string(), 16), Ok(query.clone()));
            query.to_string()
        }
        Err(problem) => format!("{}: {problem}", problem.kind.sru),
    };
    let cases = [
        "moon",
        r#""moon \"rabbit\"""#,
        r#"title = "wh\?t* ^""#,
        "title = moon and (author all \"a b\" or dc.date >= 2001) not isbn == 1",
        "shoesize = 4",
        "title any moon",
        "dc.title cql.all moon",
        "title foo.near moon",
        "title =/stem/cql.ignoreCase moon",
        "title =/bogus moon",
        "a prox b",
        "a prox/unit=sentence/distance<3/ordered b",
        "a prox/unit=page b",
        "a and/rel.combine=sum b",
        "a sortby title",
        "a sortBy dc.date/sort.descending title/respectCase/missingValue=\"x y\"",
        "a sortBy shoesize",
        "a sortBy",
        "(a",
        "title =",
        "and",
        "a b",
        "> dc = \"info:srw/cql-context-set/1/dc-v1.1\" dc.title = a",
        "> \"http://zing.z3950.org/cql/bath/2.0/\" isbn = 5 and > x = \"info:srw/cql-context-set/1/dc-v1.1\" x.title = a",
        "(> x = \"info:srw/cql-context-set/1/dc-v1.1\" x.title = a)",
        "> x = \"urn:unknown\" x.title = a",
        "cql.resultSetId = \"s-1\" and moon",
        "date within \"1990 2000\"",
        "((((((((((a))))))))))",
    ];
    let said: Vec<String> = cases
        .iter()
        .map(|case| format!("{case} -> {}", describe(case)))
        .collect();
    insta::assert_snapshot!(said.join("\n"));
}

/// The limits bound recursion and work for any input.
#[test]
fn very_long_or_deep_queries_are_rejected() {
    for text in [
        "(".repeat(100_000),
        "a and ".repeat(50_000) + "a",
        (0..10_000)
            .map(|n| format!("> x{n} = \"info:srw/cql-context-set/1/dc-v1.1\" "))
            .collect(),
        "a =/stem".to_owned() + &"/stem".repeat(50_000),
        "\"".repeat(99_999),
        "a sortBy".to_owned() + &" title".repeat(20_000),
        "a prox".to_owned() + &"/ordered".repeat(50_000),
    ] {
        assert!(parse(&text, 16).is_err(), "{}", &text[..20]);
    }
}
