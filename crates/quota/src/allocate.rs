//! Max-min fair allocation: weighted water filling over what each member needs, with a minimum for each.
//!
//! The algorithm is progressive filling (Bertsekas and Gallager, Data Networks, section 6.5.2): the shares of all that
//! still lack units rise together, in proportion to their weights, until the next one is satisfied.

/// What one member claims of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Units that it could use.
    pub need: u32,
    /// Value of one unit to it, relative to the others; anything that is no finite number above 0 counts as 1.
    pub weight: f64,
}

impl Claim {
    fn effective_weight(&self) -> f64 {
        if self.weight.is_finite() && self.weight > 0.0 {
            self.weight
        } else {
            1.0
        }
    }
}

/// Fraction of an equal share that each member gets whatever it needs, so that one whose need jumps has something to
/// use at once.
const MIN_FRACTION_OF_EQUAL_SHARE: f64 = 0.25;

/// An allocation that is this little below a whole number of units is that number: the difference is the rounding error
/// of the sums.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Divides `units` among the claims, in their order. The allocations add up to `units` wherever there is a claim.
///
/// First each claim gets its minimum. What is left goes to those that need more, by their weights, and what nobody
/// needs is spread evenly.
///
/// ```
/// use cottondyke_quota::{allocate, Claim};
///
/// let busy = Claim { need: 100, weight: 3.0 };
/// let less_valuable = Claim { need: 100, weight: 1.0 };
/// let idle = Claim { need: 0, weight: 1.0 };
/// assert_eq!(allocate(24, &[busy, less_valuable, idle]), [16, 6, 2]);
/// ```
pub fn allocate(units: u32, claims: &[Claim]) -> Vec<u32> {
    let count = claims.len();
    if count == 0 {
        return Vec::new();
    }
    let minimum = (f64::from(units) / count as f64 * MIN_FRACTION_OF_EQUAL_SHARE).floor();
    let mut shares = vec![minimum; count];
    let left = f64::from(units) - minimum * count as f64;
    let left = fill_by_weight(claims, &mut shares, left);
    let surplus = left.max(0.0) / count as f64;
    for share in &mut shares {
        *share += surplus;
    }
    round_to_units(units, &shares)
}

/// Raises the shares of those that need more until all are satisfied or nothing is left; returns what is left.
fn fill_by_weight(claims: &[Claim], shares: &mut [f64], mut left: f64) -> f64 {
    let lacking =
        |shares: &[f64], index: usize| (f64::from(claims[index].need) - shares[index]).max(0.0);
    // Each round satisfies at least one claim or spends all that is left.
    for _ in 0..=claims.len() {
        let unsatisfied: Vec<usize> = (0..claims.len())
            .filter(|index| lacking(shares, *index) > 0.0)
            .collect();
        if unsatisfied.is_empty() || left <= 0.0 {
            break;
        }
        let total_weight: f64 = unsatisfied
            .iter()
            .map(|index| claims[*index].effective_weight())
            .sum();
        let rise_per_weight = unsatisfied
            .iter()
            .map(|index| lacking(shares, *index) / claims[*index].effective_weight())
            .fold(left / total_weight, f64::min);
        for index in unsatisfied {
            shares[index] += rise_per_weight * claims[index].effective_weight();
        }
        left -= rise_per_weight * total_weight;
    }
    left
}

/// Whole units by the largest remainder method; of two equal remainders the earlier one comes first.
fn round_to_units(total: u32, shares: &[f64]) -> Vec<u32> {
    let mut units: Vec<u32> = shares
        .iter()
        .map(|share| (share + ROUNDING_TOLERANCE).floor() as u32)
        .collect();
    let remaining = total.saturating_sub(units.iter().sum());
    let remainder = |index: usize| shares[index] - f64::from(units[index]);
    let mut by_remainder: Vec<usize> = (0..shares.len()).collect();
    by_remainder.sort_by(|a, b| remainder(*b).total_cmp(&remainder(*a)));
    for index in by_remainder.into_iter().take(remaining as usize) {
        units[index] += 1;
    }
    units
}
