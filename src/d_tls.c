/* d_tls.c - the TLS certificate for callers, reloaded without a restart. */
#include "d_tls.h"

#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <syslog.h>

#define CHECK_INTERVAL_S 5.0
#define CHAIN_MAX 8
#define KEY_ID_BYTES 64

/* The newest certificate is in use; older ones are kept for handshakes that
   began before a reload. */
#define CERTIFICATES_MAX 4

/* One loaded certificate chain with its key. */
typedef struct {
    gnutls_pcert_st chain[CHAIN_MAX];
    unsigned chain_count;
    gnutls_privkey_t key;
} BsCertificate;

struct BsTls {
    BsLoop *loop;
    GPtrArray *certificates; /* BsCertificate, the newest last */
    ev_timer check;
    ev_signal hangup;
    struct timespec mtimes[2]; /* of the certificate and key files */
};

static BsTls *S_tls;

static void
S_destroy_certificate(void *data)
{
    BsCertificate *certificate = data;
    for (unsigned i = 0; i < certificate->chain_count; i++) {
        gnutls_pcert_deinit(&certificate->chain[i]);
    }
    if (certificate->key != NULL) {
        gnutls_privkey_deinit(certificate->key);
    }
    g_free(certificate);
}

static bool
S_set_error(GError **error, const char *key, const char *file, int code)
{
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s: %s: %s; allowed: PEM files of a certificate chain and "
                "its key; correct the file",
                key, file, gnutls_strerror(code));
    return false;
}

static bool
S_read_file(const char *key, const char *file, gnutls_datum_t *datum,
            GError **error)
{
    char *text = NULL;
    gsize size = 0;
    if (!g_file_get_contents(file, &text, &size, NULL)) {
        return S_set_error(error, key, file, GNUTLS_E_FILE_ERROR);
    }
    datum->data = (unsigned char *)text;
    datum->size = (unsigned)size;
    return true;
}

static bool
S_load_chain(BsCertificate *certificate, const char *file, GError **error)
{
    gnutls_datum_t datum;
    if (!S_read_file("tls.certificate", file, &datum, error)) {
        return false;
    }
    unsigned count = CHAIN_MAX;
    int code = gnutls_pcert_list_import_x509_raw(
        certificate->chain, &count, &datum, GNUTLS_X509_FMT_PEM, 0);
    g_free(datum.data);
    if (code < 0 || count == 0) {
        return S_set_error(error, "tls.certificate", file, code);
    }
    certificate->chain_count = count;
    return true;
}

static bool
S_load_key(BsCertificate *certificate, const char *file, GError **error)
{
    gnutls_datum_t datum;
    if (!S_read_file("tls.key", file, &datum, error)) {
        return false;
    }
    gnutls_privkey_init(&certificate->key);
    int code = gnutls_privkey_import_x509_raw(certificate->key, &datum,
                                              GNUTLS_X509_FMT_PEM, NULL, 0);
    g_free(datum.data);
    return code >= 0 || S_set_error(error, "tls.key", file, code);
}

/* Returns whether the private key belongs to the first certificate of the
   chain. */
static bool
S_key_matches(const BsCertificate *certificate)
{
    unsigned char ids[2][KEY_ID_BYTES];
    size_t sizes[2] = {KEY_ID_BYTES, KEY_ID_BYTES};
    gnutls_pubkey_t public_key;
    gnutls_pubkey_init(&public_key);
    bool matches =
        gnutls_pubkey_import_privkey(public_key, certificate->key, 0, 0) >=
            0 &&
        gnutls_pubkey_get_key_id(public_key, 0, ids[0], &sizes[0]) >= 0 &&
        gnutls_pubkey_get_key_id(certificate->chain[0].pubkey, 0, ids[1],
                                 &sizes[1]) >= 0 &&
        sizes[0] == sizes[1] && memcmp(ids[0], ids[1], sizes[0]) == 0;
    gnutls_pubkey_deinit(public_key);
    return matches;
}

/* Reads both files and makes them the current certificate; on failure, the
   current one stays. */
static bool
S_load(BsTls *tls, GError **error)
{
    const BsTlsSettings *settings = BsLoop_Settings(tls->loop)->tls;
    BsCertificate *certificate = g_new0(BsCertificate, 1);
    bool loaded = S_load_chain(certificate, settings->certificate, error) &&
                  S_load_key(certificate, settings->key, error);
    if (loaded && !S_key_matches(certificate)) {
        loaded = S_set_error(error, "tls.key", settings->key,
                             GNUTLS_E_CERTIFICATE_KEY_MISMATCH);
    }
    if (!loaded) {
        S_destroy_certificate(certificate);
        return false;
    }
    g_ptr_array_add(tls->certificates, certificate);
    if (tls->certificates->len > CERTIFICATES_MAX) {
        g_ptr_array_remove_index(tls->certificates, 0);
    }
    return true;
}

/* Stores the modification times of both files; returns whether one
   changed. */
static bool
S_update_mtimes(BsTls *tls)
{
    const BsTlsSettings *settings = BsLoop_Settings(tls->loop)->tls;
    const char *files[2] = {settings->certificate, settings->key};
    bool changed = false;
    for (int i = 0; i < 2; i++) {
        struct stat status;
        if (stat(files[i], &status) == 0 &&
            memcmp(&status.st_mtim, &tls->mtimes[i], sizeof(status.st_mtim)) !=
                0) {
            tls->mtimes[i] = status.st_mtim;
            changed = true;
        }
    }
    return changed;
}

static void
S_reload(BsTls *tls)
{
    GError *error = NULL;
    if (S_load(tls, &error)) {
        BsLoop_Count(tls->loop, "tls_reloads", 1);
        BsLoop_Log(tls->loop, LOG_NOTICE, "certificate reloaded");
        return;
    }
    BsLoop_Count(tls->loop, "tls_reloads_failed", 1);
    BsLoop_Log(tls->loop, LOG_ERR,
               "certificate not reloaded, the current one stays: %s",
               error->message);
    g_error_free(error);
}

static void
S_on_check(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    if (S_update_mtimes(watcher->data)) {
        S_reload(watcher->data);
    }
}

static void
S_on_hangup(struct ev_loop *ev, ev_signal *watcher, int events)
{
    (void)ev;
    (void)events;
    S_update_mtimes(watcher->data);
    S_reload(watcher->data);
}

/* Callback of GnuTLS: supplies a handshake with the newest certificate. */
static int
S_provide_certificate(gnutls_session_t session,
                      const gnutls_datum_t *authorities, int authority_count,
                      const gnutls_pk_algorithm_t *algorithms,
                      int algorithm_count, gnutls_pcert_st **chain,
                      unsigned *chain_count, gnutls_privkey_t *key)
{
    (void)session;
    (void)authorities;
    (void)authority_count;
    (void)algorithms;
    (void)algorithm_count;
    if (S_tls == NULL) {
        return -1;
    }
    GPtrArray *all = S_tls->certificates;
    BsCertificate *newest = all->pdata[all->len - 1];
    *chain = newest->chain;
    *chain_count = newest->chain_count;
    *key = newest->key;
    return 0;
}

void *
BsTls_Callback(void)
{
    return (void *)S_provide_certificate;
}

BsTls *
BsTls_Create(BsLoop *loop, GError **error)
{
    BsTls *tls = g_new0(BsTls, 1);
    tls->loop = loop;
    tls->certificates = g_ptr_array_new_with_free_func(S_destroy_certificate);
    ev_timer_init(&tls->check, S_on_check, CHECK_INTERVAL_S, CHECK_INTERVAL_S);
    tls->check.data = tls;
    ev_signal_init(&tls->hangup, S_on_hangup, SIGHUP);
    tls->hangup.data = tls;
    S_update_mtimes(tls);
    if (!S_load(tls, error)) {
        BsTls_Destroy(tls);
        return NULL;
    }
    ev_timer_start(BsLoop_Ev(loop), &tls->check);
    ev_signal_start(BsLoop_Ev(loop), &tls->hangup);
    S_tls = tls;
    return tls;
}

void
BsTls_Destroy(BsTls *tls)
{
    if (tls == NULL) {
        return;
    }
    S_tls = NULL;
    ev_timer_stop(BsLoop_Ev(tls->loop), &tls->check);
    ev_signal_stop(BsLoop_Ev(tls->loop), &tls->hangup);
    g_ptr_array_unref(tls->certificates);
    g_free(tls);
}
