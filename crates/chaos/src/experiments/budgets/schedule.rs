//! The phases of the experiment, and the faults of single nodes, which are drawn from a seed.
use std::fmt;
use std::time::Duration;

/// Instances of each fleet.
pub(super) const NODES: usize = 8;
/// The first so many of them are replicas of the registry.
pub(super) const REPLICAS: usize = 3;
pub(super) const ZONES: usize = 3;
/// Names by index; the ninth has links and a data directory, but no process.
pub(super) const NODE_NAMES: [&str; 9] = ["n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"];

/// The phases, in seconds from when the load begins: calm, faults of single nodes, a zone partitioned, quiet, and full
/// use at the end.
pub(super) const FAULTS_START: f64 = 6.0;
pub(super) const ZONE_PARTITION_START: f64 = 19.5;
pub(super) const QUIET_START: f64 = 25.5;
pub(super) const LAST_PHASE_START: f64 = 31.0;
pub(super) const END: f64 = 33.0;
/// How long after the partition of a zone its use is measured from.
pub(super) const PARTITION_SETTLE_SECONDS: f64 = 1.5;

/// The node whose messages arrive late once, when it needs little, when, and how late.
pub(super) const LATE_NODE: usize = NODES - 1;
pub(super) const LATE_DELIVERY_START: f64 = 18.2;
pub(super) const LATE_DELIVERY_DELAY: Duration = Duration::from_millis(4_400);
/// From then on all others use what they may, so that the late node has next to nothing.
pub(super) const CROWDED_START: f64 = LATE_DELIVERY_START - 3.0;

/// Nodes with a fault, beside one replica.
const FAULTY_NODES: usize = 4;
/// Seconds between the starts of two faults, before what is drawn.
const FAULT_INTERVAL: f64 = 1.7;
/// A fault's shortest duration, and what is drawn beside it, in seconds.
const MIN_FAULT_SECONDS: f64 = 2.5;
const MAX_EXTRA_FAULT_SECONDS: f64 = 3.5;
/// Faults end this long before the zone is partitioned.
const LAST_FAULT_END: f64 = ZONE_PARTITION_START - 1.0;

/// What happens to one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Its links drop bytes in both directions.
    Partition,
    /// Its links drop bytes in one direction.
    OneWayPartition(MessageDirection),
    /// Its links hold bytes.
    Stall,
    /// The process is paused.
    Pause,
    /// The process is killed, and restarted later.
    Kill,
    /// As a kill, and the registry on its disk is deleted.
    DiskLoss,
    /// It drains and ends, and joins again later.
    Drain,
}

/// Which messages of a node a partition drops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageDirection {
    /// Those that it sends.
    FromNode,
    /// Those that are sent to it.
    ToNode,
}

/// The text that reports show, which outlives the names of the variants.
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

/// A time in which a node has a fault, in seconds from the start of the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultWindow {
    pub(super) node: usize,
    pub(super) fault: Fault,
    pub(super) start: f64,
    pub(super) end: f64,
}

/// Draws five windows, two and more at a time; one replica has a fault.
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

/// Whether a window starts or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Edge {
    Start,
    End,
}

/// The start or the end of a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultEvent {
    /// Seconds from the start of the load.
    pub(super) at: f64,
    pub(super) edge: Edge,
    pub(super) window: FaultWindow,
}

/// The starts and ends of all windows in the order of time.
pub(super) fn fault_events(windows: &[FaultWindow]) -> Vec<FaultEvent> {
    let events = windows.iter().flat_map(|window| {
        [(window.start, Edge::Start), (window.end, Edge::End)].map(|(at, edge)| FaultEvent {
            at,
            edge,
            window: *window,
        })
    });
    let mut events: Vec<FaultEvent> = events.collect();
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    events
}
