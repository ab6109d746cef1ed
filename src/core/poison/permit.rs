//! The permits that a home VM has granted, at most one at a time for each suspect.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::core::poison::digest::RequestDigest;
use crate::core::session::RequestId;
use crate::names::Vm;

/// How long a permit is valid unless it is returned earlier.
pub const PERMIT_TTL: Millis = Millis::seconds(120);

/// The permits granted by one home VM, by suspect.
#[derive(Debug, Default)]
pub struct Permits {
    held: BTreeMap<RequestDigest, Permit>,
}

#[derive(Debug)]
struct Permit {
    vm: Vm,
    id: RequestId,
    until: Millis,
}

impl Permits {
    /// Grants a permit and returns when it expires; a request that already holds the permit gets
    /// the same one again.
    ///
    /// # Errors
    ///
    /// If another request holds the permit, returns when that permit expires. This includes other
    /// requests of the same VM, since they are further copies of the suspect.
    pub fn grant(
        &mut self,
        now: Millis,
        digest: RequestDigest,
        vm: Vm,
        id: RequestId,
    ) -> Result<Millis, Millis> {
        let held = self.held.get(&digest).filter(|permit| now < permit.until);
        match held {
            Some(permit) if permit.vm == vm && permit.id == id => Ok(permit.until),
            Some(permit) => Err(permit.until),
            None => {
                let until = now + PERMIT_TTL;
                self.held.insert(digest, Permit { vm, id, until });
                Ok(until)
            }
        }
    }

    /// Removes a suspect's permit if `vm` holds it.
    pub fn take_back(&mut self, digest: &RequestDigest, vm: &Vm) {
        let is_holder = |permit: &Permit| permit.vm == *vm;
        if self.held.get(digest).is_some_and(is_holder) {
            self.held.remove(digest);
        }
    }

    /// Removes the permits that have expired.
    pub fn expire(&mut self, now: Millis) {
        self.held.retain(|_, permit| now < permit.until);
    }
}
