//! How `allocate` divides a budget.

use cottondyke_quota::{allocate, Claim};

/// Calls `allocate` with claims given as pairs of need and weight.
fn allocate_among(units: u32, claims: &[(u32, f64)]) -> Vec<u32> {
    let claims: Vec<Claim> = claims
        .iter()
        .map(|(need, weight)| Claim {
            need: *need,
            weight: *weight,
        })
        .collect();
    allocate(units, &claims)
}

#[test]
fn meets_needs_by_weight_and_spreads_the_rest() {
    assert_eq!(
        allocate_among(24, &[(0, 1.0), (0, 1.0), (0, 1.0)]),
        [8, 8, 8]
    );
    assert_eq!(
        allocate_among(24, &[(100, 1.0), (0, 1.0), (0, 1.0)]),
        [20, 2, 2]
    );
    assert_eq!(
        allocate_among(24, &[(100, 3.0), (100, 1.0), (0, 1.0)]),
        [16, 6, 2]
    );
    // Fewer units than members: those with a need come first.
    let few = allocate_among(3, &[(0, 1.0), (5, 1.0), (0, 1.0), (5, 1.0), (5, 1.0)]);
    assert_eq!(few, [0, 1, 0, 1, 1]);
    assert_eq!(allocate_among(0, &[(5, 1.0)]), [0]);
    let invalid_weights = allocate_among(5, &[(1, f64::NAN), (1, -1.0)]);
    assert_eq!(invalid_weights.iter().sum::<u32>(), 5);
}

/// Guards against over-allocation: for any claims, the allocations add up to exactly the budget.
#[test]
fn allocates_exactly_the_budget_for_any_claims() {
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let units = random.u32(0..200);
        let claims: Vec<Claim> = (0..random.usize(1..40))
            .map(|_| Claim {
                need: random.u32(0..80),
                weight: random.f64() * 10.0 - 1.0,
            })
            .collect();
        let allocations = allocate(units, &claims);
        assert_eq!(
            allocations.iter().sum::<u32>(),
            units,
            "{units} among {claims:?}"
        );
    }
}
