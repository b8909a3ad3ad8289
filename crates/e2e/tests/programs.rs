//! Guards the command lines and exit codes of the server programs.

use std::process::{Command, Output};

use chalkrock_e2e::program_path;
use googletest::prelude::*;

const PROGRAMS: [&str; 3] = ["chalkrock-router", "chalkrock-agent", "chalkrock-standin"];

fn run(program: &str, arguments: &[&str]) -> eyre::Result<Output> {
    Ok(Command::new(program_path(program)?)
        .args(arguments)
        .output()?)
}

fn settings(name: &str, text: &str) -> eyre::Result<String> {
    let path = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path.display().to_string())
}

#[test]
fn help_and_version_of_each_program() -> eyre::Result<()> {
    for program in PROGRAMS {
        for flag in ["--help", "--version"] {
            let output = run(program, &[flag])?;
            assert_that!(output.status.code(), some(eq(0)), "{program} {flag}");
            let text = String::from_utf8(output.stdout)?;
            assert_that!(
                text,
                contains_substring(program.trim_start_matches("chalkrock-"))
            );
        }
    }
    Ok(())
}

#[test]
fn invalid_settings_exit_with_two_and_the_line() -> eyre::Result<()> {
    let file = settings("wrong", "host: h\nzones: z\n")?;
    for program in ["chalkrock-router", "chalkrock-agent"] {
        let output = run(program, &["--config", &file, "--check-config"])?;
        assert_that!(output.status.code(), some(eq(2)), "{program}");
        let message = String::from_utf8(output.stderr)?;
        assert_that!(
            message,
            contains_substring(":2: zones: unknown field"),
            "{program}"
        );
    }
    Ok(())
}

#[test]
fn valid_settings_pass_the_check() -> eyre::Result<()> {
    let text = "host: h\nzone: z\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\n\
                platform_url: http://127.0.0.1:1\nfleet_key: k\n";
    let file = settings("right", text)?;
    let output = run("chalkrock-agent", &["--config", &file, "--check-config"])?;
    assert_that!(output.status.code(), some(eq(0)));
    Ok(())
}
