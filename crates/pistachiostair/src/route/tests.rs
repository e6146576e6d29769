use rstest::rstest;

use super::*;

/// Guards against a path that is routed to the wrong operation or object, especially with percent-encoded names, and
/// against a wrong method answered like an unknown path.
#[rstest]
#[case::list("GET", "/v1/jobs", Some(Route::ListJobs))]
#[case::create("POST", "/v1/jobs", Some(Route::CreateJob))]
#[case::job("GET", "/v1/jobs/a/b", Some(Route::GetJob { account: "a".into(), name: "b".into() }))]
#[case::encoded("DELETE", "/v1/jobs/a/b%2Fc", Some(Route::CancelJob { account: "a".into(), name: "b/c".into() }))]
#[case::drain("POST", "/v1/workers/w1/drain", Some(Route::Drain { worker: "w1".into(), drain: true }))]
#[case::undrain("POST", "/v1/workers/w1/undrain", Some(Route::Drain { worker: "w1".into(), drain: false }))]
#[case::history("GET", "/v1/configuration/history", Some(Route::ConfigurationHistory))]
#[case::method("PATCH", "/v1/accounts/a", Some(Route::WrongMethod))]
#[case::method_on_list("DELETE", "/v1/jobs", Some(Route::WrongMethod))]
#[case::unknown("GET", "/v1/nothing", None)]
#[case::too_long("GET", "/v1/jobs/a/b/c/d", None)]
#[case::version("GET", "/v2/jobs", None)]
fn parse_route_of(#[case] method: &str, #[case] path: &str, #[case] route: Option<Route>) {
    let method: Method = method.parse().unwrap();
    assert_eq!(parse_route(&method, path), route);
}
