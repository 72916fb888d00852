//! Reads single members of JSON text without decoding the rest, and writes JSON strings.

/// Returns the index behind the JSON value that starts at `at`.
fn value_end(text: &[u8], at: usize) -> Option<usize> {
    match text.get(at)? {
        b'"' => {
            let mut at = at + 1;
            loop {
                match text.get(at)? {
                    b'\\' => at += 2,
                    b'"' => return Some(at + 1),
                    _ => at += 1,
                }
            }
        }
        b'{' | b'[' => {
            let mut depth = 0;
            let mut at = at;
            loop {
                match text.get(at)? {
                    b'"' => at = value_end(text, at)?,
                    b'{' | b'[' => {
                        depth += 1;
                        at += 1;
                    }
                    b'}' | b']' => {
                        depth -= 1;
                        at += 1;
                        if depth == 0 {
                            return Some(at);
                        }
                    }
                    _ => at += 1,
                }
            }
        }
        _ => {
            let is_end = |byte: &u8| matches!(byte, b',' | b'}' | b']' | b' ' | b'\n' | b'\r');
            let len = text[at..].iter().position(is_end);
            Some(len.map_or(text.len(), |len| at + len))
        }
    }
}

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while text.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the JSON text of the member `name` of the object `text`.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = value_end(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at = skip_space(bytes, at + 1);
    }
    None
}

/// Returns the JSON text of the elements of the array `text`.
pub fn elements(text: &str) -> Vec<&str> {
    let bytes = text.as_bytes();
    let mut found = Vec::new();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'[') {
        return found;
    }
    at = skip_space(bytes, at + 1);
    while at < bytes.len() && bytes[at] != b']' {
        let Some(end) = value_end(bytes, at) else {
            break;
        };
        found.push(&text[at..end]);
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    found
}

/// Returns the content of the JSON string `text`. Handles the escapes that these programs write.
pub fn unquote(text: &str) -> String {
    let inner = text.trim().trim_matches('"');
    let mut out = String::new();
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => match chars.next() {
                Some('n') => out.push('\n'),
                Some('t') => out.push('\t'),
                Some('r') => out.push('\r'),
                Some(other) => out.push(other),
                None => {}
            },
            c => out.push(c),
        }
    }
    out
}

/// Returns the string member `name` of the object `text`.
pub fn string(text: &str, name: &str) -> Option<String> {
    member(text, name).map(unquote)
}

/// Returns the number member `name` of the object `text`.
pub fn number(text: &str, name: &str) -> Option<u64> {
    member(text, name)?.parse().ok()
}
