//! Conversion between text and token ids.
//!
//! A token id below 256 stands for one byte of UTF-8. Ids from 256 on belong to the engines' own
//! vocabularies and have no text here.

/// Returns the token ids of a text, one for each byte.
pub fn tokenize(text: &str) -> Vec<u32> {
    text.bytes().map(u32::from).collect()
}

/// Converts a sequence of tokens to text, and returns each character once its last byte is pushed.
#[derive(Clone, Debug, Default)]
pub struct Detokenizer {
    pending: Vec<u8>,
}

impl Detokenizer {
    /// Adds a token and returns the characters that it completes.
    ///
    /// Invalid UTF-8 and ids from 256 on become replacement characters.
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
