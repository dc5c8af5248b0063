//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use jacinthlever_types::RowKey;
use smol_str::SmolStr;

/// Everything said on the command line.
pub struct Options {
    /// Address of an instance's operators' API.
    pub operator: String,
    /// The operators' credential.
    pub credential: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// What to do.
pub enum Command {
    /// Check declarations without any instance.
    Check(PathBuf),
    /// Show what applying declarations would change.
    Plan(PathBuf),
    /// Apply declarations and wait until they are in force.
    Apply {
        /// Folder of declarations.
        folder: PathBuf,
        /// Longest wait, in seconds.
        wait: u64,
    },
    /// Work on single rows.
    Rows(Rows),
    /// Work on keys.
    Keys(Keys),
    /// Show the fleet as one instance sees it.
    Status,
    /// Ask which instances a caller should use.
    Where {
        /// Address for callers.
        address: String,
        /// The caller's key.
        key: Option<String>,
    },
    /// Let the instance hand over and end.
    Drain,
}

/// Work on single rows.
pub enum Rows {
    /// Lists rows, of one kind or of all.
    List(Option<String>),
    /// Changes fields of a row, or makes it.
    Set {
        /// The row.
        row: RowKey,
        /// `FIELD=JSON` for each field.
        fields: Vec<String>,
        /// Version that the row must have.
        version: Option<u64>,
    },
    /// Deletes a row.
    Delete {
        /// The row.
        row: RowKey,
        /// Version that the row must have.
        version: Option<u64>,
    },
}

/// Work on keys.
pub enum Keys {
    /// Lists granted keys by their hashes.
    List,
    /// Makes a key for a customer and prints it once.
    Grant {
        /// The customer.
        customer: SmolStr,
        /// A label for operators.
        label: SmolStr,
    },
    /// Withdraws a key.
    Withdraw {
        /// The key's hash, or enough of its beginning.
        hash: String,
    },
}

/// Parses the command line, or prints help and ends.
pub fn parse() -> Options {
    parser().run()
}

fn parser() -> OptionParser<Options> {
    let operator = long("operator")
        .short('o')
        .env("JACINTHLEVER_OPERATOR")
        .help("Address of any instance's operators' API")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:7400".into())
        .display_fallback();
    // The library prints the value of a variable that it reads itself in the help text.
    let credential = long("credential")
        .help(
            "The operators' credential; better set in JACINTHLEVER_CREDENTIAL, where no one reads it",
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
    .descr("Drives a fleet of jacinthlever instances")
    .footer(
        "Exit codes: 0 done, 1 failed, 2 not in force in time, 3 conflict with another edit, \
             4 declarations or rows do not check",
    )
}

fn folder() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FOLDER").help("Folder of JSON declarations")
}

fn command() -> impl Parser<Command> {
    let check = folder()
        .map(Command::Check)
        .to_options()
        .descr("Check declarations without asking any instance")
        .command("check");
    let plan = folder()
        .map(Command::Plan)
        .to_options()
        .descr("Show what applying declarations would change")
        .command("plan");
    let wait = wait();
    let folder = folder();
    let apply = construct!(Command::Apply { wait, folder })
        .to_options()
        .descr("Apply declarations, and wait until they are in force on all instances")
        .command("apply");
    let rows = rows()
        .map(Command::Rows)
        .to_options()
        .descr("List and edit rows")
        .command("rows");
    let keys = keys()
        .map(Command::Keys)
        .to_options()
        .descr("Grant and withdraw callers' keys")
        .command("keys");
    let status = pure(())
        .map(|()| Command::Status)
        .to_options()
        .descr("Show the fleet as the asked instance sees it")
        .command("status");
    let where_to = where_to();
    let drain = pure(())
        .map(|()| Command::Drain)
        .to_options()
        .descr("Let the asked instance hand over its work and end")
        .command("drain");
    construct!([check, plan, apply, rows, keys, status, where_to, drain])
}

fn wait() -> impl Parser<u64> {
    long("wait")
        .help("Seconds to wait until the edit is in force everywhere")
        .argument::<u64>("SECONDS")
        .fallback(10)
        .display_fallback()
}

fn where_to() -> impl Parser<Command> {
    let key = long("key")
        .env("JACINTHLEVER_KEY")
        .help("The caller's key")
        .argument::<String>("KEY")
        .optional();
    let address = positional::<String>("IP:PORT").help("Address for callers of any instance");
    construct!(Command::Where { key, address })
        .to_options()
        .descr("Ask which instances a caller should use")
        .command("where")
}

fn version() -> impl Parser<Option<u64>> {
    long("version")
        .help("Only if the row still has this version")
        .argument::<u64>("NUMBER")
        .optional()
}

fn row() -> impl Parser<RowKey> {
    positional::<RowKey>("KIND/NAME").help("The row, such as customer/cuenca")
}

fn rows() -> impl Parser<Rows> {
    let kind = positional::<String>("KIND")
        .help("customer, key, route or model")
        .optional();
    let list = kind
        .map(Rows::List)
        .to_options()
        .descr("List rows")
        .command("list");
    let (version_set, row_set) = (version(), row());
    let fields = positional::<String>("FIELD=JSON")
        .help("A field and its new value")
        .some("name at least one field");
    let set = construct!(version_set, row_set, fields)
        .map(|(version, row, fields)| Rows::Set {
            row,
            fields,
            version,
        })
        .to_options()
        .descr("Change fields of a row, or make the row")
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
        .descr("List keys by hash")
        .command("list");
    let customer = positional::<SmolStr>("CUSTOMER").help("Whose requests the key authorises");
    let label = long("label")
        .help("A label for operators")
        .argument::<SmolStr>("TEXT")
        .fallback(SmolStr::default());
    let grant = construct!(Keys::Grant { label, customer })
        .to_options()
        .descr("Make a key and print it; it is kept nowhere, only its hash is")
        .command("grant");
    let hash = positional::<String>("HASH").help("The key's hash, or a beginning only it has");
    let withdraw = construct!(Keys::Withdraw { hash })
        .to_options()
        .descr("Withdraw a key; callers connected with it are cut off")
        .command("withdraw");
    construct!([list, grant, withdraw])
}
