//! The canonical encoding: compact JSON with a fixed order of fields and keys.
//!
//! Digests are computed from it, so equal values have equal digests on all VMs.

use serde::Serialize;

/// Returns the canonical encoding of a value.
///
/// The types of the configuration always serialize, because the keys of their maps are strings or
/// the map is serialized by [`pairs`].
pub(super) fn canonical<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    serde_json::to_vec(value).expect("plain data with string keys serializes")
}

/// Serializes a map with structured keys as a sequence of pairs, because JSON keys are strings.
pub(super) mod pairs {
    use std::collections::BTreeMap;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    pub(in crate::core::config) fn serialize<K, V, S>(
        map: &BTreeMap<K, V>,
        to: S,
    ) -> Result<S::Ok, S::Error>
    where
        K: Serialize,
        V: Serialize,
        S: Serializer,
    {
        to.collect_seq(map)
    }

    pub(in crate::core::config) fn deserialize<'de, K, V, D>(
        from: D,
    ) -> Result<BTreeMap<K, V>, D::Error>
    where
        K: Deserialize<'de> + Ord,
        V: Deserialize<'de>,
        D: Deserializer<'de>,
    {
        Ok(Vec::<(K, V)>::deserialize(from)?.into_iter().collect())
    }
}
