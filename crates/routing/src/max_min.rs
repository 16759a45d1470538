//! Max-min fair division: who requests less than an even share gets all, and
//! what that leaves is divided evenly among the others.

/// The most that anyone gets of a quantity; `None` if all get what they
/// request.
pub(crate) fn max_min_limit(
    quantity: f64,
    requested: impl Iterator<Item = f64>,
) -> Option<f64> {
    let mut left = quantity;
    let mut requested: Vec<f64> = requested.collect();
    requested.sort_by(f64::total_cmp);
    for (at, amount) in requested.iter().enumerate() {
        let even_share = left / (requested.len() - at) as f64;
        if *amount > even_share {
            return Some(even_share);
        }
        left -= amount;
    }
    None
}
