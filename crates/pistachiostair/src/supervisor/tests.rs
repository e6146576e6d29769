use super::*;

/// Guards against a malformed clock that is read as a number: the expiry of command batches depends on it.
#[test]
fn read_clock_malformed() {
    let read = |text: &'static str| {
        let value = hyper::header::HeaderValue::from_static(text);
        read_clock(&HeaderMap::from_iter([(
            hyper::header::HeaderName::from_static(CLOCK_HEADER),
            value,
        )]))
    };
    assert_eq!(read("41250"), Some(Millis(41_250)));
    assert_eq!(read("-1"), None);
    assert_eq!(read("12 s"), None);
    assert_eq!(read(""), None);
    assert_eq!(read_clock(&HeaderMap::new()), None);
}
