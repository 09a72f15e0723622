//! The report on the fleet under test, compared with the fleets without fallbacks and with fixed limits.
use super::super::shop::{CEILING, DEPENDENCY_NAMES, RETRY_BUDGET};
use super::schedule::{FaultWindow, BASELINE_SECONDS, LAST_RECOVERY_SECONDS, NODES, RATE};
use super::timeline::Timeline;
use crate::report::Report;
use cottondyke_test_support::fake_dependency::FakeDependency;

/// Minimum number of requests sent, in seconds of the full request rate.
const MIN_LOAD_SECONDS: f64 = 10.0;
/// Seconds at the start of a fault window in which the fleet may adapt.
const ADAPT_SECONDS: f64 = 0.5;
/// Length of the interval after a window for which the mean value is reported, in seconds.
const POST_FAULT_SECONDS: f64 = 1.5;
const MAX_RECOVERY_SECONDS: f64 = 5.0;

/// Results of a run, on which the checks are based.
struct Results<'a> {
    windows: &'a [FaultWindow],
    dependencies: &'a [FakeDependency],
    /// The fleet under test.
    timeline: &'a Timeline,
    without_fallbacks: &'a Timeline,
    with_fixed_limits: &'a Timeline,
}

/// Reports on the fleet under test, which has the first timeline and the given dependencies.
pub(super) fn report(
    windows: &[FaultWindow],
    dependencies: &[FakeDependency],
    [timeline, without_fallbacks, with_fixed_limits]: &[Timeline; 3],
) -> Report {
    let results = Results {
        windows,
        dependencies,
        timeline,
        without_fallbacks,
        with_fixed_limits,
    };
    let mut report = Report::default();
    results.check_answers(&mut report);
    results.check_dependencies(&mut report);
    results.check_value(&mut report);
    results.check_recovery(&mut report);
    results.check_extra_calls(&mut report);
    results.check_completeness(&mut report);
    results.add_figures(&mut report);
    report
}

impl Results<'_> {
    fn check_answers(&self, report: &mut Report) {
        let timeline = self.timeline;
        let all = timeline.len();
        let min_sent = RATE * NODES as f64 * MIN_LOAD_SECONDS;
        report.check_at_least("reqs sent", all, min_sent);
        report.check_at_most(
            "reqs without exactly one answer",
            timeline.count(|score| score.answers != 1),
            0.0,
        );
        report.check_at_most(
            "reqs answered after their due time",
            timeline.count(|score| score.is_timed_out),
            0.0,
        );
        report.check_at_most(
            "part of answers past the response target",
            timeline.count(|score| score.is_late) / all,
            0.01,
        );
        report.check_at_most(
            "answers that are not what their head says",
            timeline.count(|score| score.is_inconsistent),
            0.0,
        );
    }

    fn check_dependencies(&self, report: &mut Report) {
        let max_in_flight = self
            .dependencies
            .iter()
            .map(|dependency| dependency.counts().max_in_flight)
            .max()
            .unwrap_or_default();
        report.check_at_most(
            "calls held at a dependency",
            max_in_flight as f64,
            CEILING as f64,
        );
    }

    fn check_value(&self, report: &mut Report) {
        let ratio = |other: &Timeline| self.timeline.value() / other.value().max(1.0);
        report.check_at_least(
            "value beside no fall-backs",
            ratio(self.without_fallbacks),
            1.5,
        );
        report.check_above(
            "value beside fixed limits and no breaker",
            ratio(self.with_fixed_limits),
            1.0,
        );
    }

    fn check_recovery(&self, report: &mut Report) {
        let recovery_seconds = self.windows.iter().enumerate().map(|(index, window)| {
            let next = self.windows.get(index + 1);
            let end = next.map_or(window.end + LAST_RECOVERY_SECONDS, |next| next.start);
            self.timeline.recovery_seconds(window.end, end)
        });
        report.check_at_most(
            "seconds until 0.95 are whole again",
            recovery_seconds.fold(0.0, f64::max),
            MAX_RECOVERY_SECONDS,
        );
    }

    fn check_extra_calls(&self, report: &mut Report) {
        for (name, dependency) in DEPENDENCY_NAMES.iter().zip(self.dependencies) {
            let counts = dependency.counts();
            report.figure(&format!("calls at {name}"), counts.calls);
            report.figure(&format!("extra calls at {name}"), counts.extra);
            report.figure(&format!("most held at {name}"), counts.max_in_flight);
        }
        let extra_fractions = self.dependencies.iter().map(|dependency| {
            let counts = dependency.counts();
            let first_calls = counts.calls - counts.extra;
            counts.extra as f64 / (first_calls as f64).max(1.0)
        });
        report.check_at_most(
            "extra calls as a part of first ones",
            extra_fractions.fold(0.0, f64::max),
            RETRY_BUDGET,
        );
    }

    fn check_completeness(&self, report: &mut Report) {
        let complete_fraction = |window: &FaultWindow| {
            let start = window.start + ADAPT_SECONDS;
            self.timeline.complete_fraction(start, window.end)
        };
        if let [.., overload, outliers] = self.windows {
            report.figure("part whole while one is weak", complete_fraction(overload));
            report.check_at_least(
                "part whole while calls straggle",
                complete_fraction(outliers),
                0.98,
            );
        }
        let baseline_end = BASELINE_SECONDS - ADAPT_SECONDS;
        report.check_at_least(
            "part whole before anything is wrong",
            self.timeline.complete_fraction(0.0, baseline_end),
            1.0,
        );
    }

    fn add_figures(&self, report: &mut Report) {
        let timeline = self.timeline;
        let all = timeline.len();
        let complete = timeline.count(|score| score.is_done && !score.is_partial);
        let partial = timeline.count(|score| score.is_partial);
        let failed = timeline.count(|score| !score.is_done);
        report.figure("reqs", all);
        report.figure("whole", complete / all);
        report.figure("partial", partial / all);
        report.figure("shed or errored", failed / all);
        report.figure("value a req", timeline.value() / all);
        report.figure(
            "value a req without fall-backs",
            self.without_fallbacks.value() / all,
        );
        report.figure(
            "value a req with fixed limits and no breaker",
            self.with_fixed_limits.value() / all,
        );
        let windows = self.windows.iter();
        let windows: Vec<String> = windows.map(|window| self.describe(window)).collect();
        report.figure("spells", windows);
    }

    /// Describes a window: its faults, and the mean value of answers during and after it.
    fn describe(&self, window: &FaultWindow) -> String {
        let faults: Vec<String> = window
            .faults
            .iter()
            .map(|fault| format!("{} {}", DEPENDENCY_NAMES[fault.dependency], fault.fault))
            .collect();
        let values = |start: f64, end: f64| {
            let own = self.timeline.mean_value(start, end);
            let other = self.with_fixed_limits.mean_value(start, end);
            format!("{own:.3} (with fixed limits {other:.3})")
        };
        format!(
            "{}: value {}, after it {}",
            faults.join(", "),
            values(window.start, window.end),
            values(window.end, window.end + POST_FAULT_SECONDS)
        )
    }
}
