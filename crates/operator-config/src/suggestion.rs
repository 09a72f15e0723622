//! Suggests the known name that a mistyped name is most similar to.

/// The lowest Jaro-Winkler similarity at which a name is suggested.
const MIN_SIMILARITY: f64 = 0.6;

/// The suffix of an error message that suggests the known name most similar to `name`; empty if none is similar.
pub(crate) fn suggest_nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let similarity = |other: &str| strsim::jaro_winkler(name, other);
    let nearest = known.max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    nearest
        .filter(|nearest| similarity(nearest) >= MIN_SIMILARITY)
        .map_or(String::new(), |nearest| {
            format!(" (the nearest is {nearest:?})")
        })
}
