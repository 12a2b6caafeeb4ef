//! Suggestions for mistyped words.

/// Maximum edit distance at which a known word is suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// The known word with the smallest edit distance to `word`, if it is near enough to
/// be suggested.
pub fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|candidate| (edit_distance(word, candidate), *candidate))
        .filter(|(distance, _)| *distance <= MAX_EDIT_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Levenshtein distance in characters, computed one row at a time.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[right.len()]
}
