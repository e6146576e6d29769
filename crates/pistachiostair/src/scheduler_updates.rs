//! Forwards changes of accounts, guarantees, policy, step rules, evacuations and the platform's list of workers to the scheduler.

use std::collections::BTreeMap;

use crate::config::{Catalog, Config};
use crate::ids::{Revision, WorkerName};
use crate::members::Members;
use crate::resource::MemberState;
use crate::rules_watch::RulesWatch;
use crate::scheduler::Event;
use crate::scheduler_actor::SchedulerActor;
use crate::steps::{Evacuations, StepsEvent};

/// State last forwarded to the scheduler in this term, to send changes only.
#[derive(Default)]
pub(crate) struct Forwarded {
    /// Accounts and guarantees.
    pub(crate) catalog: Catalog,
    /// Revision of the policy; `None` before the first one.
    pub(crate) policy: Option<Revision>,
    /// Version of the rules for jobs made of steps; `None` before the first ones.
    pub(crate) rules: Option<Revision>,
    /// Requests to evacuate failure domains, with the time that confirmed them; `None` before the first ones.
    pub(crate) evacuations: Option<Evacuations>,
    /// Workers in the platform's list; `None` before the first read.
    pub(crate) listed: Option<BTreeMap<WorkerName, MemberState>>,
}

impl SchedulerActor {
    /// Feeds the scheduler with what changed since the last call. Does nothing while this daemon is not the scheduler.
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
        self.refresh_evacuations();
        if let Ok(members) = self.kernel.find::<Members>() {
            self.refresh_listed(&members);
        }
    }

    fn refresh_rules(&mut self, watch: &RulesWatch) {
        let Some(rules) = watch
            .rules()
            .filter(|rules| Some(rules.version) != self.forwarded.rules)
        else {
            return;
        };
        self.forwarded.rules = Some(rules.version);
        self.handle_event(Event::Steps(StepsEvent::Rules(rules.as_ref().clone())));
    }

    /// Feeds the scheduler with the requests to evacuate failure domains if they were confirmed since the last call. Does
    /// nothing while this daemon is not the scheduler.
    pub(crate) fn refresh_evacuations(&mut self) {
        if self.shared.lock().expect("leader lock").term.is_none() {
            return;
        }
        let Ok(watch) = self.kernel.find::<RulesWatch>() else {
            return;
        };
        let known = watch.evacuations();
        if known != self.forwarded.evacuations
            && let Some(known) = known
        {
            self.forwarded.evacuations = Some(known.clone());
            self.handle_event(Event::Steps(StepsEvent::Evacuations(known)));
        }
    }

    fn refresh_catalog(&mut self, config: &Config) {
        if self.forwarded.policy != Some(config.revision()) {
            let (revision, policy) = config.policy();
            self.forwarded.policy = Some(revision);
            self.handle_event(Event::Policy(policy));
        }
        let Some(catalog) = config.catalog_if_newer(self.forwarded.catalog.revision) else {
            return;
        };
        let old = std::mem::replace(&mut self.forwarded.catalog, catalog.clone());
        for (name, account) in &catalog.accounts {
            if old.accounts.get(name) != Some(account) {
                self.handle_event(Event::Account(name.clone(), Some(account.spec.clone())));
            }
        }
        for name in old.accounts.keys().filter(|name| !catalog.accounts.contains_key(name)) {
            self.handle_event(Event::Account(name.clone(), None));
        }
        for (name, guarantee) in &catalog.guarantees {
            if old.guarantees.get(name) != Some(guarantee) {
                self.handle_event(Event::Guarantee(name.clone(), Some(guarantee.clone())));
            }
        }
        for name in old
            .guarantees
            .keys()
            .filter(|name| !catalog.guarantees.contains_key(name))
        {
            self.handle_event(Event::Guarantee(name.clone(), None));
        }
    }

    fn refresh_listed(&mut self, members: &Members) {
        let Some(workers) = members.listed_workers() else {
            return;
        };
        let listed: BTreeMap<WorkerName, MemberState> =
            workers.into_iter().map(|(name, vm)| (name, vm.state)).collect();
        if self.forwarded.listed.as_ref() != Some(&listed) {
            self.forwarded.listed = Some(listed.clone());
            self.handle_event(Event::WorkerList(listed));
        }
    }
}
