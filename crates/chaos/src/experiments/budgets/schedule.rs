//! The phases of the experiment, and the schedule of faults of single nodes, which is drawn from a seed.
use std::fmt;
use std::time::Duration;

/// Number of instances in each fleet.
pub(super) const NODES: usize = 8;
/// Number of replicas of the registry; they are the first instances.
pub(super) const REPLICAS: usize = 3;
pub(super) const ZONES: usize = 3;
/// Node names by index. The ninth node has links and a data directory, but no process.
pub(super) const NODE_NAMES: [&str; 9] = ["n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"];

/// Starts of the phases, in seconds from the start of the load. A phase without faults is followed by faults of single
/// nodes, the partition of a zone, recovery without faults, and a last phase in which full utilization is measured.
pub(super) const FAULTS_START: f64 = 6.0;
pub(super) const ZONE_PARTITION_START: f64 = 19.5;
pub(super) const RECOVERY_START: f64 = 25.5;
pub(super) const LAST_PHASE_START: f64 = 31.0;
pub(super) const END: f64 = 33.0;
/// Time between the start of the zone partition and the measurement of utilization.
pub(super) const PARTITION_SETTLE_SECONDS: f64 = 1.5;

/// The node whose messages are once delivered late, while its demand is low; the time of that, and the delay.
pub(super) const LATE_NODE: usize = NODES - 1;
pub(super) const LATE_DELIVERY_START: f64 = 18.2;
pub(super) const LATE_DELIVERY_DELAY: Duration = Duration::from_millis(4_400);
/// From this time on the demand of the other nodes uses up the shared budget, which leaves the late node almost none.
pub(super) const CONTENTION_START: f64 = LATE_DELIVERY_START - 3.0;

/// Number of nodes with a fault, in addition to one replica.
const FAULTY_NODES: usize = 4;
/// Seconds between the starts of two faults, before the random offset.
const FAULT_INTERVAL: f64 = 1.7;
/// Minimum duration of a fault, and the maximum of the random addition to it, in seconds.
const MIN_FAULT_SECONDS: f64 = 2.5;
const MAX_EXTRA_FAULT_SECONDS: f64 = 3.5;
/// All faults end by this time, one second before the partition of the zone.
const LAST_FAULT_END: f64 = ZONE_PARTITION_START - 1.0;

/// A fault of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// The links of the node drop bytes in both directions.
    Partition,
    /// The links of the node drop bytes in one direction.
    OneWayPartition(MessageDirection),
    /// The links of the node hold bytes back until the fault ends.
    Stall,
    /// The process is paused.
    Pause,
    /// The process is killed, and restarted later.
    Kill,
    /// The process is killed, its data directory is deleted, and it is restarted later.
    DiskLoss,
    /// The process drains and exits, and is restarted later.
    Drain,
}

/// Which messages of a node a one-way partition drops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageDirection {
    /// Messages that the node sends.
    FromNode,
    /// Messages that are sent to the node.
    ToNode,
}

/// Formats the fault for reports; the text stays the same when a variant is renamed.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Partition => "Cut",
            Fault::OneWayPartition(MessageDirection::FromNode) => "OneWay(true)",
            Fault::OneWayPartition(MessageDirection::ToNode) => "OneWay(false)",
            Fault::Stall => "Stall",
            Fault::Pause => "Stop",
            Fault::Kill => "Kill",
            Fault::DiskLoss => "DiskLost",
            Fault::Drain => "Leave",
        })
    }
}

/// An interval in which a node has a fault, in seconds from the start of the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultWindow {
    pub(super) node: usize,
    pub(super) fault: Fault,
    pub(super) start: f64,
    pub(super) end: f64,
}

/// Draws five overlapping fault windows, one of them for a replica.
pub(super) fn draw_schedule(random: &mut fastrand::Rng) -> Vec<FaultWindow> {
    let mut nodes: Vec<usize> = (REPLICAS..LATE_NODE).collect();
    random.shuffle(&mut nodes);
    let replica = random.usize(0..REPLICAS);
    nodes.truncate(FAULTY_NODES);
    nodes.insert(random.usize(0..=nodes.len()), replica);
    let draw_window = |(number, node): (usize, usize)| {
        let start = FAULTS_START + number as f64 * FAULT_INTERVAL + random.f64();
        let end = start + MIN_FAULT_SECONDS + random.f64() * MAX_EXTRA_FAULT_SECONDS;
        FaultWindow {
            node,
            fault: draw_fault(random),
            start,
            end: end.min(LAST_FAULT_END),
        }
    };
    nodes.into_iter().enumerate().map(draw_window).collect()
}

fn draw_fault(random: &mut fastrand::Rng) -> Fault {
    match random.u8(0..8) {
        0 => Fault::Partition,
        1 => Fault::OneWayPartition(if random.bool() {
            MessageDirection::FromNode
        } else {
            MessageDirection::ToNode
        }),
        2 => Fault::Stall,
        3 | 4 => Fault::Pause,
        5 => Fault::Kill,
        6 => Fault::Drain,
        _ => Fault::DiskLoss,
    }
}

/// Whether an event is the start or the end of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WindowBoundary {
    Start,
    End,
}

/// The start or the end of a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultEvent {
    /// Time of the event, in seconds from the start of the load.
    pub(super) at: f64,
    pub(super) boundary: WindowBoundary,
    pub(super) window: FaultWindow,
}

/// Returns the starts and ends of all windows, ordered by time.
pub(super) fn fault_events(windows: &[FaultWindow]) -> Vec<FaultEvent> {
    let events = windows.iter().flat_map(|window| {
        [
            (window.start, WindowBoundary::Start),
            (window.end, WindowBoundary::End),
        ]
        .map(|(at, boundary)| FaultEvent {
            at,
            boundary,
            window: *window,
        })
    });
    let mut events: Vec<FaultEvent> = events.collect();
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    events
}
