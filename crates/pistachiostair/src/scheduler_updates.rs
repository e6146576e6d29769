//! What the scheduler is told about accounts, guarantees, the configuration and the platform's list.

use std::collections::BTreeMap;

use crate::config::{Catalog, Config};
use crate::ids::{Revision, WorkerName};
use crate::members::Members;
use crate::resource::MemberState;
use crate::rules_watch::RulesWatch;
use crate::scheduler::Event;
use crate::scheduler_actor::SchedulerActor;
use crate::steps::StepsEvent;

/// What the scheduler was last told about accounts, guarantees, policy and the platform's list.
#[derive(Default)]
pub(crate) struct Forwarded {
    pub(crate) catalog: Catalog,
    pub(crate) policy: Option<Revision>,
    pub(crate) rules: Option<Revision>,
    pub(crate) listed: Option<BTreeMap<WorkerName, MemberState>>,
}

impl SchedulerActor {
    /// Tells the scheduler what changed in the catalog, the policy and the platform's list.
    pub(crate) fn refresh(&mut self) {
        if self.shared.lock().expect("leader lock").term.is_none() {
            return;
        }
        if let Ok(config) = self.kernel.find::<Config>() {
            self.refresh_catalog(&config);
        }
        if let Ok(watch) = self.kernel.find::<RulesWatch>() {
            self.refresh_rules(&watch);
        }
        if let Ok(members) = self.kernel.find::<Members>() {
            self.refresh_list(&members);
        }
    }

    fn refresh_rules(&mut self, watch: &RulesWatch) {
        let Some(rules) = watch.rules().filter(|rules| Some(rules.version) != self.known.rules) else {
            return;
        };
        self.known.rules = Some(rules.version);
        self.event(Event::Steps(StepsEvent::Rules(rules.as_ref().clone())));
    }

    fn refresh_catalog(&mut self, config: &Config) {
        if self.known.policy != Some(config.revision()) {
            let (revision, policy) = config.policy();
            self.known.policy = Some(revision);
            self.event(Event::Policy(policy));
        }
        let Some(catalog) = config.catalog_if_newer(self.known.catalog.revision) else {
            return;
        };
        let old = std::mem::replace(&mut self.known.catalog, catalog.clone());
        for (name, account) in &catalog.accounts {
            if old.accounts.get(name) != Some(account) {
                self.event(Event::Account(name.clone(), Some(account.spec.clone())));
            }
        }
        for name in old.accounts.keys().filter(|name| !catalog.accounts.contains_key(name)) {
            self.event(Event::Account(name.clone(), None));
        }
        for (name, guarantee) in &catalog.guarantees {
            if old.guarantees.get(name) != Some(guarantee) {
                self.event(Event::Guarantee(name.clone(), Some(guarantee.clone())));
            }
        }
        for name in old
            .guarantees
            .keys()
            .filter(|name| !catalog.guarantees.contains_key(name))
        {
            self.event(Event::Guarantee(name.clone(), None));
        }
    }

    fn refresh_list(&mut self, members: &Members) {
        let Some(workers) = members.listed_workers() else {
            return;
        };
        let listed: BTreeMap<WorkerName, MemberState> =
            workers.into_iter().map(|(name, vm)| (name, vm.state)).collect();
        if self.known.listed.as_ref() != Some(&listed) {
            self.known.listed = Some(listed.clone());
            self.event(Event::WorkerList(listed));
        }
    }
}
