//! Checks the import rules that rustfmt enforces only with unstable options.

use std::env;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "
Checks all .rs files below each DIR: every `use` item imports one name, and
imports form three groups in this order, separated by one blank line: the
standard library, external and workspace crates, the current crate.

Usage:
    chervil-imports DIR...
";

/// Import group; the variants are in the order required in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Local,
}

/// Violation of an import rule.
struct Finding {
    file: PathBuf,
    /// 1-based.
    line: usize,
    message: &'static str,
}

fn main() -> ExitCode {
    let dirs: Vec<String> = env::args().skip(1).collect();
    if dirs.is_empty() || dirs.iter().any(|d| d == "--help") {
        print!("{USAGE}");
        return ExitCode::from(u8::from(dirs.is_empty()) * 2);
    }
    if let Some(option) = dirs.iter().find(|d| d.starts_with('-')) {
        eprintln!("chervil-imports: unknown option {option}; see --help");
        return ExitCode::from(2);
    }
    match check_dirs(&dirs) {
        Ok(findings) if findings.is_empty() => ExitCode::SUCCESS,
        Ok(findings) => {
            for f in &findings {
                eprintln!("{}:{}: {}", f.file.display(), f.line, f.message);
            }
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("chervil-imports: {e}");
            ExitCode::from(2)
        }
    }
}

fn check_dirs(dirs: &[String]) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for dir in dirs {
        check_path(Path::new(dir), &mut findings)?;
    }
    Ok(findings)
}

/// Checks a file, or all files below a directory.
fn check_path(path: &Path, findings: &mut Vec<Finding>) -> io::Result<()> {
    if path.is_dir() {
        for entry in fs::read_dir(path)? {
            check_path(&entry?.path(), findings)?;
        }
    } else if path.extension().is_some_and(|e| e == "rs") {
        check_source(path, &fs::read_to_string(path)?, findings);
    }
    Ok(())
}

/// Checks the `use` items of one file. Two items belong to one block of imports
/// if they have the same indentation and at most one line between them.
fn check_source(file: &Path, source: &str, findings: &mut Vec<Finding>) {
    // Line index, group and indentation of the previous `use` item.
    let mut previous: Option<(usize, Group, usize)> = None;
    for (i, line) in source.lines().enumerate() {
        let Some(path) = import_path(line) else { continue };
        let indent = line.len() - line.trim_start().len();
        let mut report = |message| {
            findings.push(Finding { file: file.to_path_buf(), line: i + 1, message });
        };
        if path.contains('{') {
            report("import one name per `use` item");
        }
        let group = import_group(path);
        if let Some((previous_i, previous_group, previous_indent)) = previous
            && previous_indent == indent
        {
            let adjacent = previous_i + 1 == i;
            let one_line_between = previous_i + 2 == i;
            if group < previous_group && (adjacent || one_line_between) {
                report("order the import groups: std, external crates, this crate");
            } else if group != previous_group && adjacent {
                report("put a blank line between import groups");
            } else if group == previous_group && one_line_between {
                report("remove the blank line inside an import group");
            }
        }
        previous = Some((i, group, indent));
    }
}

/// Returns what follows `use` on the first line of an import, whatever its
/// visibility; `None` for any other line.
fn import_path(line: &str) -> Option<&str> {
    let line = line.trim_start();
    let line = match line.strip_prefix("pub") {
        Some(rest) if rest.starts_with('(') => rest.split_once(") ").map_or(rest, |(_, r)| r),
        Some(rest) => rest.trim_start(),
        None => line,
    };
    line.strip_prefix("use ")
}

fn import_group(path: &str) -> Group {
    match path.split("::").next().unwrap_or(path) {
        "std" | "core" | "alloc" => Group::Std,
        "crate" | "super" | "self" => Group::Local,
        _ => Group::External,
    }
}
