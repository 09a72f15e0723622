//! Leased quotas that expire between the issue of a call and its sending.

use cottondyke_dependency::{Dependency, LeasedQuota};
use cottondyke_types::Time;
use std::rc::Rc;

/// Guards against exceeding a leased quota: a process that is suspended between issuing a call and sending it may
/// resume with a renewed lease of fewer units. Calls that were issued under the expired lease must not be sent then.
#[test]
fn refuses_to_send_a_call_issued_under_an_expired_lease_when_the_lease_is_renewed() {
    let lease = Rc::new(LeasedQuota::default());
    let dependency = Dependency {
        name: "stock".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        path: "/".into(),
        json: false,
        time_budget: Time(600),
        max_calls: 8,
        leased_calls: Some(lease.clone()),
        max_rate: None,
        leased_rate: None,
        min_limit: 1,
        post_cancel_grace: Time(1),
        max_waiting: 8,
        retry_ratio: 0.0,
        hedge_quantile: None,
    };
    lease.renew(Time(0), 5, Time(100));
    let first = dependency.issue_timestamp();
    let second = dependency.issue_timestamp();
    lease.renew(Time(50), 5, Time(150));
    assert!(
        dependency.may_send(&first, Time(149)),
        "a lease renewed before it expires still covers the call"
    );
    assert!(!dependency.may_send(&first, Time(150)));
    lease.renew(Time(200), 1, Time(300));
    assert!(!dependency.may_send(&second, Time(201)));
    assert!(dependency.may_send(&dependency.issue_timestamp(), Time(201)));
}
