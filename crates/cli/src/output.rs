//! Output of the tool, and the failures of commands with their exit codes.

use std::fmt;

use jacinthlever_client::OperatorError;
use jacinthlever_types::CheckError;
use serde_json::{Value, json};

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// A request to an instance failed, or the instance refused it.
    Request(String),
    /// An error on this machine, such as an unreadable file or an invalid argument.
    Local(String),
    /// The edit was accepted but did not come into force in time on these instances.
    NotInForce(Vec<String>),
    /// Another edit changed the rows first, so nothing was written. Holds the instance's response.
    Conflict(Value),
    /// Declarations or rows are invalid; one message for each problem.
    Invalid(Vec<String>),
}

impl Failure {
    /// Returns the exit code of the process.
    pub fn code(&self) -> u8 {
        match self {
            Self::Request(_) | Self::Local(_) => 1,
            Self::NotInForce(_) => 2,
            Self::Conflict(_) => 3,
            Self::Invalid(_) => 4,
        }
    }

    /// Returns the failure as printed with `--json`.
    pub fn to_json(&self) -> Value {
        match self {
            Self::Request(problem) | Self::Local(problem) => json!({"error": problem}),
            Self::NotInForce(instances) => json!({"not_in_force": instances}),
            Self::Conflict(rows) => rows.clone(),
            Self::Invalid(problems) => json!({"problems": problems}),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(problem) | Self::Local(problem) => f.write_str(problem),
            Self::NotInForce(instances) => {
                write!(
                    f,
                    "edit accepted, but not in force in time on {}",
                    instances.join(", ")
                )
            }
            Self::Conflict(rows) => write_conflict(f, rows),
            Self::Invalid(problems) => f.write_str(&problems.join("\n")),
        }
    }
}

impl From<OperatorError> for Failure {
    fn from(error: OperatorError) -> Self {
        match error {
            OperatorError::Http(error) => Self::Request(error.to_string()),
            OperatorError::Invalid(problems) => Self::Invalid(problems),
            OperatorError::Conflict(rows) => Self::Conflict(rows),
        }
    }
}

impl From<Vec<CheckError>> for Failure {
    fn from(errors: Vec<CheckError>) -> Self {
        Self::Invalid(errors.iter().map(CheckError::to_string).collect())
    }
}

fn write_conflict(f: &mut fmt::Formatter<'_>, rows: &Value) -> fmt::Result {
    writeln!(
        f,
        "nothing was written because another edit changed these rows first:"
    )?;
    for row in rows["conflicts"].as_array().into_iter().flatten() {
        writeln!(f, "  {}", row["row"].as_str().unwrap_or_default())?;
        writeln!(
            f,
            "    yours  (from version {}): {}",
            row["your_version"], row["yours"]
        )?;
        writeln!(
            f,
            "    theirs (version {}): {}",
            row["their_version"], row["theirs"]
        )?;
    }
    Ok(())
}

/// Prints a table with aligned columns. Each row must have as many cells as `header`.
pub fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let print = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    print(header.to_vec());
    rows.iter()
        .for_each(|row| print(row.iter().map(String::as_str).collect()));
}
