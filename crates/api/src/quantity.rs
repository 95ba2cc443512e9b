//! Parses Kubernetes resource quantities ("500m", "2Gi", "1e3") as numbers.
//!
//! The packages `kube_quantity` and `k8s-quantity-parser` are not used, as they depend on older releases of the object
//! types.

/// Largest quantity: far above the capacity of any machine, and small enough that sums keep their precision.
pub const MAX_QUANTITY: f64 = 1e15;

/// Longest text of a quantity, in bytes.
const MAX_TEXT_BYTES: usize = 64;

/// Why a text is not a valid quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuantityError {
    /// The text has more than 64 characters.
    #[error("a quantity of more than 64 characters")]
    TooLong,
    /// The text is not a number with an optional suffix.
    #[error("quantity {0:?} must be a number with an optional suffix such as m, k, Mi, Gi")]
    Malformed(String),
    /// The number is negative.
    #[error("quantity {0:?} must be 0 or more")]
    Negative(String),
    /// The number is larger than [`MAX_QUANTITY`].
    #[error("quantity {0:?} is beyond 1e15")]
    TooLarge(String),
}

/// Suffixes and their factors. Longer suffixes are first, as the first match is taken.
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
/// The text is too long or not a number, or the number is out of range.
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

/// Splits a text into the number and the factor of its suffix, which is 1 without one.
fn split_suffix(text: &str) -> (&str, f64) {
    for (suffix, scale) in SUFFIXES {
        if let Some(number) = text.strip_suffix(suffix) {
            return (number, scale);
        }
    }
    (text, 1.0)
}
