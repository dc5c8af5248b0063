//! Reads a folder of declarations.

use std::fs;
use std::path::{Path, PathBuf};

use jacinthlever_types::Declarations;

use crate::output::Failure;

/// Reads and checks every `.json` file of a folder.
///
/// # Errors
/// Returns everything that is wrong, with file, row and field.
pub fn read(folder: &Path) -> Result<Declarations, Failure> {
    let mut declarations = Declarations::default();
    let mut errors = Vec::new();
    for path in files(folder)? {
        let text = fs::read_to_string(&path)
            .map_err(|error| Failure::Local(format!("{}: {error}", path.display())))?;
        errors.extend(declarations.add_file(&path.display().to_string(), &text));
    }
    if errors.is_empty() {
        errors = declarations.check();
    }
    match errors.is_empty() {
        true => Ok(declarations),
        false => Err(errors.into()),
    }
}

fn files(folder: &Path) -> Result<Vec<PathBuf>, Failure> {
    let local = |error| Failure::Local(format!("{}: {error}", folder.display()));
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(local)? {
        let path = entry.map_err(local)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(Failure::Local(format!(
            "{}: no .json file",
            folder.display()
        )));
    }
    Ok(files)
}
