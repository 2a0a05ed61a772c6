//! `agatectl describe`.

use agate_model::resource::{Kind, Name};
use agate_wire::change::Resource;
use agate_wire::manifest::Manifest;
use bpaf::Bpaf;

use crate::cmd::manifest;
use crate::config::{Connection, connection, print};
use crate::error::Error;

/// Print one resource, its version and what refers to it
///
///
/// Example: `agatectl describe pool/prism-8b`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("describe"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    /// The resource
    #[bpaf(positional("KIND/ID"))]
    what: String,
}

impl Args {
    /// Runs the command.
    pub async fn run(self) -> Result<(), Error> {
        let name = manifest::parse_name(&self.what).map_err(Error::Answer)?;
        let client = self.connection.client()?;
        let resource = client.get(name.kind.as_str(), &name.id).await?;
        let listing = client.list(None).await?;
        print(&describe(&name, &resource, &listing.resources)?)
    }
}

fn describe(name: &Name, resource: &Resource, all: &[Resource]) -> Result<String, Error> {
    let mut text = manifest::to_yaml(&resource.manifest)?;
    text.push_str(&format!("# last changed by version {}\n", resource.version));
    for other in all {
        if refers(&other.manifest, name) {
            let other = other.manifest.name();
            text.push_str(&format!("# used by {other}\n"));
        }
    }
    Ok(text)
}

fn refers(manifest: &Manifest, name: &Name) -> bool {
    let id = &name.id;
    match (manifest, name.kind) {
        (Manifest::Account(it), Kind::Class) => it.classes.contains(id),
        (Manifest::Key(it), Kind::Account) => it.account == *id,
        (Manifest::Endpoint(it), Kind::Pool) => it.pool == *id,
        (Manifest::Route(it), Kind::Class) => it.class == *id,
        (Manifest::Route(it), Kind::Pool) => it.pools.contains(id),
        _ => false,
    }
}
