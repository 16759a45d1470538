//! The sections and entries of a file, each with its line.
//!
//! `rust-ini` reads the values but tells no lines, takes a line without `=`
//! for the beginning of the next key, and stops at its first error. So each
//! line is classified here first; what is no heading, entry or comment
//! becomes a finding and is left out of what the library reads. Entries then
//! match the library's, one by one, in the order of the file.

use ini::{Ini, ParseOption};

use crate::findings::{Finding, Findings};

/// A file as sections.
pub(crate) struct IniDocument {
    /// In the order of the file; a doubled section stands twice.
    pub(crate) sections: Vec<IniSection>,
}

/// A section with its line.
pub(crate) struct IniSection {
    /// Heading without brackets, its words parted by single spaces.
    pub(crate) heading: String,
    /// Line of the heading, counted from 1.
    pub(crate) line: usize,
    /// In the order of the file; a doubled key stands twice.
    pub(crate) entries: Vec<IniEntry>,
}

/// An entry with its line.
pub(crate) struct IniEntry {
    /// The key.
    pub(crate) key: String,
    /// The value without the space around it.
    pub(crate) value: String,
    /// Its line, counted from 1.
    pub(crate) line: usize,
}

impl IniDocument {
    /// Reads `text`; what can't be read becomes findings.
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

    /// Copies the values that the library reads from the cleaned text.
    fn set_values(&mut self, valid_lines: &str) -> Result<(), String> {
        let ini = Ini::load_from_str_opt(valid_lines, parse_option())
            .map_err(|error| error.to_string())?;
        let mut parsed = ini.iter().filter(|(heading, _)| heading.is_some());
        for section in &mut self.sections {
            let Some((_, properties)) = parsed.next() else {
                return Err(format!("[{}] is not read", section.heading));
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
                _ => return Err(format!("{} is not read", entry.key)),
            }
        }
        Ok(())
    }
}

const BYTE_ORDER_MARK: char = '\u{feff}';

/// Quotes and escapes are off: no value needs them, and a stray quote would
/// swallow the lines after it.
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

/// Finds the line of each section and entry.
struct LineParser<'a> {
    file: &'a str,
    findings: &'a mut Findings,
    sections: Vec<IniSection>,
    /// Whether entries are passed over until the next heading, because the
    /// last one couldn't be read.
    skips_entries: bool,
    /// The lines that can be read, for the library.
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
            self.report(line, &key, "stands before the first section");
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

/// What the library would not read as one line.
fn line_error(text: &str) -> Option<&'static str> {
    if text.chars().any(|c| c.is_control() && c != '\t') {
        Some("holds a control character")
    } else if text.contains('\\') {
        Some("holds a backslash; values can't be escaped or continued")
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

/// Most characters of a value that a message repeats.
const MAX_SHOWN_CHARS: usize = 80;

/// `text`, cut where a message would grow too long.
pub(crate) fn truncated(text: &str) -> String {
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text.to_owned();
    }
    let mut cut: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    cut.push_str("...");
    cut
}
