//! Max-min fair allocation: weighted water filling over what each member needs, with a minimum for each.
//!
//! The algorithm is progressive filling (Bertsekas and Gallager, Data Networks, section 6.5.2): the shares of all
//! unsatisfied claims grow together, in proportion to their weights, until the next one is satisfied.

/// One member's claim on a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Units that the member could use.
    pub need: u32,
    /// Value of one unit to the member, relative to the other members; values that are not finite and positive count
    /// as 1.
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

/// Fraction of an equal share that each member gets regardless of its need, so that a member whose need jumps has units
/// to use immediately.
const MIN_FRACTION_OF_EQUAL_SHARE: f64 = 0.25;

/// A share that is at most this far below a whole number of units counts as that number: the difference is the rounding
/// error of the sums.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Divides `units` among the claims and returns one allocation per claim, in the order of the claims. The allocations
/// add up to `units` unless there are no claims.
///
/// Each claim first gets its minimum. The remaining units go to the claims that need more, in proportion to their
/// weights, and units that no claim needs are spread evenly.
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
    let remaining = f64::from(units) - minimum * count as f64;
    let remaining = fill_by_weight(claims, &mut shares, remaining);
    let surplus = remaining.max(0.0) / count as f64;
    for share in &mut shares {
        *share += surplus;
    }
    round_to_units(units, &shares)
}

/// Raises the shares of unsatisfied claims until all are satisfied or no units remain; returns the remaining units.
fn fill_by_weight(claims: &[Claim], shares: &mut [f64], mut remaining: f64) -> f64 {
    let unmet_need =
        |shares: &[f64], index: usize| (f64::from(claims[index].need) - shares[index]).max(0.0);
    // Each round satisfies at least one claim or assigns all remaining units.
    for _ in 0..=claims.len() {
        let unsatisfied: Vec<usize> = (0..claims.len())
            .filter(|index| unmet_need(shares, *index) > 0.0)
            .collect();
        if unsatisfied.is_empty() || remaining <= 0.0 {
            break;
        }
        let total_weight: f64 = unsatisfied
            .iter()
            .map(|index| claims[*index].effective_weight())
            .sum();
        let increase_per_weight = unsatisfied
            .iter()
            .map(|index| unmet_need(shares, *index) / claims[*index].effective_weight())
            .fold(remaining / total_weight, f64::min);
        for index in unsatisfied {
            shares[index] += increase_per_weight * claims[index].effective_weight();
        }
        remaining -= increase_per_weight * total_weight;
    }
    remaining
}

/// Rounds the shares to whole units by the largest remainder method; of equal remainders the earlier claim comes first.
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
