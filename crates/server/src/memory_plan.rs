//! Divides the memory limit of the process between the program, the connections and what callers make it hold.
//!
//! The platform ends a process whose resident memory, pages of files included, and kernel buffers exceed the limit. The
//! program and each connection take memory whatever the limit is, so both are subtracted before callers get the rest.

/// Memory that the program takes at least: code, stacks, tables and log.
const MIN_PROGRAM_BYTES: usize = 6 << 20;
/// Memory that the program takes beyond what is resident when it starts to serve.
const PROGRAM_GROWTH_BYTES: usize = 2 << 20;
/// Memory that is at least left for what connections share.
const MIN_SHARED_BYTES: usize = 2 << 20;
/// The fewest connections with which a server is of use.
const MIN_CONNECTIONS: usize = 16;
/// The fixed part of a connection in the process: its tasks, entries in tables, the first block of its queue of responses,
/// and a read buffer of the size that is always granted.
const CONNECTION_BYTES: usize = 12 << 10;
/// What a connection may make the process hold however little of the shared memory is free: one request of the usual size.
pub const MIN_ACCOUNT_BYTES: usize = 8_192;
/// The fixed part of a connection in the kernel, without its buffers.
const SOCKET_BYTES: usize = 4 << 10;
/// Bounds of the size of a connection's receive buffer in the kernel. With less, a sidecar's window would be shorter than a
/// request.
const MIN_RECEIVE_BUFFER_BYTES: usize = 8 << 10;
const MAX_RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// All receive buffers may take the memory for connections divided by this.
const RECEIVE_BUFFER_DIVISOR: usize = 8;
/// Largest size of a connection's send buffer in the kernel, which uses a quarter of it for itself. The largest frame fits,
/// and so do the answers to all requests that may be open, so that a process that ends leaves none behind.
const MAX_SEND_BUFFER_BYTES: usize = 512 << 10;
/// What a connection's send buffer holds of answers that its client reads slowly, on average of all connections.
const SEND_BUFFER_BYTES: usize = 12 << 10;
/// Connections in the listen queue may take the memory for connections divided by this. The kernel drops a connection attempt
/// that does not fit into the queue: it is lost, or succeeds seconds later if the client's side retries it.
const LISTEN_QUEUE_DIVISOR: usize = 8;
/// Maximum length of the listen queue, in connections.
const MAX_LISTEN_QUEUE: usize = 1_024;
/// What callers hold takes this much resident memory, as a ratio: the allocator keeps freed memory, and blocks of different
/// sizes leave gaps between them.
const ALLOCATOR_OVERHEAD: (usize, usize) = (3, 2);

/// What takes memory.
#[derive(Clone, Copy, Debug)]
pub struct MemoryDemand {
    /// The memory limit of the process, in bytes.
    pub limit_bytes: usize,
    /// Memory of the program without callers, in bytes.
    pub program_bytes: usize,
    /// Memory that is set aside for cached responses of dependencies, in bytes.
    pub cache_bytes: usize,
    /// The connections that the descriptors allow.
    pub max_connections: usize,
}

/// Sizes of a connection's buffers in the kernel, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBuffers {
    /// What has arrived and is not read yet.
    pub receive_bytes: usize,
    /// What is written and not acknowledged by the peer yet.
    pub send_bytes: usize,
}

impl SocketBuffers {
    fn new(receive_bytes: usize) -> Self {
        SocketBuffers {
            receive_bytes,
            send_bytes: MAX_SEND_BUFFER_BYTES,
        }
    }
}

/// A memory limit that does not hold the program and its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a memory limit of {limit_bytes} bytes is too small: at least {min_bytes} are needed")]
pub struct MemoryTooSmall {
    /// The limit.
    pub limit_bytes: usize,
    /// The smallest limit.
    pub min_bytes: usize,
}

/// How the memory limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The connections that the descriptors allow and the memory holds.
    pub max_connections: usize,
    /// Length of the listen queue, in connections.
    pub listen_queue: usize,
    /// Sizes of a connection's buffers in the kernel.
    pub socket_buffers: SocketBuffers,
    /// What connections may make the process hold together, beyond the part of its own that each has, in bytes.
    pub shared_bytes: usize,
    /// Memory of the program without callers, in bytes.
    pub program_bytes: usize,
    /// The memory limit of the process, in bytes.
    pub limit_bytes: usize,
}

impl MemoryPlan {
    /// Divides a memory limit. Connections that do not fit are left out.
    pub fn new(demand: MemoryDemand) -> Result<Self, MemoryTooSmall> {
        let fixed_bytes = demand.program_bytes + demand.cache_bytes;
        let min_bytes = fixed_bytes
            + MIN_SHARED_BYTES
            + MIN_CONNECTIONS * connection_bytes(MIN_RECEIVE_BUFFER_BYTES) * LISTEN_QUEUE_DIVISOR
                / (LISTEN_QUEUE_DIVISOR - 1);
        if demand.limit_bytes < min_bytes {
            return Err(MemoryTooSmall {
                limit_bytes: demand.limit_bytes,
                min_bytes,
            });
        }
        let caller_bytes = demand.limit_bytes - fixed_bytes;
        let for_connections = caller_bytes - MIN_SHARED_BYTES;
        let queue_bytes = for_connections / LISTEN_QUEUE_DIVISOR;
        let connections_fit =
            (for_connections - queue_bytes) / connection_bytes(MIN_RECEIVE_BUFFER_BYTES);
        let max_connections = demand.max_connections.min(connections_fit);
        let buffers_bytes = for_connections / RECEIVE_BUFFER_DIVISOR;
        let receive_buffer_bytes = (buffers_bytes / max_connections.max(1))
            .clamp(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES);
        let connections_bytes = max_connections * connection_bytes(receive_buffer_bytes);
        let listen_queue = queue_bytes / (SOCKET_BYTES + receive_buffer_bytes);
        let left = caller_bytes - connections_bytes - queue_bytes;
        Ok(MemoryPlan {
            max_connections,
            listen_queue: listen_queue.min(MAX_LISTEN_QUEUE),
            socket_buffers: SocketBuffers::new(receive_buffer_bytes),
            shared_bytes: without_allocator_overhead(left),
            program_bytes: demand.program_bytes,
            limit_bytes: demand.limit_bytes,
        })
    }

    /// Warns if the memory limit does not hold all connections that the descriptors allow.
    pub fn log_left_out(&self, allowed: usize) {
        if self.max_connections < allowed {
            tracing::warn!(
                memory_kb = self.limit_bytes >> 10,
                held = self.max_connections,
                allowed,
                "the memory limit holds fewer connections than the descriptors allow"
            );
        }
    }

    /// A plan for this many connections without a limit on memory.
    pub fn unlimited(max_connections: usize) -> Self {
        MemoryPlan {
            max_connections,
            listen_queue: MAX_LISTEN_QUEUE,
            socket_buffers: SocketBuffers::new(MAX_RECEIVE_BUFFER_BYTES),
            shared_bytes: usize::MAX / 4,
            program_bytes: 0,
            limit_bytes: usize::MAX,
        }
    }
}

/// What callers may hold of this much memory once the allocator has taken its part.
fn without_allocator_overhead(bytes: usize) -> usize {
    let (resident, held) = ALLOCATOR_OVERHEAD;
    bytes / resident * held
}

/// The memory of the program without callers, given its resident memory when it starts to serve.
pub fn program_bytes(resident_bytes: Option<usize>) -> usize {
    let at_start = resident_bytes.unwrap_or(0);
    MIN_PROGRAM_BYTES.max(at_start + PROGRAM_GROWTH_BYTES)
}

/// The memory of a connection with a receive buffer of this size, without its part of what connections share.
fn connection_bytes(receive_buffer_bytes: usize) -> usize {
    let in_kernel = SOCKET_BYTES + receive_buffer_bytes + SEND_BUFFER_BYTES;
    CONNECTION_BYTES + MIN_ACCOUNT_BYTES + in_kernel
}
