//! Validation of a daemon's settings.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::decode::{Fields, Reader};
use crate::settings::{Balance, Limits, LogFormat, Prefer, Settings, Tls, default_keep_s};

/// Names of the fields of [`Settings`].
const SETTINGS_FIELDS: [&str; 14] = [
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

/// Names of the fields of [`Limits`].
const LIMITS_FIELDS: [&str; 5] = [
    "connections",
    "header_bytes",
    "body_bytes",
    "header_timeout_ms",
    "body_pause_ms",
];

/// Names of the fields of `tls`. Each PEM text is given either inline or as the path of a file.
const TLS_FIELDS: [&str; 6] = [
    "authority_file",
    "authority_pem",
    "certificate_file",
    "certificate_pem",
    "key_file",
    "key_pem",
];

/// Maximum time for which callers may cache an address response: one hour.
const KEEP_MAX_S: u64 = 3_600;

/// Function that returns the content of a PEM file.
pub(crate) type ReadFile<'f> = &'f dyn Fn(&Path) -> io::Result<String>;

/// Reads the settings and the PEM files that they name.
pub(crate) fn settings<'a>(
    reader: &Reader<'a>,
    value: &Value<'a>,
    read_file: ReadFile<'_>,
) -> Option<Settings> {
    let fields = reader.fields(value, "the settings", &SETTINGS_FIELDS)?;
    let name = fields.read("name", |v, subject| valid_name(reader, v, subject));
    let region = fields.read("region", |v, subject| valid_name(reader, v, subject));
    let domain = fields.read("domain", |v, subject| valid_name(reader, v, subject));
    let http_address = fields.read("http_address", |v, subject| address(reader, v, subject));
    let peer_address = fields.read("peer_address", |v, subject| address(reader, v, subject));
    let platform_address =
        fields.read("platform_address", |v, subject| address(reader, v, subject));
    let seeds = fields.read_or("seeds", Vec::new(), |v, subject| seeds(reader, v, subject));
    let tls = fields.read("tls", |v, subject| tls(reader, v, subject, read_file));
    let keywords = [
        ("detection", Prefer::Detection),
        ("stability", Prefer::Stability),
    ];
    let prefer = fields.read_or("prefer", Prefer::default(), |v, subject| {
        reader.keyword(v, subject, &keywords)
    });
    let keep_s = fields.read_or("keep_s", default_keep_s(), |v, subject| {
        reader.integer(v, subject, 1..=KEEP_MAX_S)
    });
    let limits = fields.read_or("limits", Limits::default(), |v, subject| {
        limits(reader, v, subject)
    });
    let keywords = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log = fields.read_or("log", LogFormat::default(), |v, subject| {
        reader.keyword(v, subject, &keywords)
    });
    let keywords = [("owners", Balance::Owners), ("alone", Balance::Alone)];
    let balance = fields.read_or("balance", Balance::default(), |v, subject| {
        reader.keyword(v, subject, &keywords)
    });
    let outbound_ip = fields.read_or("outbound_ip", None, |v, subject| {
        parse_string(reader, v, subject, "an IP address").map(Some)
    });
    check_addresses_differ(reader, &fields, http_address, peer_address);
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

fn check_addresses_differ(
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

fn valid_name<'a>(reader: &Reader<'a>, value: &Value<'a>, subject: &str) -> Option<String> {
    let name = reader.string(value, subject)?;
    reader
        .check_name(value.start(), name)
        .then(|| name.to_owned())
}

fn address<'a>(reader: &Reader<'a>, value: &Value<'a>, subject: &str) -> Option<SocketAddr> {
    let address: SocketAddr =
        parse_string(reader, value, subject, "an address like `10.0.0.1:8080`")?;
    if address.port() == 0 {
        reader.report(value.start(), format!("{subject} has port 0"));
        return None;
    }
    Some(address)
}

fn parse_string<'a, T>(
    reader: &Reader<'a>,
    value: &Value<'a>,
    subject: &str,
    expected: &str,
) -> Option<T>
where
    T: std::str::FromStr,
{
    let text = reader.string(value, subject)?;
    let parsed = text.parse().ok();
    if parsed.is_none() {
        let message = format!(
            "{subject} is `{}`: expected {expected}",
            text.escape_debug()
        );
        reader.report(value.start(), message);
    }
    parsed
}

fn seeds<'a>(reader: &Reader<'a>, value: &Value<'a>, subject: &str) -> Option<Vec<SocketAddr>> {
    let array = reader.array(value, subject)?;
    let read = |element| address(reader, element, "a seed");
    let seeds: Vec<Option<SocketAddr>> = array.elements.iter().map(read).collect();
    seeds.into_iter().collect()
}

fn limits<'a>(reader: &Reader<'a>, value: &Value<'a>, subject: &str) -> Option<Limits> {
    let fields = reader.fields(value, subject, &LIMITS_FIELDS)?;
    let default = Limits::default();
    let connections = fields.read_or("connections", default.connections, |v, subject| {
        reader.integer(v, subject, 1..=1_000_000)
    });
    let header_bytes = fields.read_or("header_bytes", default.header_bytes, |v, subject| {
        reader.integer(v, subject, 8_192..=1_048_576)
    });
    let body_bytes = fields.read_or("body_bytes", default.body_bytes, |v, subject| {
        reader.integer(v, subject, 0..=1 << 40)
    });
    let header_timeout_ms = fields.read_or(
        "header_timeout_ms",
        default.header_timeout_ms,
        |v, subject| reader.integer(v, subject, 1..=600_000),
    );
    let body_pause_ms = fields.read_or("body_pause_ms", default.body_pause_ms, |v, subject| {
        reader.integer(v, subject, 1..=600_000)
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
    subject: &str,
    read_file: ReadFile<'_>,
) -> Option<Tls> {
    let fields = reader.fields(value, subject, &TLS_FIELDS)?;
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
            let text = reader.string(value, &format!("`{pem_field}`"))?;
            return check_pem(reader, value, &pem_field, text.to_owned());
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
    let path = reader.string(value, &format!("`{file_field}`"))?;
    match read_file(Path::new(path)) {
        Ok(text) => check_pem(reader, value, &file_field, text),
        Err(error) => {
            let message = format!("`{file_field}`: cannot read `{path}`: {error}");
            reader.report(value.start(), message);
            None
        }
    }
}

fn check_pem(reader: &Reader<'_>, value: &Value<'_>, field: &str, text: String) -> Option<String> {
    if text.contains("-----BEGIN ") {
        return Some(text);
    }
    reader.report(value.start(), format!("`{field}` does not hold PEM"));
    None
}
