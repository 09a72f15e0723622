//! [`Time`] as a bare number of tenths of a millisecond, for `#[serde(with = "...")]`.
use cottondyke_types::Time;
use serde::{Deserialize, Deserializer, Serializer};

pub(crate) fn serialize<S: Serializer>(time: &Time, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_i64(time.0)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Time, D::Error> {
    i64::deserialize(deserializer).map(Time)
}
