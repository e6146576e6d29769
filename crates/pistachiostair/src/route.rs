//! Maps method and path of a request to the HTTP API to the operation that it asks for.

use hyper::Method;

use crate::http_server::decode_percent;

#[cfg(test)]
mod tests;

/// The operation that a request asks for. Names are percent-decoded, but not validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    ListJobs,
    CreateJob,
    GetJob {
        account: String,
        name: String,
    },
    CancelJob {
        account: String,
        name: String,
    },
    ExplainJob {
        account: String,
        name: String,
    },
    ListAccounts,
    GetAccount(String),
    PutAccount(String),
    DeleteAccount(String),
    ListGuarantees,
    GetGuarantee(String),
    PutGuarantee(String),
    DeleteGuarantee(String),
    ListWorkers,
    GetWorker(String),
    /// Sets whether a worker is drained.
    Drain {
        worker: String,
        /// False for `undrain`.
        drain: bool,
    },
    GetConfiguration,
    PutConfiguration,
    ConfigurationHistory,
    ListMembers,
    /// The path exists, but not with this method.
    WrongMethod,
}

impl Route {
    /// The route's name in logs and metrics, without names of objects, so that the number of series stays bounded.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::ListJobs => "list jobs",
            Self::CreateJob => "create job",
            Self::GetJob { .. } => "get job",
            Self::CancelJob { .. } => "cancel job",
            Self::ExplainJob { .. } => "explain job",
            Self::ListAccounts => "list accounts",
            Self::GetAccount(_) => "get account",
            Self::PutAccount(_) => "put account",
            Self::DeleteAccount(_) => "delete account",
            Self::ListGuarantees => "list guarantees",
            Self::GetGuarantee(_) => "get guarantee",
            Self::PutGuarantee(_) => "put guarantee",
            Self::DeleteGuarantee(_) => "delete guarantee",
            Self::ListWorkers => "list workers",
            Self::GetWorker(_) => "get worker",
            Self::Drain { .. } => "drain worker",
            Self::GetConfiguration => "get configuration",
            Self::PutConfiguration => "put configuration",
            Self::ConfigurationHistory => "configuration history",
            Self::ListMembers => "list members",
            Self::WrongMethod => "wrong method",
        }
    }
}

/// Finds the route of a request; `None` if the path does not exist with any method.
pub(crate) fn parse_route(method: &Method, path: &str) -> Option<Route> {
    let rest = path.strip_prefix("/v1/")?;
    let parts: Vec<String> = rest.split('/').map(decode_percent).collect();
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    let route = match (method.as_str(), parts.as_slice()) {
        ("GET", ["jobs"]) => Route::ListJobs,
        ("POST", ["jobs"]) => Route::CreateJob,
        ("GET", ["jobs", account, name]) => Route::GetJob {
            account: (*account).into(),
            name: (*name).into(),
        },
        ("DELETE", ["jobs", account, name]) => Route::CancelJob {
            account: (*account).into(),
            name: (*name).into(),
        },
        ("GET", ["jobs", account, name, "explain"]) => Route::ExplainJob {
            account: (*account).into(),
            name: (*name).into(),
        },
        ("GET", ["accounts"]) => Route::ListAccounts,
        ("GET", ["accounts", name]) => Route::GetAccount((*name).into()),
        ("PUT", ["accounts", name]) => Route::PutAccount((*name).into()),
        ("DELETE", ["accounts", name]) => Route::DeleteAccount((*name).into()),
        ("GET", ["guarantees"]) => Route::ListGuarantees,
        ("GET", ["guarantees", name]) => Route::GetGuarantee((*name).into()),
        ("PUT", ["guarantees", name]) => Route::PutGuarantee((*name).into()),
        ("DELETE", ["guarantees", name]) => Route::DeleteGuarantee((*name).into()),
        ("GET", ["workers"]) => Route::ListWorkers,
        ("GET", ["workers", name]) => Route::GetWorker((*name).into()),
        ("POST", ["workers", name, "drain"]) => Route::Drain {
            worker: (*name).into(),
            drain: true,
        },
        ("POST", ["workers", name, "undrain"]) => Route::Drain {
            worker: (*name).into(),
            drain: false,
        },
        ("GET", ["configuration"]) => Route::GetConfiguration,
        ("PUT", ["configuration"]) => Route::PutConfiguration,
        ("GET", ["configuration", "history"]) => Route::ConfigurationHistory,
        ("GET", ["members"]) => Route::ListMembers,
        (_, ["jobs" | "accounts" | "guarantees" | "workers" | "configuration" | "members"]) => Route::WrongMethod,
        (_, ["jobs", _, _] | ["accounts" | "guarantees" | "workers", _]) => Route::WrongMethod,
        (_, ["jobs", _, _, "explain"] | ["configuration", "history"]) => Route::WrongMethod,
        (_, ["workers", _, "drain" | "undrain"]) => Route::WrongMethod,
        _ => return None,
    };
    Some(route)
}
