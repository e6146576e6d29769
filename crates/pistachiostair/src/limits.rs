//! Admission.

use crate::clock::Millis;
use crate::ids::AccountName;
use crate::resource::{AccountSpec, Limits};

/// Admission of submissions.
#[derive(Debug, Default)]
pub struct Admission;
/// A place.
#[derive(Debug)]
pub struct Permit;
/// A refusal.
#[derive(Debug)]
pub struct Refusal {
    /// Reason.
    pub reason: String,
    /// When to try again.
    pub retry: Millis,
}
impl Admission {
    /// To be replaced.
    pub fn set_limits(&mut self, _limits: &Limits) {}
    /// To be replaced.
    pub fn set_account(&mut self, _account: &AccountName, _spec: &AccountSpec) {}
    /// To be replaced.
    pub fn admit(&mut self, _now: Millis, _account: &AccountName, _cost: u32) -> Result<Permit, Refusal> {
        Ok(Permit)
    }
    /// To be replaced.
    pub fn release(&mut self, _permit: Permit) {}
}
