//! `agatectl get`: lists resources or prints one.

use agate_model::resource::Kind;
use agate_wire::change::Resource;
use bpaf::Bpaf;

use crate::cmd::manifest;
use crate::config::{Connection, Format, connection, format, print, print_json};
use crate::error::Error;
use crate::render::Table;

/// List resources, or print one as YAML
///
///
/// Examples: `agatectl get`,
/// `agatectl get classes`,
/// `agatectl get class/chat`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("get"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external(format))]
    output: Format,
    /// A kind, or kind/id
    #[bpaf(positional("WHAT"), optional)]
    what: Option<String>,
}

impl Args {
    /// Prints the named resource, or a list of all resources or of those of one kind.
    pub async fn run(self) -> Result<(), Error> {
        match self.what.as_deref() {
            Some(name) if name.contains('/') => self.print_resource(name).await,
            kind => self.print_list(kind).await,
        }
    }

    async fn print_resource(&self, name: &str) -> Result<(), Error> {
        let name = manifest::parse_name(name).map_err(Error::Response)?;
        let client = self.connection.client()?;
        let resource = client.get(name.kind.as_str(), &name.id).await?;
        match self.output {
            Format::Json => print_json(&resource),
            Format::Table => print(&manifest::to_yaml(&resource.manifest)?),
        }
    }

    async fn print_list(&self, kind: Option<&str>) -> Result<(), Error> {
        let kind = kind
            .map(manifest::parse_kind)
            .transpose()
            .map_err(Error::Response)?;
        let client = self.connection.client()?;
        let listing = client.list(kind.map(Kind::as_str)).await?;
        match self.output {
            Format::Json => print_json(&listing),
            Format::Table => print(&table(&listing.resources).to_text()),
        }
    }
}

fn table(resources: &[Resource]) -> Table {
    let mut table = Table::new(&["kind", "id", "version"]);
    for resource in resources {
        let name = resource.manifest.name();
        let kind = name.kind.as_str().to_owned();
        table.push([kind, name.id, resource.version.to_string()]);
    }
    table
}
