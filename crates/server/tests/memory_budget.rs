//! How the memory budget divides what callers may make the process hold.
use cottondyke::memory_budget::MemoryBudget;
use cottondyke::memory_plan::{MemoryPlan, MIN_ACCOUNT_BYTES};

const MB: usize = 1 << 20;

fn plan() -> MemoryPlan {
    MemoryPlan {
        shared_bytes: 8 * MB,
        limit_bytes: 32 * MB,
        ..MemoryPlan::unlimited(8)
    }
}

/// Guards the memory limit against memory that the budget does not count: callers get no more than they have had, and each
/// still has the part of its own.
#[test]
fn grants_no_more_than_before_when_the_resident_memory_is_near_the_limit() {
    let budget = MemoryBudget::new(plan());
    let (first, second) = (budget.open_account(), budget.open_account());
    let charge = first.try_charge(MB).unwrap();
    budget.observe_resident(32 * MB);
    assert!(first.try_charge(MIN_ACCOUNT_BYTES).is_none());
    assert!(second.try_charge(MIN_ACCOUNT_BYTES).is_some());
    drop(charge);
    assert!(first.try_charge(MB / 2).is_some(), "as much as before");
    budget.observe_resident(16 * MB);
    assert!(first.try_charge(2 * MB).is_some());
}

/// Guards known clients against unknown ones that take all the memory they can get.
#[test]
fn leaves_memory_for_known_clients_beside_unknown_ones() {
    let budget = MemoryBudget::new(plan());
    let unknown: Vec<_> = (0..400)
        .map(|_| {
            let account = budget.open_account();
            account.set_known(false);
            let charge = account.charge(account.max_added_bytes());
            (account, charge)
        })
        .collect();
    let known = budget.open_account();
    assert!(known.max_added_bytes() > 10 * unknown[399].1.account().max_added_bytes());
    assert!(known.max_added_bytes() > MIN_ACCOUNT_BYTES);
    let newcomer = budget.open_account();
    newcomer.set_known(false);
    assert!(newcomer.max_added_bytes() >= MIN_ACCOUNT_BYTES);
}
