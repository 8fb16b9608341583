//! Parsing and validation of sheets.
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use chervil_sheet::problem::MAX_LISTED_PROBLEMS;
use chervil_sheet::sheet::Sheet;
use proptest::prelude::*;

const VALID_SHEET: &str = "\
kind,name,service,zone,address,slots,connections,connect_ms,shards,state
sheet,2026-12-04T06:00:00Z,,,,,,,,
zone,z1,,,,,,,,in
service,lookup,,,,,,,12,in
server,l1,lookup,z1,127.0.0.1:9001,2,50,6,0-5;8,in
server,l2,lookup,z1,127.0.0.1:9002,2,50,6,6-11,out
";

/// Texts of a sheet's problems, without the file name.
fn problems(text: &str) -> Vec<String> {
    match Sheet::parse("s.csv", text.as_bytes()) {
        Ok(_) => Vec::new(),
        Err(e) => e.problems.iter().map(|p| p.to_string().replacen("s.csv:", "", 1)).collect(),
    }
}

/// Guards the documented format: each cell of a valid sheet ends up in the
/// right field of the catalog.
#[test]
fn valid_sheet_parses_every_field() {
    let sheet = Sheet::parse("s.csv", VALID_SHEET.as_bytes()).unwrap();

    assert_eq!(sheet.exported.to_string(), "2026-12-04T06:00:00Z");
    assert_eq!((sheet.catalog.zones.len(), sheet.catalog.services[0].shards), (1, 12));
    let l1 = &sheet.catalog.servers[0];
    assert_eq!((l1.slots, l1.connections, l1.connect_ms), (2, 50, 6));
    assert_eq!((l1.shards.to_string().as_str(), l1.in_service), ("0-5;8", true));
    assert!(!sheet.catalog.servers[1].in_service);
}

/// Guards against rejecting what spreadsheet programs export: a byte order
/// mark, CRLF line endings, blank lines, spaces around cells and quoted cells.
#[test]
fn spreadsheet_export_variants_parse_to_the_same_sheet() {
    let expected = Sheet::parse("s.csv", VALID_SHEET.as_bytes()).unwrap();
    let variants = [
        format!("\u{feff}{VALID_SHEET}"),
        VALID_SHEET.replace('\n', "\r\n"),
        VALID_SHEET.replace("zone,z1,,", "\n\nzone,z1,,"),
        VALID_SHEET.replace(",lookup,", ", lookup ,"),
        VALID_SHEET.replace("lookup", "\"lookup\""),
    ];
    for text in variants {
        assert_eq!(Sheet::parse("s.csv", text.as_bytes()).unwrap(), expected, "{text}");
    }
}

/// Guards each check against being skipped or reported at the wrong line or
/// column. A case is a replacement in a valid sheet and the start of the
/// problem that it must cause exactly once.
#[test]
fn each_invalid_cell_is_reported_at_its_line_and_column() {
    let cases = [
        ("kind,name", "kind,title", "1: the header is"),
        ("sheet,2026-12-04T06:00:00Z,,,,,,,,\n", "", "2: the row with the export time is missing"),
        ("zone,z1,", "sheet,2026-12-04T06:00:00Z,,,,,,,,\nzone,z1,", "3: a second `sheet` row"),
        ("2026-12-04T06:00:00Z", "2026-13-04T06:00:00Z", "2:2 (name): \"2026-13-04T06:00:00Z\""),
        ("2026-12-04T06:00:00Z", "2026-02-29T06:00:00Z", "2:2 (name): \"2026-02-29T06:00:00Z\""),
        ("2026-12-04T06:00:00Z", "tomorrow", "2:2 (name): \"tomorrow\" is not an export time"),
        ("Z,,,,,,,,", "Z,,,,,,,,in", "2:10 (state): \"in\" has no meaning in a sheet row"),
        ("zone,z1,,", "zone,z1,x,", "3:3 (service): \"x\" has no meaning in a zone row"),
        ("zone,z1,,,,,,,,in", "zone,z1,,,,,,,,up", "3:10 (state): state \"up\" is unknown"),
        ("zone,z1,,,,,,,,in", "zone,z1,,,,,,,,in\nzone,z1,,,,,,,,in", "4:2 (name): zone \"z1\" is"),
        ("zone,z1,,,,,,,,in", "zone,z1,,,,,,,,in\nzone,,,,,,,,,in", "4:2 (name): \"\" is not a"),
        ("zone,z1,,,,,,,,in", "zone,z1,,,,,,,,in\nzone,..,,,,,,,,in", "4:2 (name): \"..\" is not"),
        (
            "zone,z1,,,,,,,,in",
            "zone,z1,,,,,,,,in\nplace,z2,,,,,,,,in",
            "4:1 (kind): kind \"place\"",
        ),
        ("zone,z1,,,,,,,,in", "\n\nzone,z1,,,,,,,,up", "5:10 (state): state \"up\" is unknown"),
        (",12,in", ",13,in", "4:9 (shards): no server holds shards 12 of service lookup"),
        (",12,in", ",11,in", "6:9 (shards): shard 11 does not exist: service lookup has 11"),
        (",12,in", ",many,in", "4:9 (shards): \"many\" is not a number from 1"),
        ("0-5;8", "0-4;8", "4:9 (shards): no server holds shards 5 of service lookup"),
        ("0-5;8", "5-0", "5:9 (shards): \"5-0\" is not a range"),
        ("0-5;8", "x", "5:9 (shards): \"x\" is not a shard number"),
        ("0-5;8", "", "5:9 (shards): no shards"),
        ("l1,lookup", "l1,lockup", "5:3 (service): service \"lockup\" is not in this sheet"),
        ("lookup,z1,127.0.0.1:9002", "lookup,z2,127.0.0.1:9002", "6:4 (zone): zone \"z2\""),
        ("server,l2", "server,l1", "6:2 (name): server \"l1\" is already on line 5"),
        ("server,l2", "server,l 2", "6:2 (name): \"l 2\" is not a name"),
        (":9002", ":9001", "6:5 (address): address 127.0.0.1:9001 is already on line 5"),
        (":9002", "", "6:5 (address): \"127.0.0.1\" is not an address"),
        ("127.0.0.1:9002", "0.0.0.0:9002", "6:5 (address): \"0.0.0.0:9002\" is not an address"),
        ("9002,2,", "9002,0,", "6:6 (slots): \"0\" is not a number from 1"),
        ("9002,2,", "9002,-1,", "6:6 (slots): \"-1\" is not a number from 1"),
        ("9002,2,", "9002,2.5,", "6:6 (slots): \"2.5\" is not a number from 1"),
        ("9002,2,50", "9002,2,0", "6:7 (connections): \"0\" is not a number from 1"),
        ("9002,2,50,6", "9002,2,50,99999999999", "6:8 (connect_ms): \"99999999999\" is not"),
        ("6-11,out", "6-11,ou", "6:10 (state): state \"ou\" is unknown"),
        (",6,6-11,out", ",6,6-11", "6: the row has 9 columns instead of 10"),
    ];
    for (from, to, expected) in cases {
        let found = problems(&VALID_SHEET.replacen(from, to, 1));

        // Other problems may follow: a skipped row leaves its shards uncovered.
        let found: Vec<_> = found.iter().filter(|p| p.starts_with(expected)).collect();
        assert_eq!(
            found.len(),
            1,
            "{from:?} -> {to:?}: {:?}",
            problems(&VALID_SHEET.replacen(from, to, 1))
        );
        assert!(found[0].contains(';'), "the remedy is missing: {}", found[0]);
    }
}

/// Guards against validation that stops at the first problem, or that reports
/// follow-up problems of a cell that is reported already.
#[test]
fn all_problems_are_reported_once_and_in_order() {
    let text =
        VALID_SHEET.replace(",2,50,6,0-5;8,in", ",0,50,x,0-5;8,on").replace("l2,lookup", "l2,gone");

    let found = problems(&text);

    let places: Vec<_> = found.iter().filter_map(|p| p.split(' ').next()).collect();
    assert_eq!(places, ["4:9", "5:6", "5:8", "5:10", "6:3"], "{found:#?}");
}

/// Guards against an error text that floods the operator's terminal, as with a
/// file of another format.
#[test]
fn long_problem_list_is_truncated() {
    let rows: String = (0..1000).map(|_| "place,x,,,,,,,,in\n").collect();

    let error = Sheet::parse("s.csv", format!("{VALID_SHEET}{rows}").as_bytes()).unwrap_err();

    let text = error.to_string();
    assert_eq!(text.lines().count(), MAX_LISTED_PROBLEMS + 1);
    assert!(text.ends_with("950 more problems; correct the listed ones first"));
}

/// Guards against accepting text of another encoding, and against reporting it
/// at the wrong line.
#[test]
fn non_utf8_text_is_rejected_with_its_line() {
    let mut bytes = VALID_SHEET.as_bytes().to_vec();
    let at = VALID_SHEET.find("zone,z1").unwrap();
    bytes[at] = 0xff;

    let error = Sheet::parse("s.csv", &bytes).unwrap_err();

    assert!(error.to_string().starts_with("s.csv:3: the text is not UTF-8;"), "{error}");
}

proptest! {
    /// Guards against applying a file whose transfer ended early. A cut inside
    /// a row makes the row invalid; a cut between rows leaves the sheet without
    /// servers or leaves shards uncovered.
    #[test]
    fn truncated_sheet_is_rejected(cut in 1usize..VALID_SHEET.len() - 1) {
        let text = &VALID_SHEET[..cut];
        let complete_rows = text.ends_with("out") || text.ends_with("out\n");
        prop_assume!(!complete_rows);
        prop_assert!(Sheet::parse("s.csv", text.as_bytes()).is_err());
    }

    /// Guards against a panic on arbitrary cells.
    #[test]
    fn parser_does_not_panic_on_arbitrary_rows(
        tail in ".{0,200}",
        kind in "sheet|zone|service|server|x",
    ) {
        let text = format!("{VALID_SHEET}{kind},{tail}");
        let _ = Sheet::parse("s.csv", text.as_bytes());
    }
}
