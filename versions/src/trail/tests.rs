//! Tests of `trail`.

use super::*;

fn trail() -> (Vec<Entry>, String) {
    let marks = [
        Mark::Began {
            name: "g1".to_owned(),
            life: 7,
            wall: 1,
            validity: 8,
        },
        Mark::Runs {
            version: 5,
            keeper: true,
        },
        Mark::Proved {
            asked: 3,
            version: 5,
        },
        Mark::Stands {
            standing: Standing::Kept,
        },
        Mark::Called {
            version: 5,
            call: "exclude s-1".to_owned(),
        },
        Mark::Lost { count: 4 },
        Mark::Ended,
    ];
    let mut entries: Vec<Entry> = marks
        .into_iter()
        .zip(10..)
        .map(|(mark, at)| Entry { at, mark })
        .collect();
    let mut ledger = Ledger::default();
    [12, 19, 14]
        .into_iter()
        .for_each(|taken| ledger.count(5, "page", "whole", taken));
    ledger.count(4, "page", "whole", 2);
    entries.extend(ledger.take(20));
    assert_eq!(ledger.take(21), []);
    let mut chain = Chain::default();
    let text = entries.iter().fold(String::new(), |text, entry| {
        text + &chain.line(entry) + "\n"
    });
    (entries, text)
}

#[test]
fn a_trail_says_what_was_noted_and_where_it_was_cut_or_altered() {
    let (entries, text) = trail();
    let (read_back, chain, broken) = read(&text);
    assert_eq!((&read_back, chain.length, broken), (&entries, 9, None));
    let Mark::Acts { taken, count, .. } = &entries[8].mark else {
        panic!("{entries:?}")
    };
    assert_eq!((*taken, *count), ((12, 19), 3));
    // Any byte altered, in any line: everything before it holds, and nothing from there on.
    for at in 0..text.len() {
        let mut altered = text.clone().into_bytes();
        altered[at] = if altered[at] == b'0' { b'1' } else { b'0' };
        let altered = String::from_utf8(altered).unwrap();
        let line = text[..at].matches('\n').count();
        let (held, _, broken) = read(&altered);
        assert_eq!(held, entries[..line], "byte {at}");
        assert_eq!(broken.expect("it is seen").line, line + 1, "byte {at}");
    }
    // A line left out, or the end.
    let lines: Vec<&str> = text.split_inclusive('\n').collect();
    let without: String = lines[..3].iter().chain(&lines[4..]).copied().collect();
    assert_eq!(
        read(&without).2,
        Some(Broken {
            line: 4,
            why: "it does not follow from those before it"
        })
    );
    let cut = &text[..text.len() - 3];
    assert_eq!(read(cut).2.unwrap().why, "it is cut short");
}
