//! Interleavings of the leader's part, written down.
use cottondyke_quota::{
    Ask, Command, Defences, Epoch, Granter, Holder, Nonce, Shares, Table, Terms, Usage, Want,
};
use cottondyke_types::Time;

fn ask(nonce: u64, epoch: Epoch) -> Ask {
    let want = Want {
        budget: "calls".into(),
        need: 8,
        weight: 1.0,
        holds: 0,
        epoch,
    };
    Ask {
        holder: Holder {
            name: "a".into(),
            life: 1,
        },
        nonce: Nonce(nonce),
        former: None,
        wants: vec![want],
    }
}

fn leader() -> (Granter, Table) {
    let terms = Terms {
        lease: Time(30_000),
        slip: Time(50_000),
        defences: Defences::default(),
    };
    let (mut granter, mut table) = (Granter::new(terms), Table::default());
    granter.lead(Some(Time(0)));
    table.apply(&Command::Open).unwrap();
    table
        .apply(&Command::Whole {
            budget: "calls".into(),
            units: 8,
            linger: 0,
        })
        .unwrap();
    (granter, table)
}

/// Guards leases: a confirmation that was asked for before an asking came, and comes late, does not answer it.
#[test]
fn a_late_confirmation_answers_nothing_that_came_after_it() {
    let (mut granter, table) = leader();
    granter.ask(Time(1), ask(1, Epoch(0)));
    let first = granter.confirm().unwrap();
    granter.unconfirmed();
    granter.ask(Time(2), ask(2, Epoch(0)));
    assert!(granter.confirmed(first, &table).is_empty());
    let second = granter.confirm().unwrap();
    assert_eq!(granter.confirmed(second, &table).len(), 2);
}

/// Guards holders: a taking that a raise overtook is void, and its holder is told of its share again.
#[test]
fn a_taking_that_a_raise_overtook_is_forgotten() {
    let (mut granter, mut table) = leader();
    let wholes = [("calls".to_string(), 8, Time(0))];
    granter.ask(Time(1), ask(1, Epoch(0)));
    let raise = granter.commands(Time(1), &table, &wholes);
    table.apply(&raise[0]).unwrap();
    granter.applied(&table);
    let was = table.budgets["calls"].shares.values().next().unwrap().epoch;
    let fence = granter.commands(Time(40_000), &table, &wholes);
    assert!(matches!(fence[..], [Command::Fence { .. }]), "{fence:?}");
    let holder = Holder {
        name: "a".into(),
        life: 1,
    };
    table
        .apply(&Command::Raise {
            budget: "calls".into(),
            holder,
            to: 8,
            was: Some(was),
        })
        .unwrap();
    assert!(table.apply(&fence[0]).is_err());
    granter.applied(&table);
    granter.ask(Time(40_001), ask(2, was));
    let round = granter.confirm().unwrap();
    assert_eq!(granter.confirmed(round, &table)[0].told[0].amount, 8);
}

/// Guards the ceiling: the unit that is kept back of a silent holder's share stays for as long as a call of it may
/// slip, also where another command of the same round is applied before the taking.
#[test]
fn what_is_kept_back_stays_though_its_taking_is_applied_late() {
    let (mut granter, mut table) = leader();
    let wholes = [("calls".to_string(), 8, Time(0))];
    granter.ask(Time(1), ask(1, Epoch(0)));
    table
        .apply(&granter.commands(Time(1), &table, &wholes)[0])
        .unwrap();
    granter.applied(&table);
    let fence = granter.commands(Time(40_000), &table, &wholes);
    assert!(
        matches!(fence[..], [Command::Fence { keep: 1, .. }]),
        "{fence:?}"
    );
    granter.applied(&table);
    // Should it be lost, it is made again, though its holder is back: until then that is told of nothing.
    granter.ask(Time(40_001), ask(2, Epoch(0)));
    assert_eq!(granter.commands(Time(40_002), &table, &wholes), fence);
    table.apply(&fence[0]).unwrap();
    granter.applied(&table);
    assert_eq!(granter.commands(Time(90_001), &table, &wholes), []);
    let last = granter.commands(Time(90_002), &table, &wholes);
    assert!(
        matches!(last[..], [Command::Fence { keep: 0, .. }]),
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
        life: 1,
    };
    let terms = Terms {
        lease: Time(30_000),
        slip: Time(50_000),
        defences: Defences::default(),
    };
    let mut shares = Shares::new(holder.clone(), None, terms);
    shares.name(["calls".to_string()].into_iter());
    shares.used(
        "calls",
        Usage {
            held: 0,
            need: 8,
            weight: 1.0,
        },
    );
    let mut exchange = |granter: &mut Granter, table: &Table, now: Time| {
        granter.ask(now, shares.ask(now).unwrap());
        let round = granter.confirm().unwrap();
        granter
            .confirmed(round, table)
            .iter()
            .for_each(|reply| shares.told(reply));
        shares.ceiling(now, "calls")
    };
    table
        .apply(&Command::Raise {
            budget: "calls".into(),
            holder: holder.clone(),
            to: 8,
            was: None,
        })
        .unwrap();
    assert_eq!(exchange(&mut granter, &table, Time(1)), 8);
    let was = table.budgets["calls"].shares[&holder].epoch;
    table
        .apply(&Command::Fence {
            budget: "calls".into(),
            holder: holder.clone(),
            keep: 0,
            was,
        })
        .unwrap();
    let other = Holder {
        name: "b".into(),
        life: 1,
    };
    table
        .apply(&Command::Raise {
            budget: "calls".into(),
            holder: other,
            to: 8,
            was: None,
        })
        .unwrap();
    granter.applied(&table);
    assert_eq!(exchange(&mut granter, &table, Time(100_000)), 0);
}
