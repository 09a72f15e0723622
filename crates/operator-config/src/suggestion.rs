//! Finds what a mistyped name was probably meant to be.

/// The lowest Jaro-Winkler similarity at which a name is suggested for another.
const MIN_SIMILARITY: f64 = 0.6;

/// The end of an error's message that names the known name most similar to `name`; empty where none is similar.
pub(crate) fn suggest_nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let similarity = |other: &str| strsim::jaro_winkler(name, other);
    let nearest = known.max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    nearest
        .filter(|nearest| similarity(nearest) >= MIN_SIMILARITY)
        .map_or(String::new(), |nearest| {
            format!(" (the nearest is {nearest:?})")
        })
}
