//! Tokens as text.
//!
//! A token id below 256 is a byte of UTF-8; the engines' own vocabularies stay behind their ids.

/// Returns the token ids of a text.
pub fn tokenize(text: &str) -> Vec<u32> {
    text.bytes().map(u32::from).collect()
}

/// Text that grows token by token; a character is given out when its last byte has come.
#[derive(Clone, Debug, Default)]
pub struct Detokenizer {
    pending: Vec<u8>,
}

impl Detokenizer {
    /// Adds a token and returns the characters that are complete now.
    pub fn push(&mut self, token: u32) -> String {
        let Ok(byte) = u8::try_from(token) else {
            return char::REPLACEMENT_CHARACTER.to_string();
        };
        self.pending.push(byte);
        match std::str::from_utf8(&self.pending) {
            Ok(text) => {
                let text = text.to_owned();
                self.pending.clear();
                text
            }
            Err(error) if error.error_len().is_none() => String::new(),
            Err(_) => {
                let text = String::from_utf8_lossy(&self.pending).into_owned();
                self.pending.clear();
                text
            }
        }
    }
}
