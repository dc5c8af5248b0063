//! What the tool prints, and the exit codes of its failures.

use std::fmt;

use jacinthlever_client::OperatorError;
use jacinthlever_types::CheckError;
use serde_json::{Value, json};

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// An instance could not be asked, or refused.
    Asking(String),
    /// Something on this machine is wrong, such as a file.
    Local(String),
    /// The edit was accepted but is not in force on these instances.
    NotInForce(Vec<String>),
    /// Another edit changed the rows first.
    Conflict(Value),
    /// Declarations or rows do not check.
    Invalid(Vec<String>),
}

impl Failure {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Asking(_) | Self::Local(_) => 1,
            Self::NotInForce(_) => 2,
            Self::Conflict(_) => 3,
            Self::Invalid(_) => 4,
        }
    }

    /// Returns the failure for scripts.
    pub fn to_json(&self) -> Value {
        match self {
            Self::Asking(problem) | Self::Local(problem) => json!({"error": problem}),
            Self::NotInForce(instances) => json!({"not_in_force": instances}),
            Self::Conflict(rows) => rows.clone(),
            Self::Invalid(problems) => json!({"problems": problems}),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Asking(problem) | Self::Local(problem) => f.write_str(problem),
            Self::NotInForce(instances) => {
                write!(
                    f,
                    "accepted, but not in force in time on {}",
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
            OperatorError::Http(error) => Self::Asking(error.to_string()),
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
    writeln!(f, "another edit came first; nothing was written")?;
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

/// Prints rows of cells in aligned columns.
pub fn table(header: &[&str], rows: &[Vec<String>]) {
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
