//! Reads the arguments of one declaration. A parser reads each argument by name and states what it expects; an argument
//! that it does not read is an error, which suggests the most similar known name.
use crate::format::{format_value, parse_duration};
use crate::suggestion::suggest_nearest;
use crate::{ConfigError, Declaration, SourceLocation};
use cottondyke_types::Time;
use serde_json::{Map, Value as Json};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The maximum length of a name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

const EXPECTED_NAME: &str = "a name of at most 64 letters, digits, dashes, dots and underscores";
const EXPECTED_DURATION: &str = "a time over 0 such as \"300ms\", \"1.8s\" or \"2m\"";
const EXPECTED_ADDRESS: &str = "an IP address with a port such as \"127.0.0.1:8080\"";

/// An invalid argument of a declaration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ArgumentError {
    #[error("too many positional arguments ({count}): expected {expected}")]
    TooManyPositional { count: usize, expected: String },
    #[error("{name} is given twice")]
    GivenTwice { name: &'static str },
    #[error("{name} = {value}: expected {expected}")]
    Unexpected {
        name: &'static str,
        value: String,
        expected: String,
    },
    #[error("{name} is missing: expected {expected}")]
    Missing {
        name: &'static str,
        expected: String,
    },
    #[error("unknown argument {name:?}: expected any of {known}{suggestion}")]
    Unknown {
        name: String,
        known: String,
        suggestion: String,
    },
}

/// The arguments of one declaration that have not been read yet.
pub(crate) struct Arguments {
    pub(crate) function: String,
    pub(crate) at: SourceLocation,
    named: Map<String, Json>,
    /// The names read so far, in that order; errors list them as the known arguments.
    known: Vec<&'static str>,
}

impl Arguments {
    /// Assigns positional arguments to names. `positional` lists the arguments that may be given by position.
    pub(crate) fn new(
        declaration: Declaration,
        positional: &[&'static str],
    ) -> Result<Self, ConfigError> {
        let mut arguments = Arguments {
            function: declaration.function,
            at: declaration.at,
            named: declaration.named,
            known: Vec::new(),
        };
        let count = declaration.positional.len();
        if count > positional.len() {
            let expected = match positional {
                [] => "named arguments only".to_string(),
                names => format!("at most {} ({})", names.len(), names.join(", ")),
            };
            return Err(arguments.error(ArgumentError::TooManyPositional { count, expected }));
        }
        for (&name, value) in positional.iter().zip(declaration.positional) {
            if arguments.named.insert(name.to_string(), value).is_some() {
                return Err(arguments.error(ArgumentError::GivenTwice { name }));
            }
        }
        Ok(arguments)
    }

    /// Creates an error at the location of this declaration.
    pub(crate) fn error(&self, cause: impl Display) -> ConfigError {
        ConfigError::new(self.at.clone(), format!("{}: {cause}", self.function))
    }

    /// Creates the error for an argument whose value is not as expected.
    pub(crate) fn unexpected(
        &self,
        name: &'static str,
        value: &Json,
        expected: &str,
    ) -> ConfigError {
        self.error(ArgumentError::Unexpected {
            name,
            value: format_value(value),
            expected: expected.to_string(),
        })
    }

    /// Removes and returns the argument of this name. `None` in a script counts as absent.
    fn take(&mut self, name: &'static str) -> Option<Json> {
        self.known.push(name);
        self.named.remove(name).filter(|value| !value.is_null())
    }

    /// Converts an argument with `read`. An absent argument yields `default`, or an error if there is no default.
    pub(crate) fn read<T>(
        &mut self,
        name: &'static str,
        expected: &str,
        default: Option<T>,
        read: impl Fn(&Json) -> Option<T>,
    ) -> Result<T, ConfigError> {
        match (self.take(name), default) {
            (Some(value), _) => read(&value).ok_or_else(|| self.unexpected(name, &value, expected)),
            (None, Some(default)) => Ok(default),
            (None, None) => Err(self.error(ArgumentError::Missing {
                name,
                expected: expected.to_string(),
            })),
        }
    }

    /// Like [`Arguments::read`], for an argument that may be absent.
    pub(crate) fn read_optional<T>(
        &mut self,
        name: &'static str,
        expected: &str,
        read: impl Fn(&Json) -> Option<T>,
    ) -> Result<Option<T>, ConfigError> {
        self.read(name, expected, Some(None), |value| read(value).map(Some))
    }

    /// A name: letters, digits, dashes, dots and underscores.
    pub(crate) fn name(
        &mut self,
        name: &'static str,
        default: Option<&str>,
    ) -> Result<String, ConfigError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let is_name = |text: &&str| {
            !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
        };
        let default = default.map(String::from);
        self.read(name, EXPECTED_NAME, default, |value| {
            value.as_str().filter(is_name).map(String::from)
        })
    }

    /// True or False.
    pub(crate) fn boolean(
        &mut self,
        name: &'static str,
        default: bool,
    ) -> Result<bool, ConfigError> {
        self.read(name, "True or False", Some(default), Json::as_bool)
    }

    /// A number within `range`.
    pub(crate) fn number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> Result<f64, ConfigError> {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.read(name, &expected, default, |value| {
            value.as_f64().filter(|number| range.contains(number))
        })
    }

    /// A whole number within `range`.
    pub(crate) fn integer(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Result<u64, ConfigError> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.read(name, &expected, default, |value| {
            value.as_u64().filter(|number| range.contains(number))
        })
    }

    /// A whole number within `range`, or `None`.
    pub(crate) fn optional_integer(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Result<Option<u64>, ConfigError> {
        let (min, max) = (range.start(), range.end());
        let expected = format!("None or a whole number from {min} to {max}");
        self.read_optional(name, &expected, |value| {
            value.as_u64().filter(|number| range.contains(number))
        })
    }

    /// A duration over 0.
    pub(crate) fn duration(
        &mut self,
        name: &'static str,
        default: Option<Time>,
    ) -> Result<Time, ConfigError> {
        self.read(name, EXPECTED_DURATION, default, |value| {
            let duration = value.as_str().and_then(parse_duration);
            duration.filter(|duration| *duration > Time(0))
        })
    }

    /// An IP address with a port.
    pub(crate) fn address(&mut self, name: &'static str) -> Result<SocketAddr, ConfigError> {
        self.read(name, EXPECTED_ADDRESS, None, |value| {
            value.as_str()?.parse().ok()
        })
    }

    /// One of the keywords of `choices`, converted to the value paired with it.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        name: &'static str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Result<T, ConfigError> {
        let keywords = || choices.iter().map(|(keyword, _)| *keyword);
        let given = self.named.get(name).and_then(Json::as_str);
        let expected = format!(
            "one of {}{}",
            keywords().collect::<Vec<_>>().join(", "),
            suggest_nearest(given.unwrap_or_default(), keywords())
        );
        self.read(name, &expected, default, |value| {
            let chosen = choices.iter().find(|(keyword, _)| value == keyword)?;
            Some(chosen.1)
        })
    }

    /// A list; empty if the argument is absent.
    pub(crate) fn list(
        &mut self,
        name: &'static str,
        expected: &str,
    ) -> Result<Vec<Json>, ConfigError> {
        self.read(name, expected, Some(Vec::new()), |value| {
            value.as_array().cloned()
        })
    }

    /// Checks that every given argument was read.
    pub(crate) fn finish(self) -> Result<(), ConfigError> {
        let Some(name) = self.named.keys().next() else {
            return Ok(());
        };
        Err(self.error(ArgumentError::Unknown {
            name: name.clone(),
            known: self.known.join(", "),
            suggestion: suggest_nearest(name, self.known.iter().copied()),
        }))
    }
}
