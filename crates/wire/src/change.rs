//! Serialised forms of resources, changes and snapshots of the configuration, as they are stored
//! and sent to other processes.

use agate_model::finding::Report;
use agate_model::id::Version;
use agate_model::resource;
use agate_model::snapshot;
use serde::{Deserialize, Serialize};

use crate::manifest::Manifest;

/// Creation, replacement or deletion of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Edit {
    /// Creates the resource or replaces its contents.
    Put {
        /// Contents of the resource after the edit.
        manifest: Manifest,
    },
    /// Deletes the resource.
    Delete {
        /// Kind of the resource, in the form that manifests use.
        kind: String,
        /// Name of the resource within its kind.
        id: String,
    },
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Configuration version that the change creates.
    pub version: Version,
    /// Edits that take effect together.
    pub edits: Vec<Edit>,
}

/// A declared resource and the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Version of the last change, which conditional updates refer to.
    pub version: Version,
    /// Contents of the resource.
    pub manifest: Manifest,
}

/// All resources at one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the last change that the snapshot includes.
    pub version: Version,
    /// All resources of this version, ordered by kind and name.
    pub resources: Vec<Resource>,
}

impl From<resource::Edit> for Edit {
    fn from(edit: resource::Edit) -> Self {
        match edit {
            resource::Edit::Put(spec) => Edit::Put {
                manifest: spec.into(),
            },
            resource::Edit::Delete(name) => Edit::Delete {
                kind: name.kind.as_str().to_owned(),
                id: name.id,
            },
        }
    }
}

impl TryFrom<Edit> for resource::Edit {
    type Error = Report;

    fn try_from(edit: Edit) -> Result<Self, Report> {
        match edit {
            Edit::Put { manifest } => manifest.try_into().map(resource::Edit::Put),
            Edit::Delete { kind, id } => match resource::Kind::parse(&kind) {
                Some(kind) => Ok(resource::Edit::Delete(resource::Name { kind, id })),
                None => {
                    let mut report = Report::default();
                    report.push(format!("{kind}/{id}"), "unknown kind");
                    Err(report)
                }
            },
        }
    }
}

impl From<resource::Change> for Change {
    fn from(change: resource::Change) -> Self {
        Self {
            version: change.version,
            edits: change.edits.into_iter().map(Edit::from).collect(),
        }
    }
}

impl TryFrom<Change> for resource::Change {
    type Error = Report;

    fn try_from(change: Change) -> Result<Self, Report> {
        let mut report = Report::default();
        let mut edits = Vec::with_capacity(change.edits.len());
        for edit in change.edits {
            match edit.try_into() {
                Ok(edit) => edits.push(edit),
                Err(faults) => report.merge(faults),
            }
        }
        report.into_result(resource::Change {
            version: change.version,
            edits,
        })
    }
}

impl From<resource::Resource> for Resource {
    fn from(resource: resource::Resource) -> Self {
        Self {
            version: resource.version,
            manifest: resource.spec.into(),
        }
    }
}

impl TryFrom<Resource> for resource::Resource {
    type Error = Report;

    fn try_from(resource: Resource) -> Result<Self, Report> {
        Ok(Self {
            version: resource.version,
            spec: resource.manifest.try_into()?,
        })
    }
}

impl From<&snapshot::Snapshot> for Snapshot {
    fn from(snapshot: &snapshot::Snapshot) -> Self {
        Self {
            version: snapshot.version(),
            resources: snapshot.resources().cloned().map(Resource::from).collect(),
        }
    }
}

impl TryFrom<Snapshot> for snapshot::Snapshot {
    type Error = Report;

    fn try_from(snapshot: Snapshot) -> Result<Self, Report> {
        let mut report = Report::default();
        let mut resources = Vec::with_capacity(snapshot.resources.len());
        for resource in snapshot.resources {
            match resource.try_into() {
                Ok(resource) => resources.push(resource),
                Err(faults) => report.merge(faults),
            }
        }
        report.into_result(snapshot::Snapshot::new(snapshot.version, resources))
    }
}
