//! Schema of the sections and keys of a file.
//!
//! A constant describes each key. The reader validates values against the
//! constant and takes defaults from it, and a test compares the operators'
//! pages with it, so that a range or default is defined once.

/// Schema of a section.
#[derive(Clone, Copy, Debug)]
pub struct SectionSchema {
    /// First word of the heading, which identifies the kind of section.
    pub keyword: &'static str,
    /// Placeholders of the names that follow the keyword, as in the
    /// operators' pages.
    pub name_placeholders: &'static [&'static str],
    /// Keys of the section, in several groups where the valid keys depend on
    /// the value of another key.
    pub field_groups: &'static [&'static [Field]],
}

impl SectionSchema {
    /// Heading with placeholders, without brackets.
    pub fn heading(&self) -> String {
        let mut heading = self.keyword.to_owned();
        for name in self.name_placeholders {
            heading.push(' ');
            heading.push_str(name);
        }
        heading
    }

    /// Keys of all groups.
    pub fn fields(&self) -> impl Iterator<Item = &'static Field> {
        self.field_groups.iter().flat_map(|group| group.iter())
    }
}

/// Schema of a key.
#[derive(Clone, Copy, Debug)]
pub enum Field {
    /// An integer with a unit.
    Integer(IntegerField),
    /// One of a fixed set of values.
    Choice(ChoiceField),
    /// A socket address.
    Address(AddressField),
    /// A short text of a given format.
    Text(TextField),
    /// A comma-separated list of texts.
    List(ListField),
    /// A comma-separated list of socket addresses.
    Addresses(AddressListField),
}

impl Field {
    /// Name of the key.
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

    /// Unit; `None` if the value is not a number.
    pub fn unit(&self) -> Option<&'static str> {
        match self {
            Field::Integer(field) => Some(field.unit),
            _ => None,
        }
    }

    /// Description of the valid values.
    pub fn range(&self) -> String {
        match self {
            Field::Integer(field) => field.range(),
            Field::Choice(field) => field.values.join(", "),
            Field::Address(_) => "ip:port".to_owned(),
            Field::Text(field) => field.format.describe().to_owned(),
            Field::List(field) => {
                format!("list of {}", field.format.describe())
            }
            Field::Addresses(_) => "list of ip:port".to_owned(),
        }
    }

    /// Value if the key is missing; `None` if the key is required.
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

/// Schema of an integer.
#[derive(Clone, Copy, Debug)]
pub struct IntegerField {
    /// The key.
    pub key: &'static str,
    /// Minimum value.
    pub min: u64,
    /// Maximum value.
    pub max: u64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Value if the key is missing.
    pub default: Option<u64>,
}

impl IntegerField {
    /// A required integer.
    pub(crate) const fn new(
        key: &'static str,
        min: u64,
        max: u64,
        unit: &'static str,
    ) -> IntegerField {
        IntegerField { key, min, max, unit, default: None }
    }

    /// Makes the key optional.
    pub(crate) const fn with_default(mut self, default: u64) -> IntegerField {
        self.default = Some(default);
        self
    }

    /// Range in the notation of the operators' pages.
    pub(crate) fn range(&self) -> String {
        format!("{}..={}", self.min, self.max)
    }
}

/// Schema of one of a fixed set of values.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceField {
    /// The key.
    pub key: &'static str,
    /// Valid values.
    pub values: &'static [&'static str],
    /// Value if the key is missing.
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

    /// Makes the key optional.
    pub(crate) const fn with_default(
        mut self,
        default: &'static str,
    ) -> ChoiceField {
        self.default = Some(default);
        self
    }
}

/// How an address is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddressUse {
    /// This process listens on the address; unspecified addresses are valid.
    Listen,
    /// Processes connect to the address, so it must not be unspecified.
    Connect,
}

/// Schema of a required socket address.
#[derive(Clone, Copy, Debug)]
pub struct AddressField {
    /// The key.
    pub key: &'static str,
    /// Use of the address.
    pub address_use: AddressUse,
}

impl AddressField {
    /// An address to listen on.
    pub(crate) const fn listen(key: &'static str) -> AddressField {
        AddressField { key, address_use: AddressUse::Listen }
    }

    /// An address to connect to.
    pub(crate) const fn connect(key: &'static str) -> AddressField {
        AddressField { key, address_use: AddressUse::Connect }
    }
}

/// Format of a short text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TextFormat {
    /// Name of an object such as a VM or a service.
    Name,
    /// Name of a model as used by its publisher.
    Model,
    /// URL path prefix.
    Path,
    /// Digest of an API key.
    KeyDigest,
}

/// Maximum length of a name, a model or a path.
pub const MAX_TEXT_CHARS: usize = 128;

impl TextFormat {
    /// Description of the format.
    pub fn describe(self) -> &'static str {
        match self {
            TextFormat::Name => "name (letters, digits, `-`, `_`, `.`)",
            TextFormat::Model => "model (printable ASCII, no space or comma)",
            TextFormat::Path => "path (`/`, then names parted by `/`)",
            TextFormat::KeyDigest => "key digest (64 hexadecimal digits)",
        }
    }

    /// Converts a valid `text` to its canonical format.
    pub(crate) fn to_canonical(self, text: &str) -> String {
        match self {
            TextFormat::KeyDigest => text.to_ascii_lowercase(),
            _ => text.to_owned(),
        }
    }

    /// Whether `text` has the format.
    pub fn matches(self, text: &str) -> bool {
        match self {
            TextFormat::Name => is_name(text),
            TextFormat::Model => is_model(text),
            TextFormat::Path => is_path(text),
            TextFormat::KeyDigest => crate::keys::is_key_digest(text),
        }
    }
}

/// Schema of a short text.
#[derive(Clone, Copy, Debug)]
pub struct TextField {
    /// The key.
    pub key: &'static str,
    /// Format of the text.
    pub format: TextFormat,
    /// Text if the key is missing.
    pub default: Option<&'static str>,
}

impl TextField {
    /// A required text.
    pub(crate) const fn new(
        key: &'static str,
        format: TextFormat,
    ) -> TextField {
        TextField { key, format, default: None }
    }

    /// Makes the key optional.
    pub(crate) const fn with_default(
        mut self,
        default: &'static str,
    ) -> TextField {
        self.default = Some(default);
        self
    }
}

/// Schema of a required, non-empty, comma-separated list.
#[derive(Clone, Copy, Debug)]
pub struct ListField {
    /// The key.
    pub key: &'static str,
    /// Format of each item.
    pub format: TextFormat,
}

impl ListField {
    /// A list of items of a format.
    pub(crate) const fn new(
        key: &'static str,
        format: TextFormat,
    ) -> ListField {
        ListField { key, format }
    }
}

/// Schema of a comma-separated list of addresses to connect to; empty if the
/// key is missing.
#[derive(Clone, Copy, Debug)]
pub struct AddressListField {
    /// The key.
    pub key: &'static str,
    /// Maximum number of addresses.
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
