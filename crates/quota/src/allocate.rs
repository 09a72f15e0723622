//! Who should have how much of a whole: weighted water filling over what each needs, with a floor for each.

/// What one member puts forward.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    pub need: u32,
    /// What a unit is worth there; anything that is no number over 0 counts as 1.
    pub weight: f64,
}

/// The part of an even share that each member keeps whatever it needs, so that one whose need jumps has something
/// at once.
const FLOOR: f64 = 0.25;

/// Parts of `whole` in the order of the claims; their sum is the whole where there is any claim. First each gets
/// its floor, then what is left rises in all that need more, by their weights, then evenly what nobody needs.
pub fn allocate(whole: u32, claims: &[Claim]) -> Vec<u32> {
    let count = claims.len();
    if count == 0 {
        return Vec::new();
    }
    let weight = |c: &Claim| {
        if c.weight.is_finite() && c.weight > 0.0 {
            c.weight
        } else {
            1.0
        }
    };
    let floor = (f64::from(whole) / count as f64 * FLOOR).floor();
    let mut parts = vec![floor; count];
    let mut left = f64::from(whole) - floor * count as f64;
    let lacks = |parts: &[f64], k: usize| (f64::from(claims[k].need) - parts[k]).max(0.0);
    // Each round satisfies one at least, or spends all that is left.
    for _ in 0..=count {
        let hungry: Vec<usize> = (0..count).filter(|k| lacks(&parts, *k) > 0.0).collect();
        let sum: f64 = hungry.iter().map(|k| weight(&claims[*k])).sum();
        if hungry.is_empty() || left <= 0.0 {
            break;
        }
        let level = hungry
            .iter()
            .map(|k| lacks(&parts, *k) / weight(&claims[*k]))
            .fold(left / sum, f64::min);
        for k in hungry {
            parts[k] += level * weight(&claims[k]);
        }
        left -= level * sum;
    }
    parts
        .iter_mut()
        .for_each(|part| *part += left.max(0.0) / count as f64);
    rounded(whole, &parts)
}

/// Whole units, by the largest remainders; the earlier of two that are alike.
fn rounded(whole: u32, parts: &[f64]) -> Vec<u32> {
    // What differs from a whole number by the error of the sums above is that number.
    let mut units: Vec<u32> = parts
        .iter()
        .map(|part| (part + 1e-6).floor() as u32)
        .collect();
    let mut over = whole.saturating_sub(units.iter().sum());
    let mut order: Vec<usize> = (0..parts.len()).collect();
    order.sort_by(|a, b| {
        (parts[*b] - f64::from(units[*b])).total_cmp(&(parts[*a] - f64::from(units[*a])))
    });
    for k in order {
        if over == 0 {
            break;
        }
        units[k] += 1;
        over -= 1;
    }
    units
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(whole: u32, claims: &[(u32, f64)]) -> Vec<u32> {
        allocate(
            whole,
            &claims
                .iter()
                .map(|(need, weight)| Claim {
                    need: *need,
                    weight: *weight,
                })
                .collect::<Vec<_>>(),
        )
    }

    #[test]
    fn needs_are_met_by_weight_and_the_rest_is_spread() {
        assert_eq!(of(24, &[(0, 1.0), (0, 1.0), (0, 1.0)]), [8, 8, 8]);
        assert_eq!(of(24, &[(100, 1.0), (0, 1.0), (0, 1.0)]), [20, 2, 2]);
        assert_eq!(of(24, &[(100, 3.0), (100, 1.0), (0, 1.0)]), [16, 6, 2]);
        // Fewer units than members: those with a need come first.
        let few = of(3, &[(0, 1.0), (5, 1.0), (0, 1.0), (5, 1.0), (5, 1.0)]);
        assert_eq!(few, [0, 1, 0, 1, 1]);
        assert_eq!(of(0, &[(5, 1.0)]), [0]);
        assert_eq!(of(5, &[(1, f64::NAN), (1, -1.0)]).iter().sum::<u32>(), 5);
    }

    /// Guards the ceiling: whatever the claims, the parts are the whole and no more.
    #[test]
    fn parts_are_the_whole_for_any_claims() {
        let mut random = fastrand::Rng::with_seed(1);
        for _ in 0..20_000 {
            let whole = random.u32(0..200);
            let claims: Vec<Claim> = (0..random.usize(1..40))
                .map(|_| Claim {
                    need: random.u32(0..80),
                    weight: random.f64() * 10.0 - 1.0,
                })
                .collect();
            let parts = allocate(whole, &claims);
            assert_eq!(parts.iter().sum::<u32>(), whole, "{whole} by {claims:?}");
        }
    }
}
