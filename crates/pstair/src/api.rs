//! The resource interface: paths and bodies.

use std::collections::BTreeSet;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use pistachiostair::{
    Account, AccountSpec, Configuration, Error, ErrorKind, Explanation, Guarantee, GuaranteeSpec, Job, JobSpec,
    Listing, Member, Metadata, Millis, Policy, Ran, Result, Revision, Worker, encode_percent,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cli::JobPath;
use crate::client::{ApiCall, Client};

/// Jobs in a full page of a list; a shorter page is the last one.
const PAGE: usize = 500;

/// An object of the interface.
pub(crate) trait Object: Serialize + DeserializeOwned {
    /// Word for its kind, as in a document.
    const KIND: &'static str;
    /// Path of its list.
    const PATH: &'static str;
    /// Whether its list comes in pages that continue after a revision.
    const PAGED: bool = false;
    /// Name under which the interface finds it.
    fn name(&self) -> String;
}

impl Object for Job {
    const KIND: &'static str = "Job";
    const PATH: &'static str = "/v1/jobs";
    const PAGED: bool = true;
    fn name(&self) -> String {
        format!("{}/{}", self.spec.account, self.metadata.name)
    }
}

impl Object for Account {
    const KIND: &'static str = "Account";
    const PATH: &'static str = "/v1/accounts";
    fn name(&self) -> String {
        self.metadata.name.clone()
    }
}

impl Object for Guarantee {
    const KIND: &'static str = "Guarantee";
    const PATH: &'static str = "/v1/guarantees";
    fn name(&self) -> String {
        self.metadata.name.clone()
    }
}

impl Object for Worker {
    const KIND: &'static str = "Worker";
    const PATH: &'static str = "/v1/workers";
    fn name(&self) -> String {
        self.info.name.to_string()
    }
}

impl Object for Member {
    const KIND: &'static str = "Member";
    const PATH: &'static str = "/v1/members";
    fn name(&self) -> String {
        self.name.to_string()
    }
}

impl Object for Configuration {
    const KIND: &'static str = "Configuration";
    const PATH: &'static str = "/v1/configuration";
    fn name(&self) -> String {
        self.metadata.name.clone()
    }
}

/// An object that is replaced as a whole under `If-Match`.
pub(crate) trait Stored: Object {
    /// Type of its specification.
    type Spec: Serialize;
    /// Metadata.
    fn metadata(&self) -> &Metadata;
    /// Whether it has this specification; what the server filled in does not count.
    fn has_spec(&self, spec: &Self::Spec) -> bool;
}

impl Stored for Account {
    type Spec = AccountSpec;
    fn metadata(&self) -> &Metadata {
        &self.metadata
    }
    fn has_spec(&self, spec: &AccountSpec) -> bool {
        self.spec == *spec
    }
}

impl Stored for Guarantee {
    type Spec = GuaranteeSpec;
    fn metadata(&self) -> &Metadata {
        &self.metadata
    }
    fn has_spec(&self, spec: &GuaranteeSpec) -> bool {
        let region = spec.region.clone().or_else(|| self.spec.region.clone());
        self.spec == GuaranteeSpec { region, ..spec.clone() }
    }
}

impl Stored for Configuration {
    type Spec = Policy;
    fn metadata(&self) -> &Metadata {
        &self.metadata
    }
    fn has_spec(&self, spec: &Policy) -> bool {
        self.spec == *spec
    }
}

#[derive(Serialize)]
struct Body<'a, S> {
    metadata: &'a Metadata,
    spec: &'a S,
}

/// Path of an object. The name of a job has two parts.
pub(crate) fn object_path<T: Object>(name: &str) -> String {
    let parts: Vec<String> = name.split('/').map(encode_percent).collect();
    if name.is_empty() {
        T::PATH.to_owned()
    } else {
        format!("{}/{}", T::PATH, parts.join("/"))
    }
}

fn job_path(job: &JobPath) -> String {
    object_path::<Job>(&format!("{}/{}", job.account, job.name))
}

/// Adds a parameter to a path.
pub(crate) fn with_query(path: &str, name: &str, value: impl std::fmt::Display) -> String {
    let separator = if path.contains('?') { '&' } else { '?' };
    format!("{path}{separator}{name}={value}")
}

/// Path of a list, of the jobs of one client account if it is given.
pub(crate) fn list_path<T: Object>(account: Option<&str>) -> String {
    account.map_or_else(
        || T::PATH.to_owned(),
        |account| format!("{}?account={}", T::PATH, encode_percent(account)),
    )
}

impl Client {
    /// Lists objects.
    pub(crate) async fn list<T: Object>(&self, account: Option<&str>) -> Result<Listing<T>> {
        let mut listing = self.page::<T>(account, Revision(0)).await?;
        let mut last = listing.items.len();
        while T::PAGED && last >= PAGE {
            let page = self.page::<T>(account, listing.revision).await?;
            last = page.items.len();
            listing.revision = page.revision;
            // An object that changed meanwhile comes again at its new revision.
            let newer: BTreeSet<String> = page.items.iter().map(Object::name).collect();
            listing.items.retain(|old| !newer.contains(&old.name()));
            listing.items.extend(page.items);
        }
        Ok(listing)
    }

    async fn page<T: Object>(&self, account: Option<&str>, after: Revision) -> Result<Listing<T>> {
        let path = with_query(&list_path::<T>(account), "after", after);
        let path = if after == Revision(0) {
            list_path::<T>(account)
        } else {
            path
        };
        let call = ApiCall::read("list", path);
        self.send(&call).await?.parse(&call)
    }

    /// Reads one object.
    pub(crate) async fn get<T: Object>(&self, name: &str) -> Result<T> {
        let call = ApiCall::read("read object", object_path::<T>(name));
        self.send(&call).await?.parse(&call)
    }

    /// Reads a job once it has ended, or after `wait`.
    pub(crate) async fn wait(&self, job: &JobPath, wait: Millis) -> Result<Job> {
        let path = format!("{}?wait={}", job_path(job), wait.0);
        let call = ApiCall {
            hold: wait,
            ..ApiCall::read("wait for job", path)
        };
        self.send(&call).await?.parse(&call)
    }

    /// Submits a job. The second value tells whether this request created it.
    pub(crate) async fn create_job(&self, metadata: &Metadata, spec: &JobSpec, key: &str) -> Result<(Job, bool)> {
        let call = ApiCall {
            body: encode(&Body { metadata, spec })?,
            ..ApiCall::write("create job", Method::POST, Job::PATH).keyed("idempotency-key", key)
        };
        let reply = self.send(&call).await?;
        Ok((reply.parse(&call)?, reply.status == StatusCode::CREATED))
    }

    /// Creates or replaces an object that must have this revision, 0 if it must not exist.
    pub(crate) async fn put<T: Stored>(
        &self,
        metadata: &Metadata,
        spec: &T::Spec,
        revision: Revision,
        author: Option<&str>,
    ) -> Result<T> {
        let path = object_path::<T>(&metadata.name);
        let mut call = ApiCall {
            body: encode(&Body { metadata, spec })?,
            ..ApiCall::write("write object", Method::PUT, path).keyed("if-match", revision)
        };
        call.headers.extend(author.map(|author| ("author", author.to_owned())));
        match self.send(&call).await {
            Ok(reply) => reply.parse(&call),
            // An earlier attempt of this request may be what the revision conflicts with.
            Err(error) if error.kind == ErrorKind::Conflict && error.ran == Ran::Unknown => {
                match self.get::<T>(&metadata.name).await {
                    Ok(found) if found.has_spec(spec) => Ok(found),
                    _ => Err(error),
                }
            }
            Err(error) => Err(error),
        }
    }

    /// Deletes an object that must have this revision.
    pub(crate) async fn delete<T: Stored>(&self, name: &str, revision: Revision) -> Result<()> {
        let call = ApiCall::write("delete object", Method::DELETE, object_path::<T>(name)).keyed("if-match", revision);
        match self.send(&call).await {
            Ok(_) => Ok(()),
            // Gone after an attempt that may have taken effect: it did, or another's did.
            Err(error) if error.kind == ErrorKind::NotFound && error.ran == Ran::Unknown => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Cancels a job. Without a revision it is not repeated if it may have taken effect.
    pub(crate) async fn cancel(&self, job: &JobPath, revision: Option<u64>) -> Result<Job> {
        let call = ApiCall::write("cancel job", Method::DELETE, job_path(job));
        let call = match revision {
            Some(revision) => call.keyed("if-match", revision),
            None => call,
        };
        self.send(&call).await?.parse(&call)
    }

    /// Explains why a job waits.
    pub(crate) async fn explain(&self, job: &JobPath) -> Result<Explanation> {
        let call = ApiCall::read("explain job", format!("{}/explain", job_path(job)));
        self.send(&call).await?.parse(&call)
    }

    /// Drains a worker or ends its drain.
    pub(crate) async fn drain(&self, worker: &str, drain: bool) -> Result<Option<Worker>> {
        let (step, verb) = if drain {
            ("drain worker", "drain")
        } else {
            ("undrain worker", "undrain")
        };
        let path = format!("{}/{verb}", object_path::<Worker>(worker));
        let call = ApiCall::write(step, Method::POST, path);
        let reply = self.send(&call).await?;
        if reply.status == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        reply.parse(&call).map(Some)
    }

    /// Past configurations, newest first.
    pub(crate) async fn history(&self) -> Result<Listing<Configuration>> {
        let call = ApiCall::read("list configurations", format!("{}/history", Configuration::PATH));
        self.send(&call).await?.parse(&call)
    }
}

fn encode<T: Serialize>(body: &T) -> Result<Bytes> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| Error::new(ErrorKind::Internal, "encode request", error))
}

/// The two parts of a job's name.
pub(crate) fn to_job(name: &str) -> Result<JobPath> {
    name.parse()
        .map_err(|error: anyhow::Error| Error::new(ErrorKind::Invalid, "read arguments", error))
}
