//! Terms of CQL, as they are written: with masking characters and their escapes.

/// Where a term is masked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mask {
    /// Nowhere.
    None,
    /// Anything may follow it.
    Right,
    /// Anything may stand before it.
    Left,
    /// Both.
    Both,
    /// Within it; `*` is any number of characters, `?` one.
    Inside,
}

/// A term taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parts {
    /// The characters, with `None` for any number of any, and `Some(None)` for any one.
    pub fragments: Vec<Fragment>,
    /// The term begins its field.
    pub first: bool,
    /// The term ends its field.
    pub last: bool,
}

/// One piece of a term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fragment {
    /// These characters.
    Text(String),
    /// Any number of any characters.
    Any,
    /// Any one character.
    One,
}

/// Takes a term apart: masks and anchors that are not escaped.
pub fn parts(term: &str) -> Parts {
    let mut fragments = Vec::new();
    let mut text = String::new();
    let (mut first, mut last) = (false, false);
    let mut chars = term.char_indices().peekable();
    let flush = |text: &mut String, fragments: &mut Vec<Fragment>| {
        if !text.is_empty() {
            fragments.push(Fragment::Text(std::mem::take(text)));
        }
    };
    while let Some((at, c)) = chars.next() {
        match c {
            '\\' => text.push(chars.next().map_or('\\', |(_, c)| c)),
            '*' => {
                flush(&mut text, &mut fragments);
                fragments.push(Fragment::Any);
            }
            '?' => {
                flush(&mut text, &mut fragments);
                fragments.push(Fragment::One);
            }
            '^' if at == 0 => first = true,
            '^' if chars.peek().is_none() => last = true,
            c => text.push(c),
        }
    }
    flush(&mut text, &mut fragments);
    Parts {
        fragments,
        first,
        last,
    }
}

impl Parts {
    /// Where it is masked.
    pub fn mask(&self) -> Mask {
        match self.fragments.as_slice() {
            [] | [Fragment::Text(_)] => Mask::None,
            [Fragment::Text(_), Fragment::Any] => Mask::Right,
            [Fragment::Any, Fragment::Text(_)] => Mask::Left,
            [Fragment::Any, Fragment::Text(_), Fragment::Any] => Mask::Both,
            _ => Mask::Inside,
        }
    }

    /// The characters alone.
    pub fn plain(&self) -> String {
        let text = |fragment: &Fragment| match fragment {
            Fragment::Text(text) => text.clone(),
            _ => String::new(),
        };
        self.fragments.iter().map(text).collect()
    }

    /// With the masks of Z39.58 as Bib-1's truncation 104 has them: `?` any number, `#` one.
    pub fn z3958(&self) -> String {
        let word = |fragment: &Fragment| match fragment {
            Fragment::Text(text) => text.clone(),
            Fragment::Any => "?".to_owned(),
            Fragment::One => "#".to_owned(),
        };
        self.fragments.iter().map(word).collect()
    }
}

/// Characters as a term: what would mask is escaped.
pub fn literal(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        if matches!(c, '*' | '?' | '^' | '\\') {
            out.push('\\');
        }
        out.push(c);
    }
    out
}

#[cfg(test)]
mod tests;
