//! The line of a key, for messages.

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};

/// Line of the deepest part of the path that stands in the text; 0 where nothing of it does.
pub(crate) fn line(text: &str, path: &[String]) -> usize {
    let Ok(body) = text.parse::<Body>() else {
        return 0;
    };
    let at = find(&body, path);
    at.map_or(0, |at| {
        text[..at.min(text.len())].lines().count().max(1) + usize::from(text[..at].ends_with('\n'))
    })
}

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
