//! Finds the line of a key in a settings file, for error messages.

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};

/// The line, from 1, of the innermost block or key of the path that the text contains; 0 if it contains none.
pub(crate) fn line_of_key(text: &str, path: &[String]) -> usize {
    let Ok(body) = text.parse::<Body>() else {
        return 0;
    };
    let Some(position) = find(&body, path) else {
        return 0;
    };
    let before = &text[..position.min(text.len())];
    before.lines().count().max(1) + usize::from(before.ends_with('\n'))
}

/// The byte offset of the innermost block or key of the path that the text contains.
fn find(body: &Body, path: &[String]) -> Option<usize> {
    let (first, rest) = path.split_first()?;
    for structure in body.iter() {
        match structure {
            Structure::Attribute(attribute) if attribute.key.as_str() == first => {
                return attribute.span().map(|span| span.start);
            }
            Structure::Block(block) if block.ident.as_str() == first => {
                let labels: Vec<&str> = block.labels.iter().map(|label| label.as_str()).collect();
                if rest.len() >= labels.len()
                    && labels.iter().zip(rest).all(|(label, key)| label == key)
                {
                    let inside = find(&block.body, &rest[labels.len()..]);
                    return inside.or_else(|| block.span().map(|span| span.start));
                }
                if rest.is_empty() {
                    return block.span().map(|span| span.start);
                }
            }
            _ => {}
        }
    }
    None
}
