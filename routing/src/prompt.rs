//! The prompt description that clients send in request headers.

use compact_str::CompactString;

/// A segment of a prompt, which requests with a common prefix share.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Segment {
    /// Content id of the segment.
    pub id: CompactString,
    /// Length in tokens.
    pub tokens: u64,
}

/// The model, the segments and the token counts of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: CompactString,
    /// Segments in order; the last one is private to this request or its session.
    pub segments: Vec<Segment>,
    /// Length of the prompt in tokens.
    pub input_tokens: u64,
    /// Maximum length of the answer in tokens.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// Parses the values of the model, prefix and token-count headers. Malformed segments are
    /// skipped and malformed counts are 0; `None` if there is no model.
    pub fn from_headers(
        model: Option<&str>,
        segments: Option<&str>,
        token_counts: Option<&str>,
    ) -> Option<Self> {
        let model = CompactString::from(model?);
        let segments: Vec<Segment> = segments
            .unwrap_or_default()
            .split(',')
            .filter_map(parse_segment)
            .collect();
        let mut counts = token_counts
            .unwrap_or_default()
            .split(',')
            .map(|count| count.trim().parse().unwrap_or(0));
        let declared_input = counts.next().unwrap_or(0);
        let max_output_tokens = counts.next().unwrap_or(0);
        let input_tokens = total_tokens(&segments).max(declared_input);
        Some(Prompt {
            model,
            segments,
            input_tokens,
            max_output_tokens,
        })
    }

    /// The segments that other requests may share.
    pub fn shared_segments(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Length of the shared segments in tokens.
    pub fn shared_tokens(&self) -> u64 {
        total_tokens(self.shared_segments())
    }
}

fn total_tokens(segments: &[Segment]) -> u64 {
    segments.iter().map(|segment| segment.tokens).sum()
}

fn parse_segment(text: &str) -> Option<Segment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Segment {
        id: id.into(),
        tokens: tokens.parse().ok()?,
    })
}
