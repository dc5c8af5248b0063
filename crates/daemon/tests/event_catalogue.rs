//! The catalogue of log events in the documentation lists exactly the events of the code.

use std::collections::BTreeSet;

use jacinthlever_core::LogEvent;

#[test]
fn catalogue_and_code_agree() {
    let text = include_str!("../../../docs/EVENTS.md");
    let listed: BTreeSet<(u32, &str)> = text
        .lines()
        .filter_map(|line| line.strip_prefix("| JL"))
        .filter_map(|line| {
            let mut cells = line.split('|').map(str::trim);
            Some((cells.next()?.parse().ok()?, cells.next()?))
        })
        .collect();
    let coded: BTreeSet<(u32, &str)> = LogEvent::CATALOGUE.iter().copied().collect();
    assert_eq!(listed, coded);
    let numbers: BTreeSet<u32> = coded.iter().map(|(number, _)| *number).collect();
    assert_eq!(
        numbers.len(),
        LogEvent::CATALOGUE.len(),
        "each number is used once"
    );
}
