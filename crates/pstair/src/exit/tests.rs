use rstest::rstest;

use super::*;

// Scripts repeat a request on code 5; a request that may have run must never end with it.
#[rstest]
#[case::unavailable(ErrorKind::Unavailable, Ran::No, 5)]
#[case::unavailable_unknown(ErrorKind::Unavailable, Ran::Unknown, 6)]
#[case::timeout_unknown(ErrorKind::Timeout, Ran::Unknown, 6)]
#[case::timeout_ran(ErrorKind::Timeout, Ran::Yes, 1)]
#[case::limited(ErrorKind::Limited, Ran::No, 5)]
#[case::conflict(ErrorKind::Conflict, Ran::No, 4)]
#[case::conflict_unknown(ErrorKind::Conflict, Ran::Unknown, 6)]
#[case::not_found(ErrorKind::NotFound, Ran::No, 3)]
#[case::invalid(ErrorKind::Invalid, Ran::No, 2)]
#[case::impossible(ErrorKind::Impossible, Ran::No, 1)]
fn from_error(#[case] kind: ErrorKind, #[case] ran: Ran, #[case] code: u8) {
    let error = Error::msg(kind, "create job", "reason").ran(ran);
    assert_eq!(Exit::from(&error) as u8, code);
}
