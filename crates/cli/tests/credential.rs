//! The credential from the environment is used, but never printed.

use std::process::{Command, Output};

const SECRET: &str = "a-credential-that-nobody-may-read";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jacinthlever"))
        .env("JACINTHLEVER_CREDENTIAL", SECRET)
        .args(arguments)
        .output()
        .expect("failed to run the program")
}

#[test]
fn help_texts_and_errors_do_not_show_the_credential() {
    let unreachable = ["--operator", "127.0.0.1:1", "status"];
    let cases: [&[&str]; 7] = [
        &["--help"],
        &["rows", "--help"],
        &["keys", "--help"],
        &["--credential"],
        &["no-such-command"],
        &["check", "no-such-folder"],
        &unreachable,
    ];
    for arguments in cases {
        let output = run(arguments);
        for text in [output.stdout, output.stderr] {
            let text = String::from_utf8_lossy(&text).into_owned();
            assert!(!text.contains(SECRET), "{arguments:?}: {text}");
        }
    }
}

#[test]
fn the_credential_from_the_environment_is_used() {
    let output = run(&["--operator", "127.0.0.1:1", "status"]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!stderr.contains("set JACINTHLEVER_CREDENTIAL"), "{stderr}");
}
