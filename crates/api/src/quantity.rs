//! Published resource quantities ("500m", "2Gi", "1e3") as numbers.
//!
//! Looked at `kube_quantity` and `k8s-quantity-parser`: both are bound to older releases of the object types.

/// The largest quantity: far above any machine, far below where sums lose precision.
pub const MAX_QUANTITY: f64 = 1e15;

/// Longest text of a quantity, in bytes.
const MAX_TEXT_BYTES: usize = 64;

/// Why a text is no quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuantityError {
    /// The text is too long.
    #[error("a quantity of more than 64 characters")]
    TooLong,
    /// The text is no number with an optional suffix.
    #[error("quantity {0:?} must be a number with an optional suffix such as m, k, Mi, Gi")]
    Malformed(String),
    /// The number is negative.
    #[error("quantity {0:?} must be 0 or more")]
    Negative(String),
    /// The number is larger than [`MAX_QUANTITY`].
    #[error("quantity {0:?} is beyond 1e15")]
    TooLarge(String),
}

/// Suffixes and the factors that they stand for; longer ones first.
const SUFFIXES: [(&str, f64); 15] = [
    ("Ki", 1024.0),
    ("Mi", 1_048_576.0),
    ("Gi", 1_073_741_824.0),
    ("Ti", 1_099_511_627_776.0),
    ("Pi", 1_125_899_906_842_624.0),
    ("Ei", 1_152_921_504_606_846_976.0),
    ("n", 1e-9),
    ("u", 1e-6),
    ("m", 1e-3),
    ("k", 1e3),
    ("M", 1e6),
    ("G", 1e9),
    ("T", 1e12),
    ("P", 1e15),
    ("E", 1e18),
];

/// Parses a quantity; it must be finite, at least 0 and at most [`MAX_QUANTITY`].
///
/// # Errors
/// What is wrong with the text.
pub fn parse(text: &str) -> Result<f64, QuantityError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(QuantityError::TooLong);
    }
    let (number, scale) = split_suffix(text);
    let is_allowed = |c: char| c.is_ascii_digit() || matches!(c, '.' | '+' | '-' | 'e' | 'E');
    if number.is_empty() || !number.chars().all(is_allowed) {
        return Err(QuantityError::Malformed(text.to_owned()));
    }
    let Ok(number) = number.parse::<f64>() else {
        return Err(QuantityError::Malformed(text.to_owned()));
    };
    let value = number * scale;
    if value < 0.0 {
        return Err(QuantityError::Negative(text.to_owned()));
    }
    if !value.is_finite() || value > MAX_QUANTITY {
        return Err(QuantityError::TooLarge(text.to_owned()));
    }
    Ok(value)
}

/// The number and the factor of its suffix.
fn split_suffix(text: &str) -> (&str, f64) {
    for (suffix, scale) in SUFFIXES {
        if let Some(number) = text.strip_suffix(suffix) {
            return (number, scale);
        }
    }
    (text, 1.0)
}
