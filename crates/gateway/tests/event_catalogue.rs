//! Checks that the catalogue of log events matches the events in the code.

use std::fs;

use jacinthlever_gateway::EventCode;

const CATALOGUE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS-INSTANCE.md");

#[test]
fn the_catalogue_lists_all_events_and_no_others() {
    let text = fs::read_to_string(CATALOGUE).expect("the catalogue is readable");
    let listed: Vec<String> = text
        .lines()
        .filter(|line| line.starts_with("| JL"))
        .map(|line| {
            let mut cells = line.split('|').map(str::trim).skip(1);
            let (number, name) = (cells.next(), cells.next());
            format!("{} {}", number.unwrap_or(""), name.unwrap_or(""))
        })
        .collect();
    let logged: Vec<String> = EventCode::ALL
        .iter()
        .map(|code| format!("{} {code:?}", code.number()))
        .collect();
    assert_eq!(listed, logged);
}
