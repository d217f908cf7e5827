/// Encodes values into a buffer.
///
/// A varint has 7 bits in each byte, least significant first, and the top bit set on all bytes but the last
/// (LEB128). Texts, byte strings and lists start with their length as a varint.
#[derive(Debug, Default)]
pub(crate) struct Writer(Vec<u8>);

impl Writer {
    pub(crate) fn into_bytes(self) -> Box<[u8]> {
        self.0.into()
    }

    pub(crate) fn byte(&mut self, value: u8) {
        self.0.push(value);
    }

    pub(crate) fn flag(&mut self, value: bool) {
        self.byte(u8::from(value));
    }

    pub(crate) fn varint(&mut self, mut value: u64) {
        while value >= 0x80 {
            self.byte(value as u8 | 0x80);
            value >>= 7;
        }
        self.byte(value as u8);
    }

    /// Appends bytes of a fixed length, without a length prefix.
    pub(crate) fn fixed(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        self.varint(bytes.len() as u64);
        self.fixed(bytes);
    }

    pub(crate) fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    pub(crate) fn option<T>(&mut self, value: Option<T>, put: impl FnOnce(&mut Self, T)) {
        self.flag(value.is_some());
        if let Some(value) = value {
            put(self, value);
        }
    }

    pub(crate) fn list<T>(
        &mut self,
        values: impl ExactSizeIterator<Item = T>,
        mut put: impl FnMut(&mut Self, T),
    ) {
        self.varint(values.len() as u64);
        values.for_each(|value| put(self, value));
    }
}
