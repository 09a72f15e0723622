//! Interleavings of the leader's part, written down.
#![expect(clippy::too_many_lines, reason = "tables of cases and long scenarios")]

use cottondyke_quota::{
    BudgetSpec, Command, Demand, Epoch, Holder, LeaseConfig, LeaseHolder, LeaseManager,
    LeaseRequest, Nonce, QuotaTable, Safeguards, Usage,
};
use cottondyke_types::Time;

fn ask(nonce: u64, epoch: Epoch) -> LeaseRequest {
    let want = Demand {
        budget: "calls".into(),
        needed: 8,
        weight: 1.0,
        retained: 0,
        epoch,
    };
    LeaseRequest {
        holder: Holder {
            name: "a".into(),
            incarnation: 1,
        },
        nonce: Nonce(nonce),
        previous_incarnation: None,
        demands: vec![want],
    }
}

fn leader() -> (LeaseManager, QuotaTable) {
    let terms = LeaseConfig {
        lease_duration: Time(30_000),
        max_process_pause: Time(50_000),
        safeguards: Safeguards::default(),
    };
    let (mut granter, mut table) = (LeaseManager::new(terms), QuotaTable::default());
    granter.set_leadership(Some(Time(0)));
    table.apply(&Command::Open).unwrap();
    table
        .apply(&Command::SetBudget {
            budget: "calls".into(),
            units: 8,
            post_cancel_grace: 0,
        })
        .unwrap();
    (granter, table)
}

/// Guards leases: a confirmation that was asked for before an asking came, and comes late, does not answer it.
#[test]
fn a_late_confirmation_answers_nothing_that_came_after_it() {
    let (mut granter, table) = leader();
    granter.handle_request(Time(1), ask(1, Epoch(0)));
    let first = granter.start_read_index().unwrap();
    granter.abort_read_index();
    granter.handle_request(Time(2), ask(2, Epoch(0)));
    assert!(granter.handle_read_index(first, &table).is_empty());
    let second = granter.start_read_index().unwrap();
    assert_eq!(granter.handle_read_index(second, &table).len(), 2);
}

/// Guards holders: a taking that a raise overtook is void, and its holder is told of its share again.
#[test]
fn a_taking_that_a_raise_overtook_is_forgotten() {
    let (mut granter, mut table) = leader();
    let wholes = [BudgetSpec {
        name: "calls".to_string(),
        units: 8,
        post_cancel_grace: Time(0),
    }];
    granter.handle_request(Time(1), ask(1, Epoch(0)));
    let raise = granter.plan_commands(Time(1), &table, &wholes);
    table.apply(&raise[0]).unwrap();
    granter.handle_applied(&table);
    let was = table.budgets["calls"].quotas.values().next().unwrap().epoch;
    let fence = granter.plan_commands(Time(40_000), &table, &wholes);
    assert!(
        matches!(fence[..], [Command::FenceHolder { .. }]),
        "{fence:?}"
    );
    let holder = Holder {
        name: "a".into(),
        incarnation: 1,
    };
    table
        .apply(&Command::RaiseQuota {
            budget: "calls".into(),
            holder,
            amount: 8,
            expected_epoch: Some(was),
        })
        .unwrap();
    assert!(table.apply(&fence[0]).is_err());
    granter.handle_applied(&table);
    granter.handle_request(Time(40_001), ask(2, was));
    let round = granter.start_read_index().unwrap();
    assert_eq!(
        granter.handle_read_index(round, &table)[0].granted[0].amount,
        8
    );
}

/// Guards the ceiling: the unit that is kept back of a silent holder's share stays for as long as a call of it may
/// slip, also where another command of the same round is applied before the taking.
#[test]
fn what_is_kept_back_stays_though_its_taking_is_applied_late() {
    let (mut granter, mut table) = leader();
    let wholes = [BudgetSpec {
        name: "calls".to_string(),
        units: 8,
        post_cancel_grace: Time(0),
    }];
    granter.handle_request(Time(1), ask(1, Epoch(0)));
    table
        .apply(&granter.plan_commands(Time(1), &table, &wholes)[0])
        .unwrap();
    granter.handle_applied(&table);
    let fence = granter.plan_commands(Time(40_000), &table, &wholes);
    assert!(
        matches!(fence[..], [Command::FenceHolder { quarantined: 1, .. }]),
        "{fence:?}"
    );
    granter.handle_applied(&table);
    // Should it be lost, it is made again, though its holder is back: until then that is told of nothing.
    granter.handle_request(Time(40_001), ask(2, Epoch(0)));
    assert_eq!(granter.plan_commands(Time(40_002), &table, &wholes), fence);
    table.apply(&fence[0]).unwrap();
    granter.handle_applied(&table);
    assert_eq!(granter.plan_commands(Time(90_001), &table, &wholes), []);
    let last = granter.plan_commands(Time(90_002), &table, &wholes);
    assert!(
        matches!(last[..], [Command::FenceHolder { quarantined: 0, .. }]),
        "{last:?}"
    );
}

/// Guards the ceiling: a holder comes back when nothing is left of its share, which may be with others by then. The
/// answer brings it a lease, and must not revive what it had.
#[test]
fn a_share_that_is_gone_does_not_come_back_with_a_new_lease() {
    let (mut granter, mut table) = leader();
    let holder = Holder {
        name: "a".into(),
        incarnation: 1,
    };
    let terms = LeaseConfig {
        lease_duration: Time(30_000),
        max_process_pause: Time(50_000),
        safeguards: Safeguards::default(),
    };
    let mut shares = LeaseHolder::new(holder.clone(), None, terms);
    shares.set_budgets(["calls".to_string()].into_iter());
    shares.record_usage(
        "calls",
        Usage {
            in_use: 0,
            needed: 8,
            weight: 1.0,
        },
    );
    let mut exchange = |granter: &mut LeaseManager, table: &QuotaTable, now: Time| {
        granter.handle_request(now, shares.next_request(now).unwrap());
        let round = granter.start_read_index().unwrap();
        granter
            .handle_read_index(round, table)
            .iter()
            .for_each(|reply| shares.handle_response(reply));
        shares.available(now, "calls")
    };
    table
        .apply(&Command::RaiseQuota {
            budget: "calls".into(),
            holder: holder.clone(),
            amount: 8,
            expected_epoch: None,
        })
        .unwrap();
    assert_eq!(exchange(&mut granter, &table, Time(1)), 8);
    let was = table.budgets["calls"].quotas[&holder].epoch;
    table
        .apply(&Command::FenceHolder {
            budget: "calls".into(),
            holder: holder.clone(),
            quarantined: 0,
            expected_epoch: was,
        })
        .unwrap();
    let other = Holder {
        name: "b".into(),
        incarnation: 1,
    };
    table
        .apply(&Command::RaiseQuota {
            budget: "calls".into(),
            holder: other,
            amount: 8,
            expected_epoch: None,
        })
        .unwrap();
    granter.handle_applied(&table);
    assert_eq!(exchange(&mut granter, &table, Time(100_000)), 0);
}
