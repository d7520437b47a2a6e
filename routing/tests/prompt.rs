//! Parsing prompt headers.

use routing::prompt::Prompt;

#[test]
fn parses_prompt_headers() {
    let prompt = Prompt::from_headers(
        Some("m"),
        Some("5c1e:800,91bd:410,e440:250"),
        Some("1460,80"),
    )
    .unwrap();
    assert_eq!(
        (prompt.segments.len(), prompt.shared_segments().len()),
        (3, 2)
    );
    assert_eq!((prompt.input_tokens, prompt.max_output_tokens), (1_460, 80));
    let malformed = Prompt::from_headers(Some("m"), Some("x,y:z,a:5"), Some("no")).unwrap();
    assert_eq!(
        (malformed.segments.len(), malformed.input_tokens),
        (1, 5),
        "malformed segments and counts are skipped"
    );
    assert_eq!(Prompt::from_headers(None, Some("a:5"), None), None);
}
