//! The keys of a section, their ranges and defaults.
//!
//! One constant describes a key: the reader checks against it, the operators'
//! pages are tested against it, and the default stands in it. So there is
//! one place where a range or a default changes.

/// A section that a file may hold.
#[derive(Clone, Copy, Debug)]
pub struct SectionSchema {
    /// First word of the heading.
    pub keyword: &'static str,
    /// Names that follow the word, as the pages write them.
    pub name_placeholders: &'static [&'static str],
    /// Its keys; more than one table where keys depend on another key.
    pub field_groups: &'static [&'static [Field]],
}

impl SectionSchema {
    /// The heading as the pages write it, without brackets.
    pub fn heading(&self) -> String {
        let mut heading = self.keyword.to_owned();
        for name in self.name_placeholders {
            heading.push(' ');
            heading.push_str(name);
        }
        heading
    }

    /// All keys.
    pub fn fields(&self) -> impl Iterator<Item = &'static Field> {
        self.field_groups.iter().flat_map(|group| group.iter())
    }
}

/// A key of a section.
#[derive(Clone, Copy, Debug)]
pub enum Field {
    /// A whole number with a unit.
    Integer(IntegerField),
    /// One of a few words.
    Choice(ChoiceField),
    /// An address.
    Address(AddressField),
    /// A name, or another short text of a given form.
    Text(TextField),
    /// A list with commas.
    List(ListField),
    /// A list of addresses with commas.
    Addresses(AddressListField),
}

impl Field {
    /// The key as it is written.
    pub fn key(&self) -> &'static str {
        match self {
            Field::Integer(field) => field.key,
            Field::Choice(field) => field.key,
            Field::Address(field) => field.key,
            Field::Text(field) => field.key,
            Field::List(field) => field.key,
            Field::Addresses(field) => field.key,
        }
    }

    /// The unit; none for what isn't a number.
    pub fn unit(&self) -> Option<&'static str> {
        match self {
            Field::Integer(field) => Some(field.unit),
            _ => None,
        }
    }

    /// What a value may be.
    pub fn range(&self) -> String {
        match self {
            Field::Integer(field) => field.range(),
            Field::Choice(field) => field.values.join(", "),
            Field::Address(_) => "ip:port".to_owned(),
            Field::Text(field) => field.form.describe().to_owned(),
            Field::List(field) => {
                format!("list of {}", field.form.describe())
            }
            Field::Addresses(_) => "list of ip:port".to_owned(),
        }
    }

    /// What holds where the key is missing; none where it's required.
    pub fn default(&self) -> Option<String> {
        match self {
            Field::Integer(field) => {
                field.default.map(|value| value.to_string())
            }
            Field::Choice(field) => field.default.map(str::to_owned),
            Field::Text(field) => field.default.map(str::to_owned),
            Field::Address(_) | Field::List(_) => None,
            Field::Addresses(_) => Some("none".to_owned()),
        }
    }
}

/// A whole number.
#[derive(Clone, Copy, Debug)]
pub struct IntegerField {
    /// The key.
    pub key: &'static str,
    /// Least value.
    pub min: u64,
    /// Greatest value.
    pub max: u64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Value where the key is missing.
    pub default: Option<u64>,
}

impl IntegerField {
    /// A required number.
    pub(crate) const fn new(
        key: &'static str,
        min: u64,
        max: u64,
        unit: &'static str,
    ) -> IntegerField {
        IntegerField { key, min, max, unit, default: None }
    }

    /// The same with a default.
    pub(crate) const fn with_default(mut self, default: u64) -> IntegerField {
        self.default = Some(default);
        self
    }

    /// The range as the pages write it.
    pub(crate) fn range(&self) -> String {
        format!("{}..={}", self.min, self.max)
    }
}

/// One of a few words.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceField {
    /// The key.
    pub key: &'static str,
    /// The words.
    pub values: &'static [&'static str],
    /// Word where the key is missing.
    pub default: Option<&'static str>,
}

impl ChoiceField {
    /// A required choice.
    pub(crate) const fn new(
        key: &'static str,
        values: &'static [&'static str],
    ) -> ChoiceField {
        ChoiceField { key, values, default: None }
    }

    /// The same with a default.
    pub(crate) const fn with_default(
        mut self,
        default: &'static str,
    ) -> ChoiceField {
        self.default = Some(default);
        self
    }
}

/// Who uses an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddressUse {
    /// This process listens there; every local address is allowed.
    Listen,
    /// Others connect there, so it must be a definite one.
    Connect,
}

/// An address, always required.
#[derive(Clone, Copy, Debug)]
pub struct AddressField {
    /// The key.
    pub key: &'static str,
    /// Who uses it.
    pub address_use: AddressUse,
}

impl AddressField {
    /// An address to listen at.
    pub(crate) const fn listen(key: &'static str) -> AddressField {
        AddressField { key, address_use: AddressUse::Listen }
    }

    /// An address to connect to.
    pub(crate) const fn connect(key: &'static str) -> AddressField {
        AddressField { key, address_use: AddressUse::Connect }
    }
}

/// Form of a short text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TextFormat {
    /// Name of a VM, a service and the like.
    Name,
    /// Name of a model, as its publisher writes it.
    Model,
    /// Path prefix of a URL.
    Path,
    /// Digest of a key.
    KeyDigest,
}

/// Most characters of a name, a model or a path.
pub const MAX_TEXT_CHARS: usize = 128;

impl TextFormat {
    /// The form in words.
    pub fn describe(self) -> &'static str {
        match self {
            TextFormat::Name => "name (letters, digits, `-`, `_`, `.`)",
            TextFormat::Model => "model (printable ASCII, no space or comma)",
            TextFormat::Path => "path (`/`, then names parted by `/`)",
            TextFormat::KeyDigest => "key digest (64 hexadecimal digits)",
        }
    }

    /// `text` as it is held.
    pub(crate) fn normalised(self, text: &str) -> String {
        match self {
            TextFormat::KeyDigest => text.to_ascii_lowercase(),
            _ => text.to_owned(),
        }
    }

    /// Whether `text` has the form.
    pub fn matches(self, text: &str) -> bool {
        match self {
            TextFormat::Name => is_name(text),
            TextFormat::Model => is_model(text),
            TextFormat::Path => is_path(text),
            TextFormat::KeyDigest => crate::keys::is_key_digest(text),
        }
    }
}

/// A short text.
#[derive(Clone, Copy, Debug)]
pub struct TextField {
    /// The key.
    pub key: &'static str,
    /// Its form.
    pub form: TextFormat,
    /// Text where the key is missing.
    pub default: Option<&'static str>,
}

impl TextField {
    /// A required text.
    pub(crate) const fn new(key: &'static str, form: TextFormat) -> TextField {
        TextField { key, form, default: None }
    }

    /// The same with a default.
    pub(crate) const fn with_default(
        mut self,
        default: &'static str,
    ) -> TextField {
        self.default = Some(default);
        self
    }
}

/// A list with commas, always required, never empty.
#[derive(Clone, Copy, Debug)]
pub struct ListField {
    /// The key.
    pub key: &'static str,
    /// Form of each item.
    pub form: TextFormat,
}

impl ListField {
    /// A list of items of a form.
    pub(crate) const fn new(key: &'static str, form: TextFormat) -> ListField {
        ListField { key, form }
    }
}

/// A list of addresses to connect to, with commas; none where the key is
/// missing.
#[derive(Clone, Copy, Debug)]
pub struct AddressListField {
    /// The key.
    pub key: &'static str,
    /// Most addresses.
    pub max_count: usize,
}

impl AddressListField {
    /// A list of at most `max_count` addresses.
    pub(crate) const fn new(
        key: &'static str,
        max_count: usize,
    ) -> AddressListField {
        AddressListField { key, max_count }
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| {
        byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
    };
    has_allowed_length(text)
        && text.as_bytes()[0].is_ascii_alphanumeric()
        && text.bytes().all(is_allowed)
}

fn is_model(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    has_allowed_length(text) && text.bytes().all(is_allowed)
}

fn is_path(text: &str) -> bool {
    let Some(segments) = text.strip_prefix('/') else {
        return false;
    };
    has_allowed_length(text) && segments.split('/').all(is_name)
}

fn has_allowed_length(text: &str) -> bool {
    (1..=MAX_TEXT_CHARS).contains(&text.len())
}
