//! Checks the import rules that stable rustfmt cannot enforce.

use std::env;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "
Checks that every `use` item imports one name and that imports stand in three
groups, in this order, with one blank line between them: the standard library,
external and workspace crates, the current crate.

Usage:
    chervil-imports DIR...
";

/// Group of an import; the order of the variants is the order in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Local,
}

struct Finding {
    file: PathBuf,
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
        eprintln!("chervil-imports: {option} is not an option; see --help");
        return ExitCode::from(2);
    }
    match run(&dirs) {
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

fn run(dirs: &[String]) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for dir in dirs {
        visit(Path::new(dir), &mut findings)?;
    }
    Ok(findings)
}

fn visit(path: &Path, findings: &mut Vec<Finding>) -> io::Result<()> {
    if path.is_dir() {
        for entry in fs::read_dir(path)? {
            visit(&entry?.path(), findings)?;
        }
    } else if path.extension().is_some_and(|e| e == "rs") {
        check(path, &fs::read_to_string(path)?, findings);
    }
    Ok(())
}

fn check(file: &Path, text: &str, findings: &mut Vec<Finding>) {
    let mut last: Option<(usize, Group, usize)> = None;
    for (i, line) in text.lines().enumerate() {
        let Some(path) = import_path(line) else { continue };
        let indent = line.len() - line.trim_start().len();
        let mut report = |message| {
            findings.push(Finding { file: file.to_path_buf(), line: i + 1, message });
        };
        if path.contains('{') {
            report("import one name per `use` item");
        }
        let group = group(path);
        if let Some((at, before, depth)) = last
            && depth == indent
        {
            let adjacent = at + 1 == i;
            if group < before && (adjacent || at + 2 == i) {
                report("order the import groups: std, external crates, this crate");
            } else if group != before && adjacent {
                report("put a blank line between import groups");
            } else if group == before && at + 2 == i {
                report("remove the blank line inside an import group");
            }
        }
        last = Some((i, group, indent));
    }
}

/// Returns the path of a `use` item, without visibility.
fn import_path(line: &str) -> Option<&str> {
    let line = line.trim_start();
    let line = match line.strip_prefix("pub") {
        Some(rest) if rest.starts_with('(') => rest.split_once(") ").map_or(rest, |(_, r)| r),
        Some(rest) => rest.trim_start(),
        None => line,
    };
    line.strip_prefix("use ")
}

fn group(path: &str) -> Group {
    match path.split("::").next().unwrap_or(path) {
        "std" | "core" | "alloc" => Group::Std,
        "crate" | "super" | "self" => Group::Local,
        _ => Group::External,
    }
}
