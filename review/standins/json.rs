//! A small reader of JSON, and base64. Texts are written with `format!`.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, byte: u8) -> Option<()> {
    skip(bytes, at);
    (bytes.get(*at) == Some(&byte)).then(|| *at += 1)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            if take(bytes, at, b'}').is_some() {
                return Some(Json::Object(fields));
            }
            loop {
                skip(bytes, at);
                let name = string(bytes, at)?;
                take(bytes, at, b':')?;
                fields.insert(name, value(bytes, at)?);
                if take(bytes, at, b',').is_none() {
                    take(bytes, at, b'}')?;
                    return Some(Json::Object(fields));
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            if take(bytes, at, b']').is_some() {
                return Some(Json::List(items));
            }
            loop {
                items.push(value(bytes, at)?);
                if take(bytes, at, b',').is_none() {
                    take(bytes, at, b']')?;
                    return Some(Json::List(items));
                }
            }
        }
        b'"' => Some(Json::Text(string(bytes, at)?)),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while *at < bytes.len()
                && matches!(bytes[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    (bytes.get(*at) == Some(&b'"')).then_some(())?;
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buffer = [0; 4];
                        let shown = char::from_u32(code).unwrap_or('?').encode_utf8(&mut buffer);
                        text.extend_from_slice(shown.as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(ALPHABET[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
