//! `agatectl describe`: prints one resource and what refers to it.

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
    /// Prints the resource as YAML, with its version and the resources that refer to it as
    /// comments.
    pub async fn run(self) -> Result<(), Error> {
        let name = manifest::parse_name(&self.what).map_err(Error::Response)?;
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

/// Returns whether a manifest refers to the resource with this name.
fn refers(manifest: &Manifest, name: &Name) -> bool {
    let id = &name.id;
    match (manifest, name.kind) {
        (Manifest::Account(account), Kind::Class) => account.classes.contains(id),
        (Manifest::Key(key), Kind::Account) => key.account == *id,
        (Manifest::Endpoint(endpoint), Kind::Pool) => endpoint.pool == *id,
        (Manifest::Route(route), Kind::Class) => route.class == *id,
        (Manifest::Route(route), Kind::Pool) => route.pools.contains(id),
        _ => false,
    }
}
