//! Sections of a file, validated against their schemas.
//!
//! Headings are validated first, then the keys of each section, then each
//! value. A reader returns `None` for a value that it has reported as invalid,
//! so that a check across several keys is skipped if one of them is invalid.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    document::{IniDocument, IniEntry, IniSection, truncated},
    fields::{
        AddressField, AddressListField, ChoiceField, Field, IntegerField,
        ListField, SectionSchema, TextField, TextFormat,
    },
    findings::{Finding, Findings},
    values::{
        invalid_format, parse_address, parse_addresses, parse_integer,
        parse_list, parse_text,
    },
};

/// Sections of a file by validated heading.
pub(crate) struct SectionIndex<'a> {
    file: &'a str,
    document: &'a IniDocument,
    schemas: &'static [SectionSchema],
    sections: BTreeMap<&'a str, &'a IniSection>,
}

impl<'a> SectionIndex<'a> {
    /// Indexes the sections and reports invalid and duplicate headings.
    pub(crate) fn new(
        file: &'a str,
        document: &'a IniDocument,
        schemas: &'static [SectionSchema],
        findings: &mut Findings,
    ) -> SectionIndex<'a> {
        let sections = BTreeMap::new();
        let mut index = SectionIndex { file, document, schemas, sections };
        for section in &document.sections {
            if let Err(message) = index.add(section) {
                findings.push(Finding {
                    file: file.to_owned(),
                    line: Some(section.line),
                    section: truncated(&section.heading),
                    key: String::new(),
                    message,
                });
            }
        }
        index
    }

    fn add(&mut self, section: &'a IniSection) -> Result<(), String> {
        check_heading(&section.heading, self.schemas)?;
        match self.sections.get(section.heading.as_str()) {
            Some(first) => Err(duplicate_message("section", first.line)),
            None => {
                self.sections.insert(&section.heading, section);
                Ok(())
            }
        }
    }

    /// Names of the sections with `keyword`, in file order.
    pub(crate) fn names(&self, keyword: &str) -> Vec<&'a str> {
        let named = |section: &'a IniSection| {
            let names = names_of_heading(&section.heading, keyword)?;
            let kept = self.sections.get(section.heading.as_str())?;
            (kept.line == section.line).then_some(names)
        };
        self.document.sections.iter().filter_map(named).collect()
    }

    /// Whether the file has a section with this heading.
    pub(crate) fn contains(&self, heading: &str) -> bool {
        self.sections.contains_key(heading)
    }

    /// Reader of a section whose valid keys are those of `field_groups`. A
    /// missing section is read as an empty section.
    pub(crate) fn reader<'b>(
        &'b self,
        heading: &'b str,
        field_groups: &[&[Field]],
        findings: &'b mut Findings,
    ) -> SectionReader<'b> {
        let location = self.location(heading);
        let entries = BTreeMap::new();
        let mut reader = SectionReader { location, entries, findings };
        if let Some(section) = self.sections.get(heading) {
            reader.index_entries(
                section,
                field_groups,
                self.known_fields(heading),
            );
        }
        reader
    }

    /// Keys of the section in all its variants.
    fn known_fields(&self, heading: &str) -> &'static [&'static [Field]] {
        let keyword = heading.split(' ').next().unwrap_or_default();
        let schema =
            self.schemas.iter().find(|schema| schema.keyword == keyword);
        schema.map_or(&[], |schema| schema.field_groups)
    }

    /// Location of a section, for findings.
    pub(crate) fn location<'b>(
        &'b self,
        heading: &'b str,
    ) -> SectionLocation<'b> {
        let section = self.sections.get(heading).copied();
        SectionLocation { file: self.file, heading, section }
    }
}

/// Location of a section in the file; creates findings.
pub(crate) struct SectionLocation<'a> {
    file: &'a str,
    heading: &'a str,
    section: Option<&'a IniSection>,
}

impl SectionLocation<'_> {
    /// Creates a finding at the first entry with `key`, or at the heading if
    /// there is none.
    pub(crate) fn finding(&self, key: &str, message: String) -> Finding {
        self.finding_at(self.line(key), key, message)
    }

    fn finding_at(
        &self,
        line: Option<usize>,
        key: &str,
        message: String,
    ) -> Finding {
        Finding {
            file: self.file.to_owned(),
            line,
            section: self.heading.to_owned(),
            key: key.to_owned(),
            message,
        }
    }

    /// Unparsed value of `key`.
    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        self.entry(key).map(|entry| entry.value.as_str())
    }

    fn line(&self, key: &str) -> Option<usize> {
        let section = self.section?;
        Some(self.entry(key).map_or(section.line, |entry| entry.line))
    }

    fn entry(&self, key: &str) -> Option<&IniEntry> {
        let entries = &self.section?.entries;
        entries.iter().find(|entry| entry.key == key)
    }
}

/// Reads the values of a section.
pub(crate) struct SectionReader<'a> {
    location: SectionLocation<'a>,
    entries: BTreeMap<&'a str, &'a IniEntry>,
    findings: &'a mut Findings,
}

impl<'a> SectionReader<'a> {
    fn index_entries(
        &mut self,
        section: &'a IniSection,
        field_groups: &[&[Field]],
        known: &[&[Field]],
    ) {
        for entry in &section.entries {
            if let Err(message) = self.index_entry(entry, field_groups, known)
            {
                let line = Some(entry.line);
                let finding =
                    self.location.finding_at(line, &entry.key, message);
                self.findings.push(finding);
            }
        }
    }

    fn index_entry(
        &mut self,
        entry: &'a IniEntry,
        field_groups: &[&[Field]],
        known: &[&[Field]],
    ) -> Result<(), String> {
        if !has_key(field_groups, &entry.key) {
            let is_known = has_key(known, &entry.key);
            let message =
                if is_known { INAPPLICABLE_KEY } else { "unknown key" };
            return Err(message.to_owned());
        }
        match self.entries.get(entry.key.as_str()) {
            Some(first) => Err(duplicate_message("key", first.line)),
            None => {
                self.entries.insert(&entry.key, entry);
                Ok(())
            }
        }
    }

    /// Reads an integer.
    pub(crate) fn integer<T: TryFrom<u64>>(
        &mut self,
        field: &IntegerField,
    ) -> Option<T> {
        let parse = |text: &str| parse_integer(field, text);
        let value = self.parse_value(field.key, field.default, parse)?;
        T::try_from(value).ok()
    }

    /// Reads one of a fixed set of values.
    pub(crate) fn choice<T>(
        &mut self,
        field: &ChoiceField,
        parse_choice: fn(&str) -> Option<T>,
    ) -> Option<T> {
        let default = field.default.and_then(parse_choice);
        let parse = |text: &str| {
            let values = field.values.join(", ");
            parse_choice(text).ok_or_else(|| {
                format!("{} is not one of {values}", truncated(text))
            })
        };
        self.parse_value(field.key, default, parse)
    }

    /// Reads a socket address.
    pub(crate) fn address(
        &mut self,
        field: &AddressField,
    ) -> Option<SocketAddr> {
        let parse = |text: &str| parse_address(field, text);
        self.parse_value(field.key, None, parse)
    }

    /// Reads a short text.
    pub(crate) fn text(&mut self, field: &TextField) -> Option<String> {
        let default = field.default.map(str::to_owned);
        let parse = |text: &str| parse_text(field.format, text);
        self.parse_value(field.key, default, parse)
    }

    /// Reads a list; items are in file order.
    pub(crate) fn list(&mut self, field: &ListField) -> Option<Vec<String>> {
        let parse = |text: &str| parse_list(field, text);
        self.parse_value(field.key, None, parse)
    }

    /// Reads a list of addresses in file order; empty if the key is missing.
    pub(crate) fn addresses(
        &mut self,
        field: &AddressListField,
    ) -> Option<Vec<SocketAddr>> {
        let parse = |text: &str| parse_addresses(field, text);
        self.parse_value(field.key, Some(Vec::new()), parse)
    }

    /// Reports entries with a key of `fields`, which apply to another kind of
    /// service.
    pub(crate) fn reject_keys(&mut self, fields: &[Field]) {
        for field in fields {
            if self.entries.contains_key(field.key()) {
                self.report(field.key(), INAPPLICABLE_KEY.to_owned());
            }
        }
    }

    /// Reports a finding about a key.
    pub(crate) fn report(&mut self, key: &str, message: String) {
        let finding = self.location.finding(key, message);
        self.findings.push(finding);
    }

    fn parse_value<T>(
        &mut self,
        key: &str,
        default: Option<T>,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let Some(entry) = self.entries.get(key) else {
            if default.is_none() {
                self.report(key, "missing key".to_owned());
            }
            return default;
        };
        match parse(&entry.value) {
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
    schemas: &[SectionSchema],
) -> Result<(), String> {
    let mut words = heading.split(' ');
    let keyword = words.next().unwrap_or_default();
    let Some(schema) = schemas.iter().find(|schema| schema.keyword == keyword)
    else {
        return Err("unknown section".to_owned());
    };
    let names: Vec<&str> = words.collect();
    if names.len() != schema.name_placeholders.len() {
        return Err(format!("must be written [{}]", schema.heading()));
    }
    match names.iter().find(|name| !TextFormat::Name.matches(name)) {
        Some(name) => Err(invalid_format(TextFormat::Name, name)),
        None => Ok(()),
    }
}

/// Message for a key that applies to another kind of service.
const INAPPLICABLE_KEY: &str = "key does not apply to this kind of service";

fn has_key(field_groups: &[&[Field]], key: &str) -> bool {
    let mut fields = field_groups.iter().flat_map(|group| group.iter());
    fields.any(|field| field.key() == key)
}

fn names_of_heading<'a>(heading: &'a str, keyword: &str) -> Option<&'a str> {
    heading.strip_prefix(keyword)?.strip_prefix(' ')
}

fn duplicate_message(what: &str, first_line: usize) -> String {
    format!("duplicate {what}; the first is on line {first_line}")
}
