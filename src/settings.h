/*
 * settings.h - the settings file of an instance.
 *
 * Rules: a file is accepted as a whole or rejected with one line that names
 * the file, the key, the allowed values and the remedy; settings never change
 * while the instance runs.
 */
#ifndef BS_SETTINGS_H
#define BS_SETTINGS_H

#include "boragespur.h"

#include <sys/socket.h>

/* CurveZMQ keys that encrypt traffic between peers, 40 characters of Z85. */
typedef struct {
    char *public_key; /* shared by the fleet */
    char *secret_key; /* shared by the fleet */
    char **allowed;   /* public keys accepted besides PUBLIC_KEY */
    unsigned allowed_count;
} BsCurveSettings;

/* Paths of the certificate and key files, in PEM format. */
typedef struct {
    char *certificate;
    char *key;
} BsTlsSettings;

/* Limits on the resources that callers can make an instance use. */
typedef struct {
    uint32_t header_bytes; /* of one request */
    uint32_t body_bytes;   /* of one request */
    uint32_t connections;
    uint32_t requests;
    uint64_t queue_bytes; /* of all request bodies held */
    uint32_t records;     /* at-most-once records */
} BsLimitSettings;

/* Export of trace spans. */
typedef struct {
    char *url;
    uint32_t sample_percent;
} BsTracingSettings;

/* Settings of an instance. */
typedef struct {
    char *name;
    char *data_centre;
    char *region;
    char *callers;   /* IP:port */
    char *admin;     /* IP:port */
    char *peers;     /* IP:port */
    char **platform; /* URLs */
    unsigned platform_count;
    char *secret;           /* read from SECRET_FILE when that is set */
    char *secret_file;      /* path, or NULL */
    BsCurveSettings *curve; /* NULL without encryption */
    BsTlsSettings *tls;     /* NULL for plain HTTP */
    BsLimitSettings limits;
    BsTracingSettings *tracing; /* NULL without export */
    char *policy; /* name of a BsPolicy, or NULL for the default */
    uint32_t lease_ms;
    uint32_t list_lag_ms;
    uint32_t resend_window_ms;
    uint32_t digest_ms;
    uint32_t drain_limit_ms;
    bool insecure; /* allows peers without encryption beyond loopback */
    bool fresh_fleet;
} BsSettings;

/* Reads and checks FILE; NULL with BS_ERR_SETTINGS set when it is missing or
   invalid. */
BsSettings *BsSettings_Load(const char *file, GError **error);

/* Frees SETTINGS; NULL is allowed. */
void BsSettings_Destroy(BsSettings *settings);

/* Fills CONFIG for a core; strings stay owned by SETTINGS. */
void BsSettings_FillConfig(const BsSettings *settings, BsCoreConfig *config);

/* Returns the BsPolicy named by the settings, or -1 for an unknown name. */
int BsSettings_Policy(const BsSettings *settings);

/* Parses IP:port, with an IPv6 address in brackets, into ADDRESS and LENGTH;
   returns whether TEXT is valid. */
bool BsSettings_ParseAddress(const char *text,
                             struct sockaddr_storage *address,
                             socklen_t *length);

#endif /* BS_SETTINGS_H */
