//! Interleavings of the leader's part, written down.
use cottondyke_budget::{Ask, Command, Defences, Epoch, Granter, Holder, Nonce, Table, Terms, Want};
use cottondyke_decide::types::Time;

fn ask(nonce: u64, epoch: Epoch) -> Ask {
    let want = Want { budget: "calls".into(), need: 8, weight: 1.0, holds: 0, epoch };
    Ask { holder: Holder { name: "a".into(), life: 1 }, nonce: Nonce(nonce), former: None, wants: vec![want] }
}

fn leader() -> (Granter, Table) {
    let terms = Terms { lease: Time(30_000), slip: Time(0), defences: Defences::default() };
    let (mut granter, mut table) = (Granter::new(terms), Table::default());
    granter.lead(Some(Time(0)));
    table.apply(&Command::Open).unwrap();
    table.apply(&Command::Whole { budget: "calls".into(), units: 8, linger: 0 }).unwrap();
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
    let holder = Holder { name: "a".into(), life: 1 };
    table.apply(&Command::Raise { budget: "calls".into(), holder, to: 8, was: Some(was) }).unwrap();
    assert!(table.apply(&fence[0]).is_err());
    granter.applied(&table);
    granter.ask(Time(40_001), ask(2, was));
    let round = granter.confirm().unwrap();
    assert_eq!(granter.confirmed(round, &table)[0].told[0].amount, 8);
}
