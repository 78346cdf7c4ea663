// Certificates for tests of TLS.
#include "certificate.h"

#include <ctime>
#include <fstream>
#include <gnutls/x509.h>

namespace {

constexpr int kDayS = 86400;

std::string
Export(gnutls_x509_crt_t certificate)
{
    gnutls_datum_t text;
    gnutls_x509_crt_export2(certificate, GNUTLS_X509_FMT_PEM, &text);
    std::string result(reinterpret_cast<char *>(text.data), text.size);
    gnutls_free(text.data);
    return result;
}

std::string
Export(gnutls_x509_privkey_t key)
{
    gnutls_datum_t text;
    gnutls_x509_privkey_export2(key, GNUTLS_X509_FMT_PEM, &text);
    std::string result(reinterpret_cast<char *>(text.data), text.size);
    gnutls_free(text.data);
    return result;
}

} // namespace

void
WritePair(const std::string &certificate_file, const std::string &key_file)
{
    const unsigned char address[] = {127, 0, 0, 1};
    gnutls_x509_privkey_t key;
    gnutls_x509_crt_t certificate;
    gnutls_x509_privkey_init(&key);
    gnutls_x509_privkey_generate(
        key, GNUTLS_PK_ECDSA, GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1),
        0);
    gnutls_x509_crt_init(&certificate);
    gnutls_x509_crt_set_version(certificate, 3);
    gnutls_x509_crt_set_serial(certificate, "\1", 1);
    gnutls_x509_crt_set_activation_time(certificate, time(nullptr) - kDayS);
    gnutls_x509_crt_set_expiration_time(certificate, time(nullptr) + kDayS);
    gnutls_x509_crt_set_dn(certificate, "CN=test", nullptr);
    gnutls_x509_crt_set_key(certificate, key);
    gnutls_x509_crt_set_subject_alt_name(certificate, GNUTLS_SAN_IPADDRESS,
                                         address, sizeof(address),
                                         GNUTLS_FSAN_SET);
    gnutls_x509_crt_set_basic_constraints(certificate, 1, -1);
    gnutls_x509_crt_sign2(certificate, certificate, key, GNUTLS_DIG_SHA256, 0);
    std::ofstream(certificate_file, std::ios::trunc) << Export(certificate);
    std::ofstream(key_file, std::ios::trunc) << Export(key);
    gnutls_x509_crt_deinit(certificate);
    gnutls_x509_privkey_deinit(key);
}
