//! Reads declarations from a folder.

use std::fs;
use std::path::{Path, PathBuf};

use jacinthlever_types::Declarations;

use crate::output::Failure;

/// Reads and validates every `.json` file directly in a folder.
///
/// # Errors
/// Fails if the folder or a file cannot be read, or if the folder has no `.json` file. Otherwise
/// returns the errors of all files or, if there are none, those of checking all rows together, each
/// with file, row and field.
pub fn read_folder(folder: &Path) -> Result<Declarations, Failure> {
    let mut declarations = Declarations::default();
    let mut errors = Vec::new();
    for path in json_files(folder)? {
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

fn json_files(folder: &Path) -> Result<Vec<PathBuf>, Failure> {
    let read_error = |error| Failure::Local(format!("{}: {error}", folder.display()));
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
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
            "{}: the folder contains no .json file",
            folder.display()
        )));
    }
    Ok(files)
}
