//! A file read against the tables of its sections.
//!
//! Headings are checked first, then each section's keys, then each value. A
//! reader gives `None` for a value it has reported, so that a check over
//! several keys simply doesn't run where one of them is wrong.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    document::{Document, Entry, Section, shortened},
    fields::{
        AddressField, AddressListField, ChoiceField, Field, IntegerField,
        ListField, SectionSchema, TextField, TextFormat,
    },
    findings::{Finding, Findings},
    values::{
        not_of_form, parse_address, parse_addresses, parse_integer,
        parse_list, parse_text,
    },
};

/// A file whose headings are checked.
pub(crate) struct Sheet<'a> {
    file: &'a str,
    document: &'a Document,
    tables: &'static [SectionSchema],
    sections: BTreeMap<&'a str, &'a Section>,
}

impl<'a> Sheet<'a> {
    /// Checks the headings against `tables`.
    pub(crate) fn new(
        file: &'a str,
        document: &'a Document,
        tables: &'static [SectionSchema],
        findings: &mut Findings,
    ) -> Sheet<'a> {
        let sections = BTreeMap::new();
        let mut sheet = Sheet { file, document, tables, sections };
        for section in &document.sections {
            if let Err(message) = sheet.add(section) {
                findings.push(Finding {
                    file: file.to_owned(),
                    line: Some(section.line),
                    section: shortened(&section.heading),
                    key: String::new(),
                    message,
                });
            }
        }
        sheet
    }

    fn add(&mut self, section: &'a Section) -> Result<(), String> {
        check_heading(&section.heading, self.tables)?;
        match self.sections.get(section.heading.as_str()) {
            Some(first) => Err(doubled("section", first.line)),
            None => {
                self.sections.insert(&section.heading, section);
                Ok(())
            }
        }
    }

    /// The names of the sections with `word`, in the order of the file.
    pub(crate) fn names(&self, word: &str) -> Vec<&'a str> {
        let named = |section: &'a Section| {
            let names = names_after(&section.heading, word)?;
            let kept = self.sections.get(section.heading.as_str())?;
            (kept.line == section.line).then_some(names)
        };
        self.document.sections.iter().filter_map(named).collect()
    }

    /// Whether there is a section.
    pub(crate) fn has(&self, heading: &str) -> bool {
        self.sections.contains_key(heading)
    }

    /// Reads the section, whose keys are those of `tables`; a section that
    /// isn't there is read as an empty one.
    pub(crate) fn read<'b>(
        &'b self,
        heading: &'b str,
        tables: &[&[Field]],
        findings: &'b mut Findings,
    ) -> SectionReader<'b> {
        let place = self.place(heading);
        let entries = BTreeMap::new();
        let mut reader = SectionReader { place, entries, findings };
        if let Some(section) = self.sections.get(heading) {
            reader.index(section, tables, self.known_fields(heading));
        }
        reader
    }

    /// The keys of all kinds of the section.
    fn known_fields(&self, heading: &str) -> &'static [&'static [Field]] {
        let word = heading.split(' ').next().unwrap_or_default();
        let table = self.tables.iter().find(|table| table.keyword == word);
        table.map_or(&[], |table| table.field_groups)
    }

    /// Where findings of a section are placed.
    pub(crate) fn place<'b>(&'b self, heading: &'b str) -> Place<'b> {
        let section = self.sections.get(heading).copied();
        Place { file: self.file, heading, section }
    }
}

/// A section as the place of findings.
pub(crate) struct Place<'a> {
    file: &'a str,
    heading: &'a str,
    section: Option<&'a Section>,
}

impl Place<'_> {
    /// A finding at the first entry with `key`, else at the heading.
    pub(crate) fn finding(&self, key: &str, message: String) -> Finding {
        self.at(self.line(key), key, message)
    }

    fn at(&self, line: Option<usize>, key: &str, message: String) -> Finding {
        Finding {
            file: self.file.to_owned(),
            line,
            section: self.heading.to_owned(),
            key: key.to_owned(),
            message,
        }
    }

    /// The value as it is written.
    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        self.entry(key).map(|entry| entry.value.as_str())
    }

    fn line(&self, key: &str) -> Option<usize> {
        let section = self.section?;
        Some(self.entry(key).map_or(section.line, |entry| entry.line))
    }

    fn entry(&self, key: &str) -> Option<&Entry> {
        let entries = &self.section?.entries;
        entries.iter().find(|entry| entry.key == key)
    }
}

/// Reads the values of a section.
pub(crate) struct SectionReader<'a> {
    place: Place<'a>,
    entries: BTreeMap<&'a str, &'a Entry>,
    findings: &'a mut Findings,
}

impl<'a> SectionReader<'a> {
    fn index(
        &mut self,
        section: &'a Section,
        tables: &[&[Field]],
        known: &[&[Field]],
    ) {
        for entry in &section.entries {
            if let Err(message) = self.index_entry(entry, tables, known) {
                let line = Some(entry.line);
                let finding = self.place.at(line, &entry.key, message);
                self.findings.push(finding);
            }
        }
    }

    fn index_entry(
        &mut self,
        entry: &'a Entry,
        tables: &[&[Field]],
        known: &[&[Field]],
    ) -> Result<(), String> {
        if !has_key(tables, &entry.key) {
            let is_known = has_key(known, &entry.key);
            let message = if is_known { MISPLACED } else { "unknown key" };
            return Err(message.to_owned());
        }
        match self.entries.get(entry.key.as_str()) {
            Some(first) => Err(doubled("key", first.line)),
            None => {
                self.entries.insert(&entry.key, entry);
                Ok(())
            }
        }
    }

    /// A whole number within its range.
    pub(crate) fn integer<T: TryFrom<u64>>(
        &mut self,
        field: &IntegerField,
    ) -> Option<T> {
        let read = |text: &str| parse_integer(field, text);
        let value = self.value(field.key, field.default, read)?;
        T::try_from(value).ok()
    }

    /// One of the field's words, as what it stands for.
    pub(crate) fn choice<T>(
        &mut self,
        field: &ChoiceField,
        from_word: fn(&str) -> Option<T>,
    ) -> Option<T> {
        let default = field.default.and_then(from_word);
        let read = |text: &str| {
            let words = field.values.join(", ");
            from_word(text).ok_or_else(|| {
                format!("{} is not one of {words}", shortened(text))
            })
        };
        self.value(field.key, default, read)
    }

    /// An address.
    pub(crate) fn address(
        &mut self,
        field: &AddressField,
    ) -> Option<SocketAddr> {
        let read = |text: &str| parse_address(field, text);
        self.value(field.key, None, read)
    }

    /// A short text.
    pub(crate) fn text(&mut self, field: &TextField) -> Option<String> {
        let default = field.default.map(str::to_owned);
        let read = |text: &str| parse_text(field.form, text);
        self.value(field.key, default, read)
    }

    /// A list in the order of the file.
    pub(crate) fn list(&mut self, field: &ListField) -> Option<Vec<String>> {
        let read = |text: &str| parse_list(field, text);
        self.value(field.key, None, read)
    }

    /// Addresses in the order of the file; none where the key is missing.
    pub(crate) fn addresses(
        &mut self,
        field: &AddressListField,
    ) -> Option<Vec<SocketAddr>> {
        let read = |text: &str| parse_addresses(field, text);
        self.value(field.key, Some(Vec::new()), read)
    }

    /// Reports the keys of `table`, which belong to another kind of service.
    pub(crate) fn refuse(&mut self, table: &[Field]) {
        for field in table {
            if self.entries.contains_key(field.key()) {
                self.report(field.key(), MISPLACED.to_owned());
            }
        }
    }

    /// Reports something about a key that was read.
    pub(crate) fn report(&mut self, key: &str, message: String) {
        let finding = self.place.finding(key, message);
        self.findings.push(finding);
    }

    fn value<T>(
        &mut self,
        key: &str,
        default: Option<T>,
        read: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let Some(entry) = self.entries.get(key) else {
            if default.is_none() {
                self.report(key, "missing key".to_owned());
            }
            return default;
        };
        match read(&entry.value) {
            Ok(value) => Some(value),
            Err(message) => {
                self.report(key, message);
                None
            }
        }
    }
}

fn check_heading(
    heading: &str,
    tables: &[SectionSchema],
) -> Result<(), String> {
    let mut words = heading.split(' ');
    let word = words.next().unwrap_or_default();
    let Some(table) = tables.iter().find(|table| table.keyword == word) else {
        return Err("unknown section".to_owned());
    };
    let names: Vec<&str> = words.collect();
    if names.len() != table.name_placeholders.len() {
        return Err(format!("must be written [{}]", table.heading()));
    }
    match names.iter().find(|name| !TextFormat::Name.matches(name)) {
        Some(name) => Err(not_of_form(TextFormat::Name, name)),
        None => Ok(()),
    }
}

/// A key that belongs to another kind of the section.
const MISPLACED: &str = "key is not for this kind of service";

fn has_key(tables: &[&[Field]], key: &str) -> bool {
    let mut fields = tables.iter().flat_map(|table| table.iter());
    fields.any(|field| field.key() == key)
}

fn names_after<'a>(heading: &'a str, word: &str) -> Option<&'a str> {
    heading.strip_prefix(word)?.strip_prefix(' ')
}

fn doubled(what: &str, first_line: usize) -> String {
    format!("doubled {what}; the first is on line {first_line}")
}
