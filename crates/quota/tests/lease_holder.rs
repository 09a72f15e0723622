//! Sequences of requests and responses at one lease holder.

use cottondyke_quota::{
    Epoch, GrantedQuota, Holder, LeaseConfig, LeaseHolder, LeaseResponse, Nonce, Safeguards, Usage,
};
use cottondyke_types::Time;

fn lease_holder() -> LeaseHolder {
    let holder = Holder {
        name: "a".into(),
        incarnation: 1,
    };
    let config = LeaseConfig {
        lease_duration: Time(30_000),
        max_process_pause: Time(0),
        safeguards: Safeguards::default(),
    };
    let mut lease_holder = LeaseHolder::new(holder, None, config);
    lease_holder.set_budgets(["calls".to_string()].into_iter());
    lease_holder
}

/// Passes the holder a response that contains a single budget.
fn respond(lease_holder: &mut LeaseHolder, nonce: Nonce, budget: &str, epoch: u64, amount: u32) {
    let granted = GrantedQuota {
        budget: budget.to_string(),
        epoch: Epoch(epoch),
        amount,
    };
    lease_holder.handle_response(&LeaseResponse {
        holder: lease_holder.holder().clone(),
        nonce,
        granted: vec![granted],
    });
}

fn usage(in_use: u32) -> Usage {
    Usage {
        in_use,
        needed: 8,
        weight: 1.0,
    }
}

/// The nonce of the request that is due now.
fn request(lease_holder: &mut LeaseHolder, now: Time) -> Nonce {
    lease_holder.next_request(now).unwrap().nonce
}

/// The units that the holder reports to retain in the request that is due now.
fn requested_retained(lease_holder: &mut LeaseHolder, now: Time) -> u32 {
    lease_holder.next_request(now).unwrap().demands[0].retained
}

/// Guards against exceeding the budget: the units of calls that began after usage was recorded and before the quota
/// shrank must not be released.
#[test]
fn retains_units_that_may_have_come_into_use_since_usage_was_recorded() {
    let mut lease_holder = lease_holder();
    let first = request(&mut lease_holder, Time(0));
    respond(&mut lease_holder, first, "calls", 1, 8);
    lease_holder.record_usage("calls", usage(2));
    // Six more calls begin here. Before they are recorded the quota shrinks.
    respond(&mut lease_holder, first, "calls", 1, 2);
    assert_eq!(lease_holder.available(Time(1), "calls"), 2);
    assert_eq!(requested_retained(&mut lease_holder, Time(29_000)), 8);
    lease_holder.record_usage("calls", usage(5));
    assert_eq!(requested_retained(&mut lease_holder, Time(59_000)), 5);
}

/// Guards against exceeding the budget: a lease counts from its request, a late answer to an earlier request changes
/// nothing, and an amount never increases within an epoch.
#[test]
fn counts_an_answer_once_and_from_when_its_request_was_made() {
    let mut lease_holder = lease_holder();
    let first = request(&mut lease_holder, Time(0));
    let second = request(&mut lease_holder, Time(10_000));
    respond(&mut lease_holder, second, "calls", 2, 4);
    respond(&mut lease_holder, first, "calls", 1, 9);
    respond(&mut lease_holder, second, "calls", 2, 9);
    assert_eq!(lease_holder.available(Time(39_999), "calls"), 4);
    assert_eq!(lease_holder.available(Time(40_000), "calls"), 0);
    // No request had this nonce.
    respond(&mut lease_holder, Nonce(99), "calls", 3, 9);
    assert_eq!(lease_holder.available(Time(39_999), "calls"), 4);
}

/// Guards against exceeding the budget: a holder returns after its lease expired, the answer to its request is lost,
/// and a notification about another budget arrives with the nonce of that request.
#[test]
fn does_not_extend_a_lease_when_notified_of_another_budget() {
    let mut lease_holder = lease_holder();
    lease_holder.set_budgets(["other", "calls"].map(String::from).into_iter());
    let first = request(&mut lease_holder, Time(0));
    respond(&mut lease_holder, first, "calls", 1, 8);
    let second = request(&mut lease_holder, Time(60_000));
    respond(&mut lease_holder, second, "other", 2, 3);
    assert_eq!(lease_holder.available(Time(60_001), "other"), 3);
    assert_eq!(lease_holder.available(Time(60_001), "calls"), 0);
    respond(&mut lease_holder, second, "calls", 4, 5);
    assert_eq!(lease_holder.available(Time(60_001), "calls"), 5);
}
