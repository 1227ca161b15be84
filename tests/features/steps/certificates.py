"""Self-signed certificates for scenarios."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

VALIDITY = timedelta(days=1)


def write_certificates(folder: Path, name: str) -> dict[str, str]:
    """Write a self-signed certificate and its key; return the settings."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.now(UTC)
    builder = x509.CertificateBuilder(subject, subject, key.public_key())
    certificate = (
        builder.serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), True)
        .sign(key, SHA256())
    )
    paths = folder / f'{name}.pem', folder / f'{name}.key'
    paths[0].write_bytes(certificate.public_bytes(Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    )
    return {
        'certificate': str(paths[0]),
        'key': str(paths[1]),
        'authority': str(paths[0]),
    }
