//! Simulated clusters without faults, by their size.
use crate::error::Error;
use crate::options::Options;
use crate::report::Report;
use crate::simulation::{measure_scale, MAX_DETECTION_SECONDS, MAX_REALLOCATION_SECONDS};

/// Sizes of the table, in members.
const CLUSTER_SIZES: [usize; 3] = [10, 100, 1_000];

/// Measures clusters of each size up to the options' member count.
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
