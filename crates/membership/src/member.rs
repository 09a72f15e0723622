//! The identity of a member, and its status in the member list.
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of one incarnation of a process. Of two identities with the same name, the later incarnation stays in
/// the lists. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the member, unique within the group.
    pub name: String,
    /// The zone in which the process runs.
    pub zone: String,
    /// The address at which other members reach it.
    pub addr: SocketAddr,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Increases when the same incarnation rejoins after it was declared dead, and when it announces that it is
    /// leaving.
    pub version: u32,
    /// Whether it announced that it is going to leave.
    pub leaving: bool,
}

impl Member {
    /// The status of this member with the given state.
    pub(crate) fn status(&self, state: MemberState) -> MemberStatus {
        MemberStatus {
            name: self.name.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            state,
        }
    }
}

impl Identity for Member {
    /// `foca` keeps one identity for each `Addr`. The name is this key, so that a restarted process replaces its
    /// predecessor even at another socket address.
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            version: self.version.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }
}

/// The state of a member, as last known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It missed a probe, and has not refuted the suspicion yet.
    Suspect,
    /// It announced that it is going to leave, and still answers.
    Leaving,
    /// It left, or did not refute a suspicion in time.
    Dead,
}

/// One entry of the member list. The names in JSON and the order of the fields are part of the status of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the member.
    pub name: String,
    /// The zone in which it runs.
    pub zone: String,
    /// Its latest known incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its state, as last known.
    #[serde(rename = "standing")]
    pub state: MemberState,
}
