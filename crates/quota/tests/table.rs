//! Which commands the replicated table rejects, and that a rejected command changes no quota.

use cottondyke_quota::{Command, CommandRejected, Epoch, Holder, QuotaTable};

const BUDGET: &str = "calls";
const UNITS: u32 = 8;

fn holder(name: &str) -> Holder {
    Holder {
        name: name.to_string(),
        incarnation: 1,
    }
}

fn raise(budget: &str, name: &str, amount: u32, expected_epoch: Option<Epoch>) -> Command {
    Command::RaiseQuota {
        budget: budget.to_string(),
        holder: holder(name),
        amount,
        expected_epoch,
    }
}

/// An open table with one budget, of which holder `a` has a quota of five units with epoch 1.
fn table() -> QuotaTable {
    let mut table = QuotaTable::default();
    let set_budget = Command::SetBudget {
        budget: BUDGET.to_string(),
        units: UNITS,
        expiry_grace: 0,
    };
    for command in [Command::Open, set_budget, raise(BUDGET, "a", 5, None)] {
        table.apply(&command).unwrap();
    }
    table
}

fn assert_rejected(command: &Command, reason: CommandRejected) {
    let mut table = table();
    let before = table.budgets.clone();
    assert_eq!(table.apply(command), Err(reason));
    assert_eq!(table.budgets, before);
}

#[test]
fn rejects_raises_before_the_table_is_opened() {
    let mut table = QuotaTable::default();
    let rejected = table.apply(&raise(BUDGET, "a", 1, None));
    assert_eq!(rejected, Err(CommandRejected::NotOpen));
}

#[test]
fn rejects_commands_for_an_unknown_budget() {
    let unknown = CommandRejected::UnknownBudget {
        budget: "other".to_string(),
    };
    assert_rejected(&raise("other", "a", 1, None), unknown);
}

#[test]
fn rejects_commands_made_from_another_state_of_the_quota() {
    let stale = |expected, found| CommandRejected::StaleEpoch { expected, found };
    let (current, other) = (Some(Epoch(1)), Some(Epoch(9)));
    assert_rejected(&raise(BUDGET, "a", 6, other), stale(other, current));
    assert_rejected(&raise(BUDGET, "b", 1, other), stale(other, None));
    assert_rejected(&raise(BUDGET, "a", 6, None), stale(None, current));
    let lower = Command::LowerQuota {
        budget: BUDGET.to_string(),
        holder: holder("a"),
        amount: 0,
        expected_epoch: Epoch(9),
    };
    assert_rejected(&lower, stale(other, current));
    let fence = Command::FenceHolder {
        budget: BUDGET.to_string(),
        holder: holder("b"),
        quarantined: 0,
        expected_epoch: Epoch(9),
    };
    assert_rejected(&fence, stale(other, None));
}

/// Guards against over-allocation: quotas never add up to more than the budget's units.
#[test]
fn rejects_a_raise_when_the_units_are_not_free() {
    let exceeded = CommandRejected::BudgetExceeded { needed: 4, free: 3 };
    assert_rejected(&raise(BUDGET, "a", 9, Some(Epoch(1))), exceeded.clone());
    assert_rejected(&raise(BUDGET, "b", 4, None), exceeded);
}
