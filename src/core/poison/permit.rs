//! The permits that a home VM has granted, one at a time for each suspect.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::core::poison::digest::RequestDigest;
use crate::core::session::RequestId;
use crate::names::Vm;

/// How long a permit lasts unless it is returned.
pub const PERMIT_TTL: Millis = Millis::seconds(120);

/// The permits of one home.
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
    /// Grants a permit and returns its end; a request that has it already gets the same again.
    ///
    /// # Errors
    ///
    /// Returns the time when the permit that is out ends. Another request of the VM that has it
    /// is refused as well, since it is a second copy.
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

    /// Takes a permit back from the VM that has it.
    pub fn take_back(&mut self, digest: &RequestDigest, vm: &Vm) {
        let is_holder = |permit: &Permit| permit.vm == *vm;
        if self.held.get(digest).is_some_and(is_holder) {
            self.held.remove(digest);
        }
    }

    /// Forgets the permits that have ended.
    pub fn expire(&mut self, now: Millis) {
        self.held.retain(|_, permit| now < permit.until);
    }
}
