//! Group membership without I/O by the SWIM protocol (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002), as implemented by the crate `foca`.
//!
//! [`Membership`] has no socket, clock or source of randomness of its own: it is driven by datagrams and a timer, and
//! returns [`Effect`]s. Its member list is weakly consistent: it is updated quickly, and is sometimes wrong. No
//! decision that must be correct may depend on it.
//!
//! A member that stops is suspected within about two probe periods, and is declared dead a fixed number of probe
//! periods after that, so it is in no list after [`MAX_DETECTION_PERIODS`]. A member that is slow or hard to reach has
//! this fixed number of periods to refute the suspicion.
//!
//! ```
//! use cottondyke_membership::{Effect, Member, Membership, MembershipConfig};
//! use cottondyke_types::Time;
//!
//! fn membership(name: &str, host: u8, seeds: Vec<(String, std::net::SocketAddr)>) -> Membership {
//!     let member = Member {
//!         name: name.to_string(),
//!         zone: "zone-1".to_string(),
//!         addr: ([10, 0, 0, host], 7_000).into(),
//!         incarnation: 1,
//!         version: 0,
//!         leaving: false,
//!     };
//!     let config = MembershipConfig {
//!         seeds,
//!         probe_period: Time(5_000),
//!         suspicion_enabled: true,
//!         random_seed: 1,
//!     };
//!     Membership::new(member, config)
//! }
//!
//! let now = Time(0);
//! let mut first = membership("first", 1, Vec::new());
//! let seeds = vec![("first".to_string(), first.identity().addr)];
//! let mut second = membership("second", 2, seeds);
//! for effect in second.handle_timer(now) {
//!     if let Effect::Send { bytes, .. } = effect {
//!         first.handle_datagram(now, &bytes);
//!     }
//! }
//! assert_eq!(first.members()[1].name, "second");
//! ```

mod config;
mod effect;
mod member;
mod membership;
mod timers;

pub use config::{MembershipConfig, MAX_DATAGRAM_BYTES, MAX_DETECTION_PERIODS};
pub use effect::Effect;
pub use member::{Member, MemberState, MemberStatus};
pub use membership::{DatagramError, DatagramOutcome, Membership};
