//! Measures simulated clusters of several sizes, without faults.
use crate::error::Error;
use crate::options::Options;
use crate::report::Report;
use crate::simulation::{measure_scale, MAX_DETECTION_SECONDS, MAX_REALLOCATION_SECONDS};

/// Cluster sizes to measure, in members.
const CLUSTER_SIZES: [usize; 3] = [10, 100, 1_000];

/// Measures a cluster of each size up to `options.members`.
pub(super) fn run(options: &Options) -> Result<Report, Error> {
    options.disabled_safeguards(&[])?;
    let mut report = Report::default();
    for members in CLUSTER_SIZES
        .into_iter()
        .filter(|members| *members <= options.members)
    {
        let measured = measure_scale(options.seed, members)?;
        report.check_at_most(
            "seconds until a dead member is in no list",
            measured.detection_seconds,
            MAX_DETECTION_SECONDS,
        );
        report.check_at_most(
            "seconds until a need that jumped is met",
            measured.reallocation_seconds,
            MAX_REALLOCATION_SECONDS,
        );
        report.figure(
            &format!("{members} members: bytes a second and member"),
            measured.bytes_per_member_second.round(),
        );
        report.figure(
            &format!("{members} members: seconds until a dead one is in no list"),
            measured.detection_seconds,
        );
        report.figure(
            &format!("{members} members: seconds until a need that jumped is met"),
            measured.reallocation_seconds,
        );
    }
    Ok(report)
}
