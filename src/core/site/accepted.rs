//! The version in force on one VM.

use std::rc::Rc;

use super::Site;

/// What became of a configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is newer and now in force.
    Taken,
    /// It is the one in force, or an older one.
    Old,
}

/// The newest configuration that this VM has read; it never goes back to an older one.
#[derive(Clone, Debug, Default)]
pub struct Accepted {
    site: Option<Rc<Site>>,
}

impl Accepted {
    /// Puts a configuration in force if it is newer than the one that is.
    pub fn offer(&mut self, site: Site) -> Offer {
        if self.version() >= Some(site.version) {
            return Offer::Old;
        }
        self.site = Some(Rc::new(site));
        Offer::Taken
    }

    /// Returns the configuration in force; `None` until the first was read.
    pub fn site(&self) -> Option<Rc<Site>> {
        self.site.clone()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<u64> {
        self.site.as_ref().map(|site| site.version)
    }
}
