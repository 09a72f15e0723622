//! Regression tests: orders of events at the leader that caused a fault, or nearly did.

use cottondyke_quota::{
    BudgetSpec, Command, Demand, Epoch, Holder, LeaseConfig, LeaseHolder, LeaseManager,
    LeaseRequest, Nonce, QuotaTable, Safeguards, Usage,
};
use cottondyke_types::Time;

const BUDGET: &str = "calls";
const UNITS: u32 = 8;

const CONFIG: LeaseConfig = LeaseConfig {
    lease_duration: Time(30_000),
    max_process_pause: Time(50_000),
    safeguards: Safeguards {
        lease: true,
        fence: true,
        expiry_grace: true,
        demand: true,
    },
};

fn holder(name: &str) -> Holder {
    Holder {
        name: name.to_string(),
        incarnation: 1,
    }
}

/// A request of holder `a`, which needs all units and retains none.
fn request(nonce: u64, epoch: Epoch) -> LeaseRequest {
    let demand = Demand {
        budget: BUDGET.into(),
        needed: UNITS,
        weight: 1.0,
        retained: 0,
        epoch,
    };
    LeaseRequest {
        holder: holder("a"),
        nonce: Nonce(nonce),
        previous_incarnation: None,
        demands: vec![demand],
    }
}

fn specs() -> [BudgetSpec; 1] {
    [BudgetSpec {
        name: BUDGET.to_string(),
        units: UNITS,
        expiry_grace: Time(0),
    }]
}

/// A manager that has been the leader since time 0, and an open table that contains the budget.
fn leader() -> (LeaseManager, QuotaTable) {
    let mut manager = LeaseManager::new(CONFIG);
    manager.set_leadership(Some(Time(0)));
    let mut table = QuotaTable::default();
    table.apply(&Command::Open).unwrap();
    let set_budget = Command::SetBudget {
        budget: BUDGET.into(),
        units: UNITS,
        expiry_grace: 0,
    };
    table.apply(&set_budget).unwrap();
    (manager, table)
}

/// Grants a holder all units.
fn raise(holder: &str, expected_epoch: Option<Epoch>) -> Command {
    Command::RaiseQuota {
        budget: BUDGET.into(),
        holder: self::holder(holder),
        amount: UNITS,
        expected_epoch,
    }
}

/// Guards against leases granted without leadership: a late confirmation of a read index round that started before a
/// request arrived must not answer that request.
#[test]
fn ignores_an_aborted_read_index_when_its_confirmation_comes_late() {
    let (mut manager, table) = leader();
    manager.handle_request(Time(1), request(1, Epoch(0)));
    let first = manager.start_read_index().unwrap();
    manager.abort_read_index();
    manager.handle_request(Time(2), request(2, Epoch(0)));
    assert!(manager.handle_read_index(first, &table).is_empty());
    let second = manager.start_read_index().unwrap();
    assert_eq!(manager.handle_read_index(second, &table).len(), 2);
}

/// Guards against a holder that is granted nothing for good: a fencing is rejected if a raise was committed before it,
/// and its holder must be granted its quota again.
#[test]
fn grants_a_quota_again_when_a_raise_overtook_its_fencing() {
    let (mut manager, mut table) = leader();
    manager.handle_request(Time(1), request(1, Epoch(0)));
    let planned = manager.plan_commands(Time(1), &table, &specs());
    table.apply(&planned[0]).unwrap();
    manager.handle_applied(&table);
    let quota = table.budgets[BUDGET].quotas.values().next().unwrap();
    let epoch = quota.epoch;
    let fence = manager.plan_commands(Time(40_000), &table, &specs());
    assert!(
        matches!(fence[..], [Command::FenceHolder { .. }]),
        "{fence:?}"
    );
    table.apply(&raise("a", Some(epoch))).unwrap();
    assert!(table.apply(&fence[0]).is_err());
    manager.handle_applied(&table);
    manager.handle_request(Time(40_001), request(2, epoch));
    let round = manager.start_read_index().unwrap();
    let responses = manager.handle_read_index(round, &table);
    assert_eq!(responses[0].granted[0].amount, 8);
}

/// Guards against exceeding the budget: a unit of a silent holder's quota stays quarantined for as long as its process
/// may be suspended, even if another command of the same planning run is applied before the fencing.
#[test]
fn keeps_a_unit_quarantined_when_its_fencing_is_applied_late() {
    let (mut manager, mut table) = leader();
    manager.handle_request(Time(1), request(1, Epoch(0)));
    let planned = manager.plan_commands(Time(1), &table, &specs());
    table.apply(&planned[0]).unwrap();
    manager.handle_applied(&table);
    let fence = manager.plan_commands(Time(40_000), &table, &specs());
    assert!(
        matches!(fence[..], [Command::FenceHolder { quarantined: 1, .. }]),
        "{fence:?}"
    );
    manager.handle_applied(&table);
    // In case the fencing is lost, it is proposed again even though its holder is back. Until it is applied, the holder
    // is granted nothing.
    manager.handle_request(Time(40_001), request(2, Epoch(0)));
    let proposed_again = manager.plan_commands(Time(40_002), &table, &specs());
    assert_eq!(proposed_again, fence);
    table.apply(&fence[0]).unwrap();
    manager.handle_applied(&table);
    let during_quarantine = manager.plan_commands(Time(90_001), &table, &specs());
    assert_eq!(during_quarantine, []);
    let after_quarantine = manager.plan_commands(Time(90_002), &table, &specs());
    assert!(
        matches!(
            after_quarantine[..],
            [Command::FenceHolder { quarantined: 0, .. }]
        ),
        "{after_quarantine:?}"
    );
}

/// Requests a lease, confirms leadership and delivers the answer at `now`; returns the units that the holder may use.
fn exchange(
    manager: &mut LeaseManager,
    lease_holder: &mut LeaseHolder,
    table: &QuotaTable,
    now: Time,
) -> u32 {
    manager.handle_request(now, lease_holder.next_request(now).unwrap());
    let round = manager.start_read_index().unwrap();
    for response in manager.handle_read_index(round, table) {
        lease_holder.handle_response(&response);
    }
    lease_holder.available(now, BUDGET)
}

/// Guards against exceeding the budget: a holder returns after its quota was removed and its units were granted to
/// another. The answer extends its lease, but must not revive the amount that it had.
#[test]
fn does_not_revive_a_removed_quota_when_its_holder_returns() {
    let (mut manager, mut table) = leader();
    let mut lease_holder = LeaseHolder::new(holder("a"), None, CONFIG);
    lease_holder.set_budgets([BUDGET.to_string()].into_iter());
    let usage = Usage {
        in_use: 0,
        needed: UNITS,
        weight: 1.0,
    };
    lease_holder.record_usage(BUDGET, usage);
    table.apply(&raise("a", None)).unwrap();
    let granted = exchange(&mut manager, &mut lease_holder, &table, Time(1));
    assert_eq!(granted, 8);
    let remove = Command::FenceHolder {
        budget: BUDGET.into(),
        holder: holder("a"),
        quarantined: 0,
        expected_epoch: table.budgets[BUDGET].quotas[&holder("a")].epoch,
    };
    table.apply(&remove).unwrap();
    table.apply(&raise("b", None)).unwrap();
    manager.handle_applied(&table);
    let after_return = exchange(&mut manager, &mut lease_holder, &table, Time(100_000));
    assert_eq!(after_return, 0);
}
