//! The operators' pages match the schemas.

use chestnutreach_config::{
    fields::{Field, SectionSchema},
    manifest, settings,
};

#[test]
fn pages_list_every_key_with_range_unit_and_default() {
    struct Case {
        page: &'static str,
        text: &'static str,
        sections: &'static [SectionSchema],
    }
    let cases = [
        Case {
            page: "SETTINGS.md",
            text: include_str!("../../../docs/SETTINGS.md"),
            sections: settings::schema::SECTIONS,
        },
        Case {
            page: "MANIFEST.md",
            text: include_str!("../../../docs/MANIFEST.md"),
            sections: manifest::schema::SECTIONS,
        },
    ];
    for case in cases {
        for section in case.sections {
            let rows = rows_of(case.text, &section.heading());
            let expected: Vec<String> = section.fields().map(row).collect();
            assert_eq!(rows, expected, "{} {}", case.page, section.heading());
        }
    }
}

/// Table rows under a heading, without the description column.
fn rows_of(page: &str, heading: &str) -> Vec<String> {
    let start = format!("## [{heading}]\n");
    let (_, rest) = page.split_once(&start).expect(heading);
    let section = rest.split("\n## ").next().unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(without_description).collect()
}

fn without_description(row: &str) -> String {
    let cells: Vec<&str> = row.split(" | ").collect();
    let (description, cells) = cells.split_last().unwrap();
    assert!(description.len() > " |".len(), "{row}");
    cells.join(" | ")
}

fn row(field: &Field) -> String {
    let unit = field.unit().unwrap_or("-");
    let default = field.default().unwrap_or("required".to_owned());
    let range = field.range();
    format!("| `{}` | {range} | {unit} | {default}", field.key())
}
