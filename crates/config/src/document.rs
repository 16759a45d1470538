//! Sections and entries of an INI file with their line numbers.
//!
//! `rust-ini` parses the values, but does not report line numbers, treats a
//! line without `=` as the start of the next key, and stops at the first
//! error. Each line is therefore classified first. A line that is not a
//! heading, an entry or a comment becomes a finding and is not passed to the
//! library. The entries found here then correspond one to one, in file order,
//! to those that the library returns.

use ini::{Ini, ParseOption};

use crate::findings::{Finding, Findings};

/// A parsed INI file.
pub(crate) struct IniDocument {
    /// Sections in file order, including duplicates.
    pub(crate) sections: Vec<IniSection>,
}

/// A section and its line.
pub(crate) struct IniSection {
    /// Heading without brackets; its words are separated by single spaces.
    pub(crate) heading: String,
    /// Line of the heading, counted from 1.
    pub(crate) line: usize,
    /// Entries in file order, including duplicate keys.
    pub(crate) entries: Vec<IniEntry>,
}

/// A key-value pair and its line.
pub(crate) struct IniEntry {
    /// Key.
    pub(crate) key: String,
    /// Value without surrounding whitespace.
    pub(crate) value: String,
    /// Line of the entry, counted from 1.
    pub(crate) line: usize,
}

impl IniDocument {
    /// Parses `text` and reports invalid lines as findings.
    pub(crate) fn parse(
        file: &str,
        text: &str,
        findings: &mut Findings,
    ) -> IniDocument {
        let mut parser = LineParser::new(file, findings);
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        for (number, line) in text.lines().enumerate() {
            parser.add_line(number + 1, line);
        }
        let LineParser { sections, valid_lines, .. } = parser;
        let mut document = IniDocument { sections };
        if let Err(message) = document.set_values(&valid_lines) {
            findings.push(unreadable_file(file, message));
        }
        document
    }

    /// Copies the values that the library parses from the valid lines.
    fn set_values(&mut self, valid_lines: &str) -> Result<(), String> {
        let ini = Ini::load_from_str_opt(valid_lines, parse_option())
            .map_err(|error| error.to_string())?;
        let mut parsed = ini.iter().filter(|(heading, _)| heading.is_some());
        for section in &mut self.sections {
            let Some((_, properties)) = parsed.next() else {
                return Err(format!(
                    "[{}] is not returned by the INI library",
                    section.heading
                ));
            };
            section.set_values(properties)?;
        }
        Ok(())
    }
}

impl IniSection {
    fn set_values(
        &mut self,
        properties: &ini::Properties,
    ) -> Result<(), String> {
        let mut parsed = properties.iter();
        for entry in &mut self.entries {
            match parsed.next() {
                Some((key, value)) if key == entry.key => {
                    value.clone_into(&mut entry.value);
                }
                _ => {
                    return Err(format!(
                        "{} is not returned by the INI library",
                        entry.key
                    ));
                }
            }
        }
        Ok(())
    }
}

const BYTE_ORDER_MARK: char = '\u{feff}';

/// Disables quotes and escapes: no value needs them, and an unmatched quote
/// would consume the lines that follow.
fn parse_option() -> ParseOption {
    ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    }
}

fn unreadable_file(file: &str, message: String) -> Finding {
    Finding {
        file: file.to_owned(),
        line: None,
        section: String::new(),
        key: String::new(),
        message: format!("can't be read as INI: {message}"),
    }
}

/// Classifies lines and records the line number of each section and entry.
struct LineParser<'a> {
    file: &'a str,
    findings: &'a mut Findings,
    sections: Vec<IniSection>,
    /// Whether entries are skipped until the next heading, because the last
    /// heading is invalid.
    skips_entries: bool,
    /// Valid lines, as input for the library.
    valid_lines: String,
}

impl<'a> LineParser<'a> {
    fn new(file: &'a str, findings: &'a mut Findings) -> LineParser<'a> {
        LineParser {
            file,
            findings,
            sections: Vec::new(),
            skips_entries: false,
            valid_lines: String::new(),
        }
    }

    fn add_line(&mut self, line: usize, text: &str) {
        let text = text.trim();
        if text.is_empty() || text.starts_with(['#', ';']) {
            return;
        }
        if let Some(message) = line_error(text) {
            self.report(line, "", message);
        } else if let Some(rest) = text.strip_prefix('[') {
            self.add_heading(line, rest);
        } else {
            self.add_entry(line, text);
        }
    }

    fn add_heading(&mut self, line: usize, rest: &str) {
        let heading = rest.strip_suffix(']').map(normalise_heading);
        let Some(heading) = heading.filter(|heading| is_heading(heading))
        else {
            self.skips_entries = true;
            self.report(line, "", "not a heading such as [service NAME]");
            return;
        };
        self.skips_entries = false;
        self.valid_lines.push_str(&format!("[{heading}]\n"));
        self.sections.push(IniSection { heading, line, entries: Vec::new() });
    }

    fn add_entry(&mut self, line: usize, text: &str) {
        let Some((key, _)) = text.split_once(['=', ':']) else {
            self.report(line, "", "not a heading, an entry or a comment");
            return;
        };
        let key = key.trim_end().to_owned();
        if !is_key(&key) {
            self.report(line, &key, "not a key: a-z, 0-9 and - only");
            return;
        }
        if self.skips_entries {
            return;
        }
        let Some(section) = self.sections.last_mut() else {
            self.report(line, &key, "entry is before the first section");
            return;
        };
        let value = String::new();
        section.entries.push(IniEntry { key, value, line });
        self.valid_lines.push_str(text);
        self.valid_lines.push('\n');
    }

    fn report(&mut self, line: usize, key: &str, message: &str) {
        let section = match self.sections.last() {
            Some(section) if !self.skips_entries => section.heading.clone(),
            _ => String::new(),
        };
        self.findings.push(Finding {
            file: self.file.to_owned(),
            line: Some(line),
            section,
            key: truncated(key),
            message: message.to_owned(),
        });
    }
}

/// Checks for characters that would keep the library from parsing the text as
/// a single line.
fn line_error(text: &str) -> Option<&'static str> {
    if text.chars().any(|c| c.is_control() && c != '\t') {
        Some("contains a control character")
    } else if text.contains('\\') {
        Some(
            "contains a backslash; escapes and line continuations are not \
             supported",
        )
    } else {
        None
    }
}

fn normalise_heading(heading: &str) -> String {
    heading.split_whitespace().collect::<Vec<&str>>().join(" ")
}

fn is_heading(heading: &str) -> bool {
    !heading.is_empty() && !heading.contains(['[', ']'])
}

fn is_key(key: &str) -> bool {
    let is_allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-'
    };
    !key.is_empty() && key.bytes().all(is_allowed)
}

/// Maximum length of a value quoted in a message.
const MAX_SHOWN_CHARS: usize = 80;

/// Truncates `text` for use in a message.
pub(crate) fn truncated(text: &str) -> String {
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text.to_owned();
    }
    let mut cut: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    cut.push_str("...");
    cut
}
