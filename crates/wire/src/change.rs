//! Configuration versions as they are stored and handed out.

use agate_model::finding::Report;
use agate_model::id::Version;
use agate_model::resource;
use agate_model::snapshot;
use serde::{Deserialize, Serialize};

use crate::manifest::Manifest;

/// Change of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Edit {
    /// Created or replaced.
    Put {
        /// New contents.
        manifest: Manifest,
    },
    /// Deleted.
    Delete {
        /// Kind.
        kind: String,
        /// Name.
        id: String,
    },
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version created.
    pub version: Version,
    /// Resources changed together.
    pub edits: Vec<Edit>,
}

/// A declared resource and the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Base of conditional updates.
    pub version: Version,
    /// Contents.
    pub manifest: Manifest,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the last change included.
    pub version: Version,
    /// All resources.
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
    fn from(it: resource::Resource) -> Self {
        Self {
            version: it.version,
            manifest: it.spec.into(),
        }
    }
}

impl TryFrom<Resource> for resource::Resource {
    type Error = Report;

    fn try_from(it: Resource) -> Result<Self, Report> {
        Ok(Self {
            version: it.version,
            spec: it.manifest.try_into()?,
        })
    }
}

impl From<&snapshot::Snapshot> for Snapshot {
    fn from(it: &snapshot::Snapshot) -> Self {
        Self {
            version: it.version(),
            resources: it.resources().cloned().map(Resource::from).collect(),
        }
    }
}

impl TryFrom<Snapshot> for snapshot::Snapshot {
    type Error = Report;

    fn try_from(it: Snapshot) -> Result<Self, Report> {
        let mut report = Report::default();
        let mut resources = Vec::with_capacity(it.resources.len());
        for resource in it.resources {
            match resource.try_into() {
                Ok(resource) => resources.push(resource),
                Err(faults) => report.merge(faults),
            }
        }
        report.into_result(snapshot::Snapshot::new(it.version, resources))
    }
}
