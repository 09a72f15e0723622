//! The bytes of what instances say to each other and propose to the quota table, as the versions in use write them.
#![expect(clippy::too_many_lines, reason = "tables of cases and long scenarios")]

use cottondyke_cluster::{Message, QuotaStateMachine};
use cottondyke_consensus::{BootstrapProbe, ReplicaId, StateMachine};
use cottondyke_membership::{
    Effect, Member, MemberState, MemberStatus, Membership, MembershipConfig,
};
use cottondyke_quota::{
    Command, Demand, Epoch, GrantedQuota, Holder, LeaseRequest, LeaseResponse, Nonce, Quota,
    QuotaTable,
};
use cottondyke_types::Time;
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pair = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(pair).collect()
}

/// Both directions: the value becomes these bytes, and these bytes the value.
fn same<T: Serialize + DeserializeOwned + PartialEq>(value: &T, literal: &str) {
    assert_eq!(hex(&postcard::to_allocvec(value).unwrap()), literal);
    assert!(postcard::from_bytes::<T>(&bytes(literal)).unwrap() == *value);
}

fn same_word(word: &Message, literal: &str) {
    assert_eq!(hex(&word.encode()), literal);
    assert!(Message::decode(&bytes(literal)).as_ref() == Some(word));
}

fn holder(name: &str, life: u64) -> Holder {
    let name = name.to_string();
    Holder {
        name,
        incarnation: life,
    }
}

fn commands() -> [Command; 6] {
    let (budget, whole) = ("db".to_string(), "db".to_string());
    let (a, b) = (holder("a", 300), holder("b", 7));
    let raise = |holder: &Holder, to, was| Command::RaiseQuota {
        budget: budget.clone(),
        holder: holder.clone(),
        amount: to,
        expected_epoch: was,
    };
    [
        Command::Open,
        Command::SetBudget {
            budget: whole,
            units: 200,
            expiry_grace: 5000,
        },
        raise(&a, 9, None),
        raise(&b, 130, None),
        Command::LowerQuota {
            budget: budget.clone(),
            holder: a.clone(),
            amount: 5,
            expected_epoch: Epoch(1),
        },
        Command::FenceHolder {
            budget: budget.clone(),
            holder: b.clone(),
            quarantined: 3,
            expected_epoch: Epoch(2),
        },
    ]
}

#[test]
fn encodes_the_same_commands() {
    let literals = [
        "00",
        "01026462c801904e",
        "020264620161ac020900",
        "02026462016207820100",
        "030264620161ac020501",
        "040264620162070302",
    ];
    for (command, literal) in commands().iter().zip(literals) {
        same(command, literal);
    }
    let again = Command::RaiseQuota {
        budget: "db".into(),
        holder: holder("a", 300),
        amount: 12,
        expected_epoch: Some(Epoch(400)),
    };
    same(&again, "020264620161ac020c019003");
}

#[test]
fn keeps_the_same_table_when_commands_are_applied() {
    let mut agreed = QuotaStateMachine::default();
    for command in commands() {
        agreed.apply(&postcard::to_allocvec(&command).unwrap());
    }
    let literal = "0101026462c801904e020161ac0205010001620703030103";
    assert_eq!(hex(&agreed.snapshot()), literal);
    let mut restored = QuotaStateMachine::default();
    assert!(restored.restore(&bytes(literal)).is_ok());
    same(&restored.0, literal);
    let table: &QuotaTable = &restored.0;
    assert!(table.open && table.budgets.len() == 1);
    let whole = &table.budgets["db"];
    assert_eq!((whole.units, whole.expiry_grace), (200, 5000));
    let share = |amount, epoch, fenced| Quota {
        amount,
        epoch: Epoch(epoch),
        fenced,
    };
    let shares = [
        (holder("a", 300), share(5, 1, false)),
        (holder("b", 7), share(3, 3, true)),
    ];
    assert!(whole.quotas == BTreeMap::from(shares));
    // The last epoch is kept too: the next one counts on.
    let next = Command::RaiseQuota {
        budget: "db".into(),
        holder: holder("c", 1),
        amount: 1,
        expected_epoch: None,
    };
    restored.apply(&postcard::to_allocvec(&next).unwrap());
    assert!(restored.0.budgets["db"].quotas[&holder("c", 1)].epoch == Epoch(4));
}

#[test]
fn encodes_the_same_words() {
    let want = Demand {
        budget: "db".into(),
        needed: 12,
        weight: 2.5,
        retained: 200,
        epoch: Epoch(4),
    };
    let ask = |former| LeaseRequest {
        holder: holder("a", 300),
        nonce: Nonce(6),
        previous_incarnation: former,
        demands: vec![want.clone()],
    };
    let told = GrantedQuota {
        budget: "db".into(),
        epoch: Epoch(5),
        amount: 11,
    };
    let reply = LeaseResponse {
        holder: holder("b", 7),
        nonce: Nonce(8),
        granted: vec![told.clone()],
    };
    let seek = BootstrapProbe {
        name: "k".into(),
        id: ReplicaId(513),
    };
    let keepers = [(ReplicaId(1), "a".to_string()), (ReplicaId(2), "b".into())];
    same(&want, "0264620c0000000000000440c80104");
    same(&told, "026462050b");
    same_word(
        &Message::LeaseRequest(ask(None)),
        "01000161ac020600010264620c0000000000000440c80104",
    );
    same_word(
        &Message::LeaseRequest(ask(Some(299))),
        "01000161ac020601ab02010264620c0000000000000440c80104",
    );
    same_word(&Message::LeaseResponse(reply), "01010162070801026462050b");
    same_word(&Message::NotLeader(None), "010200");
    same_word(&Message::NotLeader(Some("k".into())), "010201016b");
    same_word(
        &Message::Raft(ReplicaId(300), vec![1, 2, 255]),
        "0103ac02030102ff",
    );
    same_word(&Message::BootstrapProbe(seek), "0104016b8104");
    same_word(
        &Message::Bootstrapped(BTreeMap::from(keepers)),
        "010502010161020162",
    );
    same_word(&Message::StatusRequest, "0106");
}

#[test]
fn reads_the_same_view() {
    let literal = "01070161ac0201016b01040161027a61ac02000162027a6207010163027a6308020164027a64\
                   0903000901026462c801010264629003e80701036223378201020101037061790363233803b401";
    let Some(Message::Status(view)) = Message::decode(&bytes(literal)) else {
        panic!("no view");
    };
    assert!(view.name == "a" && view.incarnation == 300 && view.leader.as_deref() == Some("k"));
    assert!(view.is_leader && !view.is_replica && view.lease_ms == -5);
    let listed = |name: &str, life, standing| MemberStatus {
        name: name.into(),
        zone: format!("z{name}"),
        incarnation: life,
        state: standing,
    };
    let members = [
        listed("a", 300, MemberState::Alive),
        listed("b", 7, MemberState::Suspect),
        listed("c", 8, MemberState::Leaving),
        listed("d", 9, MemberState::Dead),
    ];
    assert!(view.members == members);
    assert!(view.quotas == [("db".to_string(), 200)]);
    let (budget, held) = (&view.budgets[0], &view.quarantined[0]);
    assert!(view.budgets.len() == 1 && view.quarantined.len() == 1 && budget.quotas.len() == 1);
    assert!(budget.name == "db" && budget.units == 400 && budget.expiry_grace_ms == 500);
    let share = &budget.quotas[0];
    assert!(share.holder == "b#7" && share.amount == 130 && share.epoch == 2 && share.fenced);
    assert!(
        held.budget == "pay" && held.holder == "c#8" && held.units == 3 && held.remaining_ms == 90
    );
    assert_eq!(hex(&Message::Status(view.clone()).encode()), literal);
}

fn member(name: &str, host: u8) -> Member {
    Member {
        name: name.into(),
        zone: "z".into(),
        addr: ([10, 0, 0, host], 7000).into(),
        incarnation: 300,
        version: 2,
        leaving: false,
    }
}

fn membership_config(seeds: Vec<(String, SocketAddr)>) -> MembershipConfig {
    MembershipConfig {
        seeds,
        probe_period: Time(5000),
        suspicion_enabled: true,
        random_seed: 1,
    }
}

#[test]
fn encodes_the_same_identity_and_announces_by_the_same_datagram() {
    same(&member("a", 1), "0161017a000a000001d836ac020200");
    let leaving = Member {
        leaving: true,
        ..member("a", 1)
    };
    same(&leaving, "0161017a000a000001d836ac020201");
    let seeds = vec![("b".to_string(), ([10, 0, 0, 2], 7000).into())];
    let mut peers = Membership::new(member("a", 1), membership_config(seeds));
    let announce = "0161017a000a000001d836ac02020000016200000a000002d83600000006";
    let effects = peers.handle_timer(Time(0));
    assert!(effects.len() == 1);
    let Effect::Send { to, bytes: sent } = &effects[0] else {
        panic!("nothing sent");
    };
    assert_eq!(*to, ([10, 0, 0, 2], 7000).into());
    assert_eq!(hex(sent), announce);
    // Who hears it takes the speaker into its list.
    let mut hears = Membership::new(member("b", 2), membership_config(Vec::new()));
    let outcome = hears.handle_datagram(Time(0), &bytes(announce));
    assert!(outcome.result.is_ok() && outcome.effects.contains(&Effect::MemberUp(member("a", 1))));
    let listed = MemberStatus {
        name: "a".into(),
        zone: "z".into(),
        incarnation: 300,
        state: MemberState::Alive,
    };
    assert!(hears.members()[1] == listed);
}
