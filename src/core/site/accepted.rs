//! The version in force on one VM.

use std::rc::Rc;

use super::PackedConfig;
use super::PackedError;
use super::SiteConfig;

/// What became of a configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// It is newer and now in force.
    Applied,
    /// It is the one in force, or an older one.
    Stale,
}

/// The newest configuration that this VM has read; it never goes back to an older one.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    site: Option<Rc<SiteConfig>>,
    packed: Option<PackedConfig>,
}

impl ActiveConfig {
    /// Puts a configuration in force if it is newer than the one that is.
    pub fn offer(&mut self, site: SiteConfig) -> OfferResult {
        if self.version() >= Some(site.version) {
            return OfferResult::Stale;
        }
        self.site = Some(Rc::new(site));
        self.packed = None;
        OfferResult::Applied
    }

    /// Puts a configuration in force that another VM handed on, if it is newer.
    ///
    /// # Errors
    ///
    /// Fails if the bytes hold no configuration; nothing changes then.
    pub fn offer_packed(&mut self, packed: PackedConfig) -> Result<OfferResult, PackedError> {
        let offer = self.offer(packed.unpack()?);
        if offer == OfferResult::Applied {
            self.packed = Some(packed);
        }
        Ok(offer)
    }

    /// Returns the configuration in force as it is handed on to other VMs, `None` if there is none. It
    /// is packed once a version.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be packed.
    pub fn packed(&mut self) -> Result<Option<PackedConfig>, PackedError> {
        if self.packed.is_none()
            && let Some(site) = &self.site
        {
            self.packed = Some(PackedConfig::new(site)?);
        }
        Ok(self.packed.clone())
    }

    /// Returns the configuration in force; `None` until the first was read.
    pub fn site(&self) -> Option<Rc<SiteConfig>> {
        self.site.clone()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<u64> {
        self.site.as_ref().map(|site| site.version)
    }
}
