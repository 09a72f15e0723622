//! `cottondyke peers ADDR`: asks a running instance what it knows.
use crate::protocol::peers::{encode, Decoder};
use cottondyke_cluster::{Message, NodeStatus};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(3);

pub fn query(addr: SocketAddr) -> Result<NodeStatus, String> {
    let wrong = |e: std::io::Error| format!("{addr}: {e}");
    let mut stream = TcpStream::connect_timeout(&addr, LIMIT).map_err(wrong)?;
    stream.set_read_timeout(Some(LIMIT)).map_err(wrong)?;
    stream.set_write_timeout(Some(LIMIT)).map_err(wrong)?;
    stream
        .write_all(&encode(&Message::StatusRequest.encode()))
        .map_err(wrong)?;
    let (mut decoder, mut bytes) = (Decoder::default(), [0; 4_096]);
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        let count = stream.read(&mut bytes).map_err(wrong)?;
        if count == 0 {
            return Err(format!(
                "{addr}: closed without an answer: expected the peers port of an instance"
            ));
        }
        decoder.feed(&bytes[..count]);
        while let Some(word) = decoder
            .word()
            .map_err(|wrong| format!("{addr}: {}", wrong.0))?
        {
            if let Some(Message::Status(view)) = Message::decode(&word) {
                return Ok(*view);
            }
        }
    }
    Err(format!("{addr}: no answer in {} s", LIMIT.as_secs()))
}

/// For people.
pub fn render(view: &NodeStatus) -> String {
    let mut text = String::new();
    let part = match (view.is_leader, view.is_replica) {
        (true, _) => "leads the registry",
        (_, true) => "keeps the registry",
        _ => "member",
    };
    let leader = view.leader.as_deref().unwrap_or("unknown here");
    let _ = writeln!(
        text,
        "{} (life {}): {part}; leader {leader}; lease for {} ms",
        view.name, view.incarnation, view.lease_ms
    );
    for member in &view.members {
        let standing = format!("{:?}", member.state).to_lowercase();
        let _ = writeln!(
            text,
            "  {} (life {}) in zone {}: {standing}",
            member.name, member.incarnation, member.zone
        );
    }
    for (budget, units) in &view.quotas {
        let _ = writeln!(text, "  may use {units} of {budget}");
    }
    for budget in &view.budgets {
        let used: u32 = budget.quotas.iter().map(|s| s.amount).sum();
        let (name, whole, linger) = (&budget.name, budget.units, budget.post_cancel_grace_ms);
        let _ = writeln!(
            text,
            "budget {name}: {used} of {whole} lent, a unit lingers up to {linger} ms"
        );
        for share in &budget.quotas {
            let back = if share.fenced {
                ", kept back: its lease ran out"
            } else {
                ""
            };
            let _ = writeln!(
                text,
                "  {} {}, epoch {}{back}",
                share.holder, share.amount, share.epoch
            );
        }
    }
    for back in &view.quarantined {
        let (units, budget, holder, ms) =
            (back.units, &back.budget, &back.holder, back.remaining_ms);
        let _ = writeln!(
            text,
            "held back: {units} of {budget} for {holder}, {ms} ms more at the most"
        );
    }
    text
}
