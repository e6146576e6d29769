use super::*;

// A clock that can't be read must not become a number: command batches expire on it.
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
