//! CQL terms with masking characters and escapes.

/// Where a term is masked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mask {
    /// No masking.
    None,
    /// At the end of the term.
    Right,
    /// At the start of the term.
    Left,
    /// At both ends.
    Both,
    /// Within the term, where `*` is any number of characters and `?` a single one.
    Inside,
}

/// A parsed term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedTerm {
    /// The text and masks, in order.
    pub fragments: Vec<Fragment>,
    /// Whether the term is anchored to the start of the field.
    pub anchored_start: bool,
    /// Whether the term is anchored to the end of the field.
    pub anchored_end: bool,
}

/// A piece of a term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fragment {
    /// Literal text.
    Text(String),
    /// Any number of characters.
    Any,
    /// One character.
    One,
}

/// Parses a term into text, unescaped masks and anchors.
pub fn parse(term: &str) -> ParsedTerm {
    let mut fragments = Vec::new();
    let mut text = String::new();
    let (mut anchored_start, mut anchored_end) = (false, false);
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
            '^' if at == 0 => anchored_start = true,
            '^' if chars.peek().is_none() => anchored_end = true,
            c => text.push(c),
        }
    }
    flush(&mut text, &mut fragments);
    ParsedTerm {
        fragments,
        anchored_start,
        anchored_end,
    }
}

impl ParsedTerm {
    /// The position of the masks.
    pub fn mask(&self) -> Mask {
        match self.fragments.as_slice() {
            [] | [Fragment::Text(_)] => Mask::None,
            [Fragment::Text(_), Fragment::Any] => Mask::Right,
            [Fragment::Any, Fragment::Text(_)] => Mask::Left,
            [Fragment::Any, Fragment::Text(_), Fragment::Any] => Mask::Both,
            _ => Mask::Inside,
        }
    }

    /// The literal text without masks.
    pub fn plain(&self) -> String {
        let text = |fragment: &Fragment| match fragment {
            Fragment::Text(text) => text.clone(),
            _ => String::new(),
        };
        self.fragments.iter().map(text).collect()
    }

    /// The term with Z39.58 masks as in Bib-1's truncation 104: `?` for any number of characters,
    /// `#` for one.
    pub fn z3958(&self) -> String {
        let word = |fragment: &Fragment| match fragment {
            Fragment::Text(text) => text.clone(),
            Fragment::Any => "?".to_owned(),
            Fragment::One => "#".to_owned(),
        };
        self.fragments.iter().map(word).collect()
    }
}

/// Escapes masking characters so that the text is taken literally.
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
