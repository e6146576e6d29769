//! Client accounts and guarantees of the resource interface.

use hyper::StatusCode;

use crate::api::{
    Api, Document, if_match, json_reply, list_reply, no_content, not_found, parse_body, refuse_findings, unexpected,
};
use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Result};
use crate::http_server::{HttpReply, HttpRequest};
use crate::ids::{AccountName, Revision};
use crate::message::{Call, Response};
use crate::resource::{Account, AccountSpec, Guarantee, GuaranteeSpec, Metadata};
use crate::validate;

impl Api {
    pub(crate) fn list_accounts(&self) -> Result<HttpReply> {
        let catalog = self.config.catalog();
        let accounts: Vec<_> = catalog.accounts.into_values().collect();
        list_reply(accounts, Revision(catalog.revision))
    }

    pub(crate) async fn get_account(&self, name: &str) -> Result<HttpReply> {
        let account = self.config.find_account(&AccountName::from(name)).await?;
        json_reply(StatusCode::OK, &account.ok_or_else(|| not_found("get account", name))?)
    }

    pub(crate) async fn put_account(&self, name: &str, request: &HttpRequest) -> Result<HttpReply> {
        let step = "put account";
        let document: Document<AccountSpec> = parse_body(step, request)?;
        let metadata = check_metadata(step, name, document.metadata)?;
        refuse_findings(step, validate::check_account(&document.spec))?;
        let account = Account {
            metadata,
            spec: document.spec,
        };
        let account = self.config.put_account(account, if_match(request)?).await?;
        json_reply(StatusCode::OK, &account)
    }

    pub(crate) async fn delete_account(&self, name: &str, request: &HttpRequest) -> Result<HttpReply> {
        self.config
            .delete_account(&AccountName::from(name), if_match(request)?)
            .await?;
        Ok(no_content())
    }

    pub(crate) async fn list_guarantees(&self, request: &HttpRequest, deadline: Millis) -> Result<HttpReply> {
        let guarantees = self.guarantees(request, &Call::Guarantees, deadline).await?;
        list_reply(guarantees, self.config.catalog_revision())
    }

    pub(crate) async fn get_guarantee(&self, name: &str, request: &HttpRequest, deadline: Millis) -> Result<HttpReply> {
        let guarantees = self.guarantees(request, &Call::Guarantees, deadline).await?;
        let found = guarantees.iter().find(|guarantee| guarantee.metadata.name == name);
        json_reply(StatusCode::OK, found.ok_or_else(|| not_found("get guarantee", name))?)
    }

    pub(crate) async fn put_guarantee(&self, name: &str, request: &HttpRequest, deadline: Millis) -> Result<HttpReply> {
        let step = "put guarantee";
        let document: Document<GuaranteeSpec> = parse_body(step, request)?;
        let metadata = check_metadata(step, name, document.metadata)?;
        refuse_findings(step, validate::check_guarantee(&document.spec))?;
        self.account_spec(step, &document.spec.account).await?;
        let revision = if_match(request)?;
        let region = document.spec.region.clone().unwrap_or_else(|| self.region_of(request));
        let guarantee = Guarantee {
            metadata,
            spec: document.spec,
            conditions: Vec::new(),
        };
        let guarantee = Box::new(guarantee);
        let call = Call::PutGuarantee { guarantee, revision };
        let response = self.links.call(&region, &call, deadline).await?;
        match response {
            Response::Guarantees { guarantees } if guarantees.len() == 1 => json_reply(StatusCode::OK, &guarantees[0]),
            _ => Err(unexpected(step)),
        }
    }

    pub(crate) async fn delete_guarantee(
        &self,
        name: String,
        request: &HttpRequest,
        deadline: Millis,
    ) -> Result<HttpReply> {
        let call = Call::DeleteGuarantee {
            name,
            revision: if_match(request)?,
        };
        self.guarantees(request, &call, deadline).await?;
        Ok(no_content())
    }

    async fn guarantees(&self, request: &HttpRequest, call: &Call, deadline: Millis) -> Result<Vec<Guarantee>> {
        match self.call(request, call, deadline).await? {
            Response::Guarantees { guarantees } => Ok(guarantees),
            _ => Err(unexpected("read guarantees")),
        }
    }
}

/// Checks the metadata of a document against the name in the path, which may stand there alone.
fn check_metadata(step: &'static str, name: &str, mut metadata: Metadata) -> Result<Metadata> {
    if !metadata.name.is_empty() && metadata.name != name {
        let reason = format!("metadata.name: {:?} differs from {name:?} in the path", metadata.name);
        return Err(Error::msg(ErrorKind::Invalid, step, reason));
    }
    name.clone_into(&mut metadata.name);
    refuse_findings(step, validate::check_metadata(&metadata))?;
    Ok(metadata)
}
