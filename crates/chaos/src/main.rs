//! Command-line entry point of `cottondyke-chaos`: runs one experiment and prints its report.
use cottondyke_chaos::experiments::Experiment;
use cottondyke_chaos::helper;
use cottondyke_chaos::options::{parse_arguments, Command, HELP};
use std::ffi::OsString;
use std::process::ExitCode;

const EXIT_CHECK_FAILED: u8 = 1;
const EXIT_BAD_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    if let Some(code) = helper::run(&arguments) {
        return code;
    }
    let (name, options) = match parse_arguments(arguments) {
        Ok(Command::Run {
            experiment,
            options,
        }) => (experiment, options),
        Ok(Command::Help) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("cottondyke-chaos: {error}; see cottondyke-chaos --help");
            return ExitCode::from(EXIT_BAD_USAGE);
        }
    };
    let Some(experiment) = Experiment::from_name(&name) else {
        eprintln!("cottondyke-chaos: unknown experiment {name:?}; see cottondyke-chaos --help");
        return ExitCode::from(EXIT_BAD_USAGE);
    };
    match experiment.run(&options) {
        Ok(report) => {
            println!("{}", report.to_json(experiment.trial_name(), &options));
            if report.passes() {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_CHECK_FAILED)
            }
        }
        Err(error) => {
            eprintln!("cottondyke-chaos: {name}: {error}");
            ExitCode::from(if error.is_usage_error() {
                EXIT_BAD_USAGE
            } else {
                EXIT_CHECK_FAILED
            })
        }
    }
}
