//! The memory of the server as the platform counts it.
use crate::rig::*;
use crate::BYTES_PER_KB;
use std::net::SocketAddr;

/// The kernel's table of TCP sockets (proc_pid_net(5)).
const SOCKETS: &str = "/proc/net/tcp";
/// The columns of the local address, and of what is unacknowledged and unread.
const LOCAL_ADDRESS: usize = 1;
const QUEUES: usize = 4;

/// The whole resident memory of the process, pages of files included.
pub(crate) fn resident_bytes(rig: &Rig) -> usize {
    rig.status_number("VmRSS:") * BYTES_PER_KB
}

/// What the kernel holds for the connections that the server has accepted: received and unread, or written and not
/// acknowledged.
pub(crate) fn kernel_bytes(addr: SocketAddr) -> usize {
    let table = std::fs::read_to_string(SOCKETS).unwrap();
    let port = format!(":{:04X}", addr.port());
    let columns = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let of_server =
        columns.filter(|line| line.get(LOCAL_ADDRESS).is_some_and(|a| a.ends_with(&port)));
    of_server.map(|line| queued_bytes(line[QUEUES])).sum()
}

/// The sum of the two hexadecimal numbers of the column.
fn queued_bytes(queues: &str) -> usize {
    let sizes = queues.split(':');
    sizes
        .map(|size| usize::from_str_radix(size, 16).unwrap())
        .sum()
}
