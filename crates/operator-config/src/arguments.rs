//! Reads the arguments of one declaration: each is asked for by name with what is expected of it, and what was
//! not asked for is an error with the nearest name that is known.
use crate::{ConfigError, Declaration, SourceLocation, AT, MADE};
use cottondyke_types::Time;
use serde_json::{Map, Value as Json};

/// How alike two names must be for one to be offered for the other.
const ALIKE: f64 = 0.6;

/// The known name nearest to a mistyped one, as the end of an error's text.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let likeness = |other: &str| strsim::jaro_winkler(name, other);
    let best = known.max_by(|a, b| likeness(a).total_cmp(&likeness(b)));
    best.filter(|b| likeness(b) >= ALIKE)
        .map_or(String::new(), |best| format!(" (the nearest is {best:?})"))
}

pub fn shown(value: &Json) -> String {
    let text = value.to_string();
    if text.chars().count() > 60 {
        text.chars().take(57).collect::<String>() + "..."
    } else {
        text
    }
}

/// A span such as "300ms", "1.8s", "2m" or "1h".
pub fn duration(text: &str) -> Option<Time> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(digits);
    let number: f64 = number.parse().ok()?;
    let ms = match unit {
        "ms" => 1.0,
        "s" => 1_000.0,
        "m" => 60_000.0,
        "h" => 3_600_000.0,
        _ => return None,
    };
    let tenths = number * ms * 10.0;
    (tenths.is_finite() && tenths <= 1e12).then_some(Time(tenths.round() as i64))
}

/// The arguments of one declaration, taken out one by one.
pub struct Arguments {
    pub function: String,
    pub at: SourceLocation,
    named: Map<String, Json>,
    asked: Vec<&'static str>,
}

impl Arguments {
    /// `first`: the names of the arguments that may be given by their position.
    pub fn new(declared: Declaration, first: &[&'static str]) -> Result<Self, ConfigError> {
        let Declaration {
            function,
            at,
            args,
            mut named,
        } = declared;
        let count = args.len();
        let wrong = |what: String| ConfigError {
            location: at.clone(),
            message: what,
        };
        if count > first.len() {
            let names = first.join(", ");
            let most = if first.is_empty() {
                "named arguments alone".into()
            } else {
                format!("only {names} unnamed")
            };
            return Err(wrong(format!(
                "{function}: {count} unnamed arguments: expected {most}"
            )));
        }
        for (name, value) in first.iter().zip(args) {
            if named.insert(name.to_string(), value).is_some() {
                return Err(wrong(format!("{function}: {name} is given twice")));
            }
        }
        Ok(Arguments {
            function,
            at,
            named,
            asked: Vec::new(),
        })
    }

    /// A value that `part`, `kept` or their like made.
    pub fn made(value: &Json, first: &[&'static str]) -> Option<Result<Self, ConfigError>> {
        let function = value.get(MADE)?.as_str()?.to_string();
        let at = value.get(AT)?;
        let at = SourceLocation {
            file: at.get(0)?.as_str()?.to_string(),
            line: at.get(1)?.as_u64()? as usize,
        };
        let args = value.get("args")?.as_array()?.clone();
        let named = value.get("named")?.as_object()?.clone();
        Some(Arguments::new(
            Declaration {
                function,
                at,
                args,
                named,
            },
            first,
        ))
    }

    pub fn wrong(&self, what: impl Into<String>) -> ConfigError {
        ConfigError {
            location: self.at.clone(),
            message: format!("{}: {}", self.function, what.into()),
        }
    }

    pub fn expected(&self, name: &str, value: &Json, what: &str) -> ConfigError {
        self.wrong(format!("{name} = {}: expected {what}", shown(value)))
    }

    /// What was given under a name; `None` stands for not given.
    pub fn maybe(&mut self, name: &'static str) -> Option<Json> {
        self.asked.push(name);
        self.named.remove(name).filter(|v| !v.is_null())
    }

    /// What `read` makes of a value; `default` where none is given, an error where there is no default either.
    pub fn read<T>(
        &mut self,
        name: &'static str,
        what: &str,
        default: Option<T>,
        read: impl Fn(&Json) -> Option<T>,
    ) -> Result<T, ConfigError> {
        match (self.maybe(name), default) {
            (Some(value), _) => read(&value).ok_or_else(|| self.expected(name, &value, what)),
            (None, Some(default)) => Ok(default),
            (None, None) => Err(self.wrong(format!("{name} is missing: expected {what}"))),
        }
    }

    /// A name: letters, digits, dashes, dots and underscores.
    pub fn name(
        &mut self,
        name: &'static str,
        default: Option<&str>,
    ) -> Result<String, ConfigError> {
        let what = "a name of at most 64 letters, digits, dashes, dots and underscores";
        let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let plain = |text: &&str| !text.is_empty() && text.len() <= 64 && text.chars().all(fits);
        let default = default.map(String::from);
        self.read(name, what, default, |value| {
            value.as_str().filter(plain).map(String::from)
        })
    }

    pub fn flag(&mut self, name: &'static str, default: bool) -> Result<bool, ConfigError> {
        self.read(name, "True or False", Some(default), Json::as_bool)
    }

    pub fn number(
        &mut self,
        name: &'static str,
        least: f64,
        most: f64,
        default: Option<f64>,
    ) -> Result<f64, ConfigError> {
        let what = format!("a number from {least} to {most}");
        self.read(name, &what, default, |value| {
            value.as_f64().filter(|n| (least..=most).contains(n))
        })
    }

    pub fn whole(
        &mut self,
        name: &'static str,
        least: u64,
        most: u64,
        default: Option<u64>,
    ) -> Result<u64, ConfigError> {
        let what = format!("a whole number from {least} to {most}");
        self.read(name, &what, default, |value| {
            value.as_u64().filter(|n| (least..=most).contains(n))
        })
    }

    pub fn duration(
        &mut self,
        name: &'static str,
        default: Option<Time>,
    ) -> Result<Time, ConfigError> {
        let what = "a time over 0 such as \"300ms\", \"1.8s\" or \"2m\"";
        self.read(name, what, default, |value| {
            value.as_str().and_then(duration).filter(|t| *t > Time(0))
        })
    }

    pub fn one_of(
        &mut self,
        name: &'static str,
        known: &[&str],
        default: Option<&str>,
    ) -> Result<String, ConfigError> {
        let given = self
            .named
            .get(name)
            .and_then(Json::as_str)
            .unwrap_or_default();
        let what = format!(
            "one of {}{}",
            known.join(", "),
            nearest(given, known.iter().copied())
        );
        let is = |text: &&str| known.contains(text);
        self.read(name, &what, default.map(String::from), |value| {
            value.as_str().filter(is).map(String::from)
        })
    }

    pub fn list(&mut self, name: &'static str, what: &str) -> Result<Vec<Json>, ConfigError> {
        self.read(name, what, Some(Vec::new()), |value| {
            value.as_array().cloned()
        })
    }

    /// Nothing is left that was not asked for.
    pub fn finish(self) -> Result<(), ConfigError> {
        let Some(name) = self.named.keys().next() else {
            return Ok(());
        };
        let near = nearest(name, self.asked.iter().copied());
        let known = self.asked.join(", ");
        Err(self.wrong(format!(
            "{name:?} is no argument of it: expected any of {known}{near}"
        )))
    }
}
