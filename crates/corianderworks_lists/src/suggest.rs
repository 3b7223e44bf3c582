//! Suggestions of valid names for an invalid one.

/// Units that the name of a field may end with.
const UNITS: [&str; 9] = [
    "_us", "_ms", "_s", "_min", "_bytes", "_kb", "_mb", "_percent", "_per_s",
];

/// Minimum similarity, from 0 to 1, at which a name is suggested.
const SIMILARITY_MIN: f64 = 0.5;

/// Returns the valid name that is most similar to `name`, or `None` if none is similar enough.
pub(crate) fn nearest<'a, I>(name: &str, valid: I) -> Option<String>
where
    I: IntoIterator<Item = &'a str>,
{
    let name = name.to_lowercase();
    let similarity =
        |other: &str| strsim::normalized_damerau_levenshtein(&name, &other.to_lowercase());
    valid
        .into_iter()
        .map(|other| (similarity(other), other))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, other)| other.to_owned())
}

/// Returns the valid field that differs from `name` only in its unit.
pub(crate) fn field_with_other_unit<'a>(name: &str, valid: &[&'a str]) -> Option<&'a str> {
    let stem = without_unit(name);
    let candidates = valid.iter().copied();
    let mut same_stem = candidates.filter(|v| *v != stem && without_unit(v) == stem);
    same_stem.next()
}

fn without_unit(name: &str) -> &str {
    let shortest_stem = UNITS
        .iter()
        .filter_map(|unit| name.strip_suffix(unit))
        .min_by_key(|stem| stem.len());
    shortest_stem.unwrap_or(name)
}
