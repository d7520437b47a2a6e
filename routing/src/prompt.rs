//! What a request says of its prompt.

use compact_str::CompactString;

/// A part of a prompt, shared between requests that begin alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Part {
    /// Its id.
    pub id: CompactString,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt: its model, its parts in order, and its sizes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: CompactString,
    /// Its parts; the last one belongs to the request or its session alone.
    pub parts: Vec<Part>,
    /// Tokens of the prompt.
    pub tokens_in: u64,
    /// The most tokens of the answer.
    pub tokens_out: u64,
}

impl Prompt {
    /// Reads what the headers of a request say; none where it names no model.
    pub fn read(model: Option<&str>, parts: Option<&str>, tokens: Option<&str>) -> Option<Self> {
        let model = CompactString::from(model?);
        let parts: Vec<Part> = parts
            .unwrap_or_default()
            .split(',')
            .filter_map(read_part)
            .collect();
        let mut counts = tokens
            .unwrap_or_default()
            .split(',')
            .map(|count| count.trim().parse().unwrap_or(0));
        let told = counts.next().unwrap_or(0);
        let tokens_out = counts.next().unwrap_or(0);
        let tokens_in = parts.iter().map(|part| part.tokens).sum::<u64>().max(told);
        Some(Prompt {
            model,
            parts,
            tokens_in,
            tokens_out,
        })
    }

    /// The parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

fn read_part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part {
        id: id.into(),
        tokens: tokens.parse().ok()?,
    })
}
