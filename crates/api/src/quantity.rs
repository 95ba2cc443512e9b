//! Published resource quantities ("500m", "2Gi", "1e3") as numbers.
//!
//! Looked at `kube_quantity` and `k8s-quantity-parser`: both are bound to older releases of the object types.

/// The largest quantity that is taken: far above any machine, far below where sums lose precision.
pub const MAX_QUANTITY: f64 = 1e15;

/// Why a quantity is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuantityError(pub String);

impl std::fmt::Display for QuantityError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for QuantityError {}

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
pub fn parse(text: &str) -> Result<f64, QuantityError> {
    let fail = |why: &str| Err(QuantityError(format!("quantity {text:?} {why}")));
    if text.len() > 64 {
        return Err(QuantityError(
            "a quantity of more than 64 characters".into(),
        ));
    }
    let (number, scale) = SUFFIXES
        .iter()
        .find_map(|(suffix, scale)| text.strip_suffix(suffix).map(|number| (number, *scale)))
        .unwrap_or((text, 1.0));
    let plain = |c: char| c.is_ascii_digit() || matches!(c, '.' | '+' | '-' | 'e' | 'E');
    if number.is_empty() || !number.chars().all(plain) {
        return fail("must be a number with an optional suffix such as m, k, Mi, Gi");
    }
    let Ok(value) = number.parse::<f64>() else {
        return fail("must be a number with an optional suffix such as m, k, Mi, Gi");
    };
    let value = value * scale;
    match value {
        _ if value < 0.0 => fail("must be 0 or more"),
        _ if !value.is_finite() || value > MAX_QUANTITY => fail("is beyond 1e15"),
        _ => Ok(value),
    }
}
