//! Strict reading of a daemon's settings.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::decode::{Fields, Reader};
use crate::settings::{Balance, Limits, LogFormat, Prefer, Settings, Tls, default_keep_s};

/// Fields of the settings.
const SETTINGS: [&str; 14] = [
    "name",
    "region",
    "domain",
    "http_address",
    "peer_address",
    "platform_address",
    "seeds",
    "tls",
    "prefer",
    "keep_s",
    "limits",
    "log",
    "balance",
    "outbound_ip",
];

/// Fields of the limits.
const LIMITS: [&str; 5] = [
    "connections",
    "header_bytes",
    "body_bytes",
    "header_timeout_ms",
    "body_pause_ms",
];

/// Fields of the keys: each PEM text is inline or in a file.
const TLS: [&str; 6] = [
    "authority_file",
    "authority_pem",
    "certificate_file",
    "certificate_pem",
    "key_file",
    "key_pem",
];

/// Longest time that callers may keep an address response: one hour.
const KEEP_MAX_S: u64 = 3_600;

/// Returns the content of a PEM file.
pub(crate) type ReadFile<'f> = &'f dyn Fn(&Path) -> io::Result<String>;

/// Reads the settings.
pub(crate) fn settings<'a>(
    reader: &Reader<'a>,
    value: &Value<'a>,
    read_file: ReadFile<'_>,
) -> Option<Settings> {
    let fields = reader.fields(value, "the settings", &SETTINGS)?;
    let name = fields.read("name", |v, what| identifier(reader, v, what));
    let region = fields.read("region", |v, what| identifier(reader, v, what));
    let domain = fields.read("domain", |v, what| identifier(reader, v, what));
    let http_address = fields.read("http_address", |v, what| address(reader, v, what));
    let peer_address = fields.read("peer_address", |v, what| address(reader, v, what));
    let platform_address = fields.read("platform_address", |v, what| address(reader, v, what));
    let seeds = fields.read_or("seeds", Vec::new(), |v, what| seeds(reader, v, what));
    let tls = fields.read("tls", |v, what| tls(reader, v, what, read_file));
    let words = [
        ("detection", Prefer::Detection),
        ("stability", Prefer::Stability),
    ];
    let prefer = fields.read_or("prefer", Prefer::default(), |v, what| {
        reader.word(v, what, &words)
    });
    let keep_s = fields.read_or("keep_s", default_keep_s(), |v, what| {
        reader.number(v, what, 1..=KEEP_MAX_S)
    });
    let limits = fields.read_or("limits", Limits::default(), |v, what| {
        limits(reader, v, what)
    });
    let words = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log = fields.read_or("log", LogFormat::default(), |v, what| {
        reader.word(v, what, &words)
    });
    let words = [("owners", Balance::Owners), ("alone", Balance::Alone)];
    let balance = fields.read_or("balance", Balance::default(), |v, what| {
        reader.word(v, what, &words)
    });
    let outbound_ip = fields.read_or("outbound_ip", None, |v, what| {
        parsed(reader, v, what, "an IP address").map(Some)
    });
    same_port(reader, &fields, http_address, peer_address);
    Some(Settings {
        name: name?,
        region: region?,
        domain: domain?,
        http_address: http_address?,
        peer_address: peer_address?,
        platform_address: platform_address?,
        seeds: seeds?,
        tls: tls?,
        prefer: prefer?,
        keep_s: keep_s?,
        limits: limits?,
        log: log?,
        balance: balance?,
        outbound_ip: outbound_ip?,
    })
}

fn same_port(
    reader: &Reader<'_>,
    fields: &Fields<'_, '_>,
    http: Option<SocketAddr>,
    peer: Option<SocketAddr>,
) {
    if http.is_some() && http == peer {
        let offset = fields.optional("peer_address").map_or(0, Ranged::start);
        let message = "`peer_address` equals `http_address`".to_owned();
        reader.report(offset, message);
    }
}

fn identifier<'a>(reader: &Reader<'a>, value: &Value<'a>, what: &str) -> Option<String> {
    let name = reader.text(value, what)?;
    reader
        .check_name(value.start(), name)
        .then(|| name.to_owned())
}

fn address<'a>(reader: &Reader<'a>, value: &Value<'a>, what: &str) -> Option<SocketAddr> {
    let address: SocketAddr = parsed(reader, value, what, "an address like `10.0.0.1:8080`")?;
    if address.port() == 0 {
        reader.report(value.start(), format!("{what} has port 0"));
        return None;
    }
    Some(address)
}

fn parsed<'a, T>(reader: &Reader<'a>, value: &Value<'a>, what: &str, expected: &str) -> Option<T>
where
    T: std::str::FromStr,
{
    let text = reader.text(value, what)?;
    let parsed = text.parse().ok();
    if parsed.is_none() {
        let message = format!("{what} is `{}`: expected {expected}", text.escape_debug());
        reader.report(value.start(), message);
    }
    parsed
}

fn seeds<'a>(reader: &Reader<'a>, value: &Value<'a>, what: &str) -> Option<Vec<SocketAddr>> {
    let array = reader.array(value, what)?;
    let read = |element| address(reader, element, "a seed");
    let seeds: Vec<Option<SocketAddr>> = array.elements.iter().map(read).collect();
    seeds.into_iter().collect()
}

fn limits<'a>(reader: &Reader<'a>, value: &Value<'a>, what: &str) -> Option<Limits> {
    let fields = reader.fields(value, what, &LIMITS)?;
    let default = Limits::default();
    let connections = fields.read_or("connections", default.connections, |v, what| {
        reader.number(v, what, 1..=1_000_000)
    });
    let header_bytes = fields.read_or("header_bytes", default.header_bytes, |v, what| {
        reader.number(v, what, 8_192..=1_048_576)
    });
    let body_bytes = fields.read_or("body_bytes", default.body_bytes, |v, what| {
        reader.number(v, what, 0..=1 << 40)
    });
    let header_timeout_ms =
        fields.read_or("header_timeout_ms", default.header_timeout_ms, |v, what| {
            reader.number(v, what, 1..=600_000)
        });
    let body_pause_ms = fields.read_or("body_pause_ms", default.body_pause_ms, |v, what| {
        reader.number(v, what, 1..=600_000)
    });
    Some(Limits {
        connections: connections?,
        header_bytes: header_bytes?,
        body_bytes: body_bytes?,
        header_timeout_ms: header_timeout_ms?,
        body_pause_ms: body_pause_ms?,
    })
}

fn tls<'a>(
    reader: &Reader<'a>,
    value: &Value<'a>,
    what: &str,
    read_file: ReadFile<'_>,
) -> Option<Tls> {
    let fields = reader.fields(value, what, &TLS)?;
    let read = |name| pem(reader, &fields, name, read_file);
    let (authority, certificate, key) = (read("authority"), read("certificate"), read("key"));
    Some(Tls {
        authority_pem: authority?,
        certificate_pem: certificate?,
        key_pem: key?,
    })
}

fn pem<'a>(
    reader: &Reader<'a>,
    fields: &Fields<'_, 'a>,
    name: &str,
    read_file: ReadFile<'_>,
) -> Option<String> {
    let (file_field, pem_field) = (format!("{name}_file"), format!("{name}_pem"));
    let value = match (fields.optional(&file_field), fields.optional(&pem_field)) {
        (Some(value), None) => value,
        (None, Some(value)) => {
            let text = reader.text(value, &format!("`{pem_field}`"))?;
            return checked_pem(reader, value, &pem_field, text.to_owned());
        }
        (Some(value), Some(_)) => {
            let message = format!("both `{file_field}` and `{pem_field}` are given");
            reader.report(value.start(), message);
            return None;
        }
        (None, None) => {
            let message = format!("missing field `{file_field}` or `{pem_field}` in `tls`");
            reader.report(fields.offset(), message);
            return None;
        }
    };
    let path = reader.text(value, &format!("`{file_field}`"))?;
    match read_file(Path::new(path)) {
        Ok(text) => checked_pem(reader, value, &file_field, text),
        Err(error) => {
            let message = format!("`{file_field}`: cannot read `{path}`: {error}");
            reader.report(value.start(), message);
            None
        }
    }
}

fn checked_pem(
    reader: &Reader<'_>,
    value: &Value<'_>,
    field: &str,
    text: String,
) -> Option<String> {
    if text.contains("-----BEGIN ") {
        return Some(text);
    }
    reader.report(value.start(), format!("`{field}` does not hold PEM"));
    None
}
