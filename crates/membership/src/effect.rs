//! The effects that a membership returns to its caller, and their collection from `foca`.
use crate::member::Member;
use foca::{Notification, Runtime, Timer};
use std::net::SocketAddr;
use std::time::Duration;

/// An action for the caller or an event, in the order in which effects are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram. It may be lost.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The datagram, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) long.
        bytes: Vec<u8>,
    },
    /// A member was added to the list.
    MemberUp(Member),
    /// A member was removed from the list.
    MemberDown(Member),
    /// Others had declared this member dead, and it rejoined under the next version.
    Rejoined,
    /// An identity with this member's name and a later incarnation, or the same incarnation and a later version, was
    /// received: another process uses the name.
    DuplicateName(Member),
}

/// A timer that `foca` requested.
pub(crate) struct RequestedTimer {
    pub(crate) timer: Timer<Member>,
    pub(crate) after: Duration,
}

/// The `foca` runtime for one input: collects the effects and timers that `foca` requests.
pub(crate) struct EffectCollector {
    own_name: String,
    pub(crate) effects: Vec<Effect>,
    pub(crate) timers: Vec<RequestedTimer>,
    /// Whether others know this identity now; `None` if that did not change.
    pub(crate) active: Option<bool>,
}

impl EffectCollector {
    pub(crate) fn new(own_name: String) -> Self {
        EffectCollector {
            own_name,
            effects: Vec::new(),
            timers: Vec::new(),
            active: None,
        }
    }
}

impl Runtime<Member> for &mut EffectCollector {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.effects.push(Effect::MemberUp(member.clone())),
            Notification::MemberDown(member) => {
                self.effects.push(Effect::MemberDown(member.clone()))
            }
            Notification::Active => self.active = Some(true),
            Notification::Idle | Notification::Defunct => self.active = Some(false),
            Notification::Rejoin(_) => {
                self.active = Some(false);
                self.effects.push(Effect::Rejoined);
            }
            Notification::Rename(_, member) if member.name == self.own_name => {
                self.effects.push(Effect::DuplicateName(member.clone()));
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.effects.push(Effect::Send {
            to: to.addr,
            bytes: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        self.timers.push(RequestedTimer { timer, after });
    }
}
