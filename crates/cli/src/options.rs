//! Command-line arguments.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use jacinthlever_types::RowKey;
use smol_str::SmolStr;

/// The parsed command line.
pub struct Options {
    /// Address of the operators' API of an instance, as `IP:PORT`.
    pub operator: String,
    /// The operators' credential. `None` if neither the flag nor the environment variable is set.
    pub credential: Option<String>,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// The command to run.
    pub command: Command,
}

/// A command with its arguments.
pub enum Command {
    /// Checks declarations without contacting an instance.
    Check(PathBuf),
    /// Shows what applying declarations would change.
    Plan(PathBuf),
    /// Applies declarations and waits until they are in force.
    Apply {
        /// Folder of declarations.
        folder: PathBuf,
        /// Maximum time to wait until the edit is in force, in seconds.
        wait_seconds: u64,
    },
    /// Lists or edits single rows.
    Rows(Rows),
    /// Lists, grants or revokes callers' keys.
    Keys(Keys),
    /// Shows the state of the fleet as reported by one instance.
    Status,
    /// Shows which instances a caller should use.
    Where {
        /// Address for callers of any instance, as `IP:PORT`.
        address: String,
        /// The caller's key. `None` sends the request without a key.
        key: Option<String>,
    },
    /// Drains the instance: it hands over its work and exits.
    Drain,
}

/// Commands on single rows.
pub enum Rows {
    /// Lists rows of one kind, or all rows.
    List(Option<String>),
    /// Sets fields of a row; creates the row if it does not exist.
    Set {
        /// The row.
        row: RowKey,
        /// One `FIELD=JSON` argument for each field.
        fields: Vec<String>,
        /// Version that the row must have. `None` for the version that was read.
        version: Option<u64>,
    },
    /// Deletes a row.
    Delete {
        /// The row.
        row: RowKey,
        /// Version that the row must have. `None` for any.
        version: Option<u64>,
    },
}

/// Commands on callers' keys.
pub enum Keys {
    /// Lists granted keys by their hashes.
    List,
    /// Generates a key for a customer and prints it. The key cannot be printed again.
    Grant {
        /// The customer whose requests the key authorises.
        customer: SmolStr,
        /// A label for operators.
        label: SmolStr,
    },
    /// Revokes a key.
    Revoke {
        /// The key's hash, or a prefix that identifies it.
        hash: String,
    },
}

/// Parses the command line. Exits the process if help was requested or the arguments are invalid.
pub fn parse() -> Options {
    parser().run()
}

fn parser() -> OptionParser<Options> {
    let operator = long("operator")
        .short('o')
        .env("JACINTHLEVER_OPERATOR")
        .help("Address of the operators' API of any instance")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:7400".into())
        .display_fallback();
    // bpaf prints the current value of a variable given by `env` in the help text, so that the help
    // would show the credential. The variable is read here instead.
    let credential = long("credential")
        .help(
            "The operators' credential; prefer JACINTHLEVER_CREDENTIAL, which other users cannot read",
        )
        .argument::<String>("TEXT")
        .optional()
        .map(|given| given.or_else(|| std::env::var("JACINTHLEVER_CREDENTIAL").ok()));
    let json = long("json").help("Print JSON instead of text").switch();
    let command = command();
    construct!(Options {
        operator,
        credential,
        json,
        command
    })
    .to_options()
    .descr("Operates a fleet of jacinthlever instances")
    .footer(
        "Exit codes: 0 success, 1 failure, 2 edit accepted but not in force in time, \
             3 conflict with another edit, 4 invalid declarations or rows",
    )
}

fn folder() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FOLDER").help("Folder of JSON declarations")
}

fn command() -> impl Parser<Command> {
    let check = folder()
        .map(Command::Check)
        .to_options()
        .descr("Check declarations without contacting an instance")
        .command("check");
    let plan = folder()
        .map(Command::Plan)
        .to_options()
        .descr("Show what applying declarations would change")
        .command("plan");
    let wait_seconds = wait_seconds();
    let folder = folder();
    let apply = construct!(Command::Apply {
        wait_seconds,
        folder
    })
    .to_options()
    .descr("Apply declarations and wait until they are in force on all active instances")
    .command("apply");
    let rows = rows()
        .map(Command::Rows)
        .to_options()
        .descr("List and edit rows")
        .command("rows");
    let keys = keys()
        .map(Command::Keys)
        .to_options()
        .descr("List, grant and revoke callers' keys")
        .command("keys");
    let status = pure(())
        .map(|()| Command::Status)
        .to_options()
        .descr("Show the state of the fleet as reported by the instance")
        .command("status");
    let where_command = where_command();
    let drain = pure(())
        .map(|()| Command::Drain)
        .to_options()
        .descr("Drain the instance: it hands over its work and exits")
        .command("drain");
    construct!([check, plan, apply, rows, keys, status, where_command, drain])
}

fn wait_seconds() -> impl Parser<u64> {
    long("wait")
        .help("Seconds to wait until the edit is in force on all active instances")
        .argument::<u64>("SECONDS")
        .fallback(10)
        .display_fallback()
}

fn where_command() -> impl Parser<Command> {
    let key = long("key")
        .env("JACINTHLEVER_KEY")
        .help("The caller's key")
        .argument::<String>("KEY")
        .optional();
    let address = positional::<String>("IP:PORT").help("Address for callers of any instance");
    construct!(Command::Where { key, address })
        .to_options()
        .descr("Show which instances a caller should use")
        .command("where")
}

fn version() -> impl Parser<Option<u64>> {
    long("version")
        .help("Edit the row only if it still has this version")
        .argument::<u64>("NUMBER")
        .optional()
}

fn row() -> impl Parser<RowKey> {
    positional::<RowKey>("KIND/NAME").help("The row, for example customer/cuenca")
}

fn rows() -> impl Parser<Rows> {
    let kind = positional::<String>("KIND")
        .help("Kind of the rows: customer, key, route or model")
        .optional();
    let list = kind
        .map(Rows::List)
        .to_options()
        .descr("List rows")
        .command("list");
    let (version_set, row_set) = (version(), row());
    let fields = positional::<String>("FIELD=JSON")
        .help("A field and its new value; a value that is not JSON is a string")
        .some("expected at least one FIELD=JSON argument");
    let set = construct!(version_set, row_set, fields)
        .map(|(version, row, fields)| Rows::Set {
            row,
            fields,
            version,
        })
        .to_options()
        .descr("Set fields of a row, creating it if needed")
        .command("set");
    let (version, row) = (version(), row());
    let delete = construct!(Rows::Delete { version, row })
        .to_options()
        .descr("Delete a row")
        .command("delete");
    construct!([list, set, delete])
}

fn keys() -> impl Parser<Keys> {
    let list = pure(())
        .map(|()| Keys::List)
        .to_options()
        .descr("List the hashes of granted keys")
        .command("list");
    let customer =
        positional::<SmolStr>("CUSTOMER").help("Customer whose requests the key authorises");
    let label = long("label")
        .help("A label for operators")
        .argument::<SmolStr>("TEXT")
        .fallback(SmolStr::default());
    let grant = construct!(Keys::Grant { label, customer })
        .to_options()
        .descr("Generate a key and print it; only its hash is stored")
        .command("grant");
    let hash = positional::<String>("HASH").help("The key's hash, or a unique prefix of it");
    let revoke = construct!(Keys::Revoke { hash })
        .to_options()
        .descr("Revoke a key; running requests that use it are ended")
        .command("withdraw");
    construct!([list, grant, revoke])
}
