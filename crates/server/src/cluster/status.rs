//! `cottondyke peers ADDR`: queries a running instance for its cluster status.
use crate::cluster::error::StatusError;
use crate::protocol::peers::{encode, Decoder};
use crate::socket_io;
use cottondyke_cluster::{Message, NodeStatus};
use std::fmt::{self, Write as _};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(3);
const READ_BYTES: usize = 4_096;

/// Queries the instance that listens for its peers at this address for its status.
pub fn query(addr: SocketAddr) -> Result<NodeStatus, StatusError> {
    let failed = |source: io::Error| StatusError::Io { addr, source };
    let mut stream = TcpStream::connect_timeout(&addr, TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
    stream.set_write_timeout(Some(TIMEOUT)).map_err(failed)?;
    let request = encode(&Message::StatusRequest.encode());
    stream.write_all(&request).map_err(failed)?;
    let mut decoder = Decoder::default();
    let mut bytes = [0; READ_BYTES];
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        let count = socket_io::read_now(&stream, &mut bytes).map_err(failed)?;
        if count == 0 {
            return Err(StatusError::Closed { addr });
        }
        decoder.feed(&bytes[..count]);
        let malformed = |source| StatusError::Protocol { addr, source };
        while let Some(message) = decoder.next_message().map_err(malformed)? {
            if let Some(Message::Status(status)) = Message::decode(&message) {
                return Ok(*status);
            }
        }
    }
    Err(StatusError::Timeout {
        addr,
        seconds: TIMEOUT.as_secs(),
    })
}

/// Renders the status as human-readable text.
pub fn render(status: &NodeStatus) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    let _ = write_status(&mut text, status);
    text
}

fn write_status(text: &mut String, status: &NodeStatus) -> fmt::Result {
    let role = match (status.is_leader, status.is_replica) {
        (true, _) => "leads the registry",
        (_, true) => "keeps the registry",
        _ => "member",
    };
    let leader = status.leader.as_deref().unwrap_or("unknown here");
    writeln!(
        text,
        "{} (life {}): {role}; leader {leader}; lease for {} ms",
        status.name, status.incarnation, status.lease_ms
    )?;
    for member in &status.members {
        let state = format!("{:?}", member.state).to_lowercase();
        writeln!(
            text,
            "  {} (life {}) in zone {}: {state}",
            member.name, member.incarnation, member.zone
        )?;
    }
    for (budget, units) in &status.quotas {
        writeln!(text, "  may use {units} of {budget}")?;
    }
    write_budgets(text, status)?;
    for quarantined in &status.quarantined {
        writeln!(
            text,
            "held back: {} of {} for {}, {} ms more at the most",
            quarantined.units, quarantined.budget, quarantined.holder, quarantined.remaining_ms
        )?;
    }
    Ok(())
}

fn write_budgets(text: &mut String, status: &NodeStatus) -> fmt::Result {
    for budget in &status.budgets {
        let leased: u32 = budget.quotas.iter().map(|quota| quota.amount).sum();
        writeln!(
            text,
            "budget {}: {leased} of {} lent, a unit lingers up to {} ms",
            budget.name, budget.units, budget.expiry_grace_ms
        )?;
        for quota in &budget.quotas {
            let fenced = if quota.fenced {
                ", kept back: its lease ran out"
            } else {
                ""
            };
            writeln!(
                text,
                "  {} {}, epoch {}{fenced}",
                quota.holder, quota.amount, quota.epoch
            )?;
        }
    }
    Ok(())
}
