//! Budgets shared by all members of a cluster, divided into quotas that are leased to the members. The crate has no
//! I/O, clock or randomness of its own: the caller passes in the time and transports the messages.
//!
//! - [`QuotaTable`] is the replicated state. It changes only by [`Command`]s that a majority committed.
//! - [`LeaseManager`] is the leader's side. It answers lease requests and proposes commands.
//! - [`LeaseHolder`] is the member's side; the leader runs one as well.
//! - [`allocate()`] computes how many units each member should have.
//!
//! # Guarantees
//!
//! The units that all members use together never exceed the budget. A member uses no more than its quota, and nothing
//! once its lease has expired; the lease is measured on the member's own clock, from before the request was sent. The
//! table lowers a quota only if its holder reported that it uses no more than the lower amount, or once the lease and
//! the longest time that a unit can stay in use after it have elapsed on the leader's clock, allowing for
//! [`MAX_CLOCK_DRIFT`] between the two clocks. The test `model` checks this in every order of events that its search
//! reaches.
//!
//! It is not guaranteed that all units of a budget are usable at all times: the units of a silent member are
//! quarantined before others can use them.
//!
//! # Example
//!
//! ```
//! use cottondyke_quota::*;
//! use cottondyke_types::{Time, SECOND};
//!
//! let config = LeaseConfig {
//!     lease_duration: Time(3 * SECOND.0),
//!     max_process_pause: SECOND,
//!     safeguards: Safeguards::default(),
//! };
//! let specs = [BudgetSpec { name: "db".into(), units: 8, expiry_grace: SECOND }];
//!
//! // The leader. Its table is already open, and its commands are committed immediately.
//! let mut table = QuotaTable::default();
//! table.apply(&Command::Open).unwrap();
//! let mut manager = LeaseManager::new(config);
//! manager.set_leadership(Some(Time(0)));
//! let mut commit_planned = |manager: &mut LeaseManager, now| {
//!     for command in manager.plan_commands(now, &table, &specs) {
//!         table.apply(&command).unwrap();
//!         manager.handle_applied(&table);
//!     }
//!     table.clone()
//! };
//! commit_planned(&mut manager, Time(0));
//!
//! // A member requests a lease. The leader grants it a quota, and answers once its leadership is confirmed.
//! let identity = Holder { name: "a".into(), incarnation: 1 };
//! let mut holder = LeaseHolder::new(identity, None, config);
//! holder.set_budgets(std::iter::once("db".to_string()));
//! holder.record_usage("db", Usage { in_use: 0, needed: 5, weight: 1.0 });
//! let request = holder.next_request(Time(1)).unwrap();
//! manager.handle_request(Time(2), request);
//! let table = commit_planned(&mut manager, Time(2));
//! let round = manager.start_read_index().unwrap();
//! for response in manager.handle_read_index(round, &table) {
//!     holder.handle_response(&response);
//! }
//!
//! // The only member gets all units. Its lease starts when its request is made.
//! assert_eq!(holder.available(Time(3), "db"), 8);
//! assert_eq!(holder.valid_until("db"), Time(1) + config.lease_duration);
//! assert_eq!(holder.available(Time(1) + config.lease_duration, "db"), 0);
//! ```

mod allocate;
mod command;
mod config;
mod ids;
mod lease_holder;
mod lease_manager;
mod message;
mod table;

pub use allocate::{allocate, Claim};
pub use command::{Command, CommandRejected};
pub use config::{BudgetSpec, LeaseConfig, Safeguards, MAX_BUDGETS, MAX_CLOCK_DRIFT, MAX_HOLDERS};
pub use ids::{Epoch, Holder};
pub use lease_holder::{LeaseHolder, Usage};
pub use lease_manager::{LeaseManager, QuarantinedQuota};
pub use message::{Demand, GrantedQuota, LeaseRequest, LeaseResponse, Nonce};
pub use table::{Budget, Quota, QuotaTable};
