//! The configuration in force on a VM.

use std::rc::Rc;

use super::PackedConfig;
use super::SiteConfig;
use crate::core::packed::PackedError;

/// Whether an offered configuration was put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The configuration is newer and now in force.
    Applied,
    /// The configuration has the version in force or an older one, and was ignored.
    Stale,
}

/// The newest configuration that this VM has read; an older one never replaces it.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    site: Option<Rc<SiteConfig>>,
    packed: Option<PackedConfig>,
}

impl ActiveConfig {
    /// Puts a configuration in force if it is newer than the present one.
    pub fn offer(&mut self, site: SiteConfig) -> OfferResult {
        if self.version() >= Some(site.version) {
            return OfferResult::Stale;
        }
        self.site = Some(Rc::new(site));
        self.packed = None;
        OfferResult::Applied
    }

    /// Puts a packed configuration from another VM in force if it is newer.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid configuration; nothing changes then.
    pub fn offer_packed(&mut self, packed: PackedConfig) -> Result<OfferResult, PackedError> {
        let offer = self.offer(packed.unpack()?);
        if offer == OfferResult::Applied {
            self.packed = Some(packed);
        }
        Ok(offer)
    }

    /// Returns the configuration in force in the form sent to other VMs; `None` if there is none.
    /// It is packed once per version.
    ///
    /// # Errors
    ///
    /// Fails if the configuration cannot be serialized or compressed.
    pub fn packed(&mut self) -> Result<Option<PackedConfig>, PackedError> {
        if self.packed.is_none()
            && let Some(site) = &self.site
        {
            self.packed = Some(PackedConfig::new(site)?);
        }
        Ok(self.packed.clone())
    }

    /// Returns the configuration in force; `None` before the first one was read.
    pub fn site(&self) -> Option<Rc<SiteConfig>> {
        self.site.clone()
    }

    /// Returns the version in force; `None` before the first configuration was read.
    pub fn version(&self) -> Option<u64> {
        self.site.as_ref().map(|site| site.version)
    }
}
