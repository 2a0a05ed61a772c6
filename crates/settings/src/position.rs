//! Line and column of each field of a YAML file.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Location, Spanned};

/// Line and column of each key, by field path such as `limits.body` or `steer[0].name`.
#[derive(Clone, Debug, Default)]
pub struct Positions {
    keys: BTreeMap<String, Location>,
}

impl Positions {
    /// Returns the positions of all keys; empty if the text is not YAML.
    pub fn of(text: &str) -> Self {
        let node: Node = serde_saphyr::from_str(text).unwrap_or_default();
        let mut positions = Self::default();
        positions.add("", node);
        positions
    }

    /// Returns the position of a field, or of the nearest enclosing field that has a key; `None` if
    /// neither exists.
    pub fn find(&self, path: &str) -> Option<Location> {
        let mut path = path;
        loop {
            if let Some(location) = self.keys.get(path) {
                return Some(*location);
            }
            let end = path.rfind(['.', '['])?;
            path = &path[..end];
        }
    }

    /// Adds the positions of all keys below `node`, which is at `path`.
    fn add(&mut self, path: &str, node: Node) {
        for field in node.fields {
            let path = match path {
                "" => field.key,
                _ => format!("{path}.{}", field.key),
            };
            self.keys.insert(path.clone(), field.location);
            self.add(&path, field.value);
        }
        for (index, item) in node.items.into_iter().enumerate() {
            self.add(&format!("{path}[{index}]"), item);
        }
    }
}

/// YAML value reduced to its keys; a scalar has neither fields nor items.
#[derive(Default)]
struct Node {
    fields: Vec<Field>,
    items: Vec<Node>,
}

/// Key of a mapping, with its location and value.
struct Field {
    key: String,
    location: Location,
    value: Node,
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        de.deserialize_any(NodeVisitor)
    }
}

/// Builds a [`Node`] from any YAML value.
struct NodeVisitor;

/// Defines visitor methods that read a scalar of the given type as an empty node.
macro_rules! scalars {
    ($($method:ident: $type:ty,)+) => {
        $(fn $method<E>(self, _: $type) -> Result<Node, E> {
            Ok(Node::default())
        })+
    };
}

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    scalars! {
        visit_bool: bool,
        visit_i64: i64,
        visit_i128: i128,
        visit_u64: u64,
        visit_u128: u128,
        visit_f64: f64,
        visit_str: &str,
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::default())
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::default())
    }

    fn visit_some<D: Deserializer<'de>>(self, de: D) -> Result<Node, D::Error> {
        Node::deserialize(de)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut node = Node::default();
        while let Some(item) = seq.next_element()? {
            node.items.push(item);
        }
        Ok(node)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut node = Node::default();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            let location = key.referenced;
            let key = key.value;
            let value = map.next_value()?;
            node.fields.push(Field {
                key,
                location,
                value,
            });
        }
        Ok(node)
    }
}
