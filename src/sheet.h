/*
 * sheet.h - the sheet (the planners' configuration), parsed and validated.
 *
 * Rules: parsing is a pure function of the text, so all instances accept or
 * reject the same texts; a parsed sheet never changes.
 */
#ifndef BS_SHEET_H
#define BS_SHEET_H

#include "boragespur.h"

/* Largest accepted sheet, in bytes. */
#define BS_SHEET_MAX_BYTES (1024 * 1024)

/* A tier of work. */
typedef struct {
    char *name;
    uint32_t rank;               /* 1 is the most urgent */
    uint32_t deadline_ms;        /* used when the caller sets none */
    uint32_t guaranteed_percent; /* of the capacity, reserved for the tier */
    char **yields_to;            /* tiers that may preempt it */
    unsigned yields_to_count;
} BsTier;

/* A model that engines shall serve. */
typedef struct {
    char *name;
    char *version;
    char *next_version;     /* preloaded alongside VERSION, or NULL */
    uint32_t output_tokens; /* expected, when the caller sets no limit */
} BsModel;

/* Routes of a service that share a prefix and method. */
typedef struct {
    char *method; /* "*" matches every method */
    char *prefix;
    char *tier; /* NULL means the tier of the service */
    bool idempotent;
} BsRoute;

/* A plain service. */
typedef struct {
    char *name;
    char *tier;
    uint32_t timeout_ms;
    uint32_t concurrency; /* per upstream */
    BsRoute *routes;
    unsigned routes_count;
} BsService;

/* A client account. */
typedef struct {
    char *name;
    char **token_sha256; /* lower-case hexadecimal */
    unsigned token_sha256_count;
    char *tier;              /* most urgent tier it may use */
    uint32_t weight;         /* of its share inside a tier */
    uint32_t requests_per_s; /* 0 means no limit */
    uint32_t tokens_per_s;   /* 0 means no limit */
} BsAccount;

/* Rules for all accounts whose signed token names this class. */
typedef struct {
    char *name;
    char *tier;              /* most urgent tier they may use */
    uint32_t weight;         /* of each account inside a tier */
    uint32_t requests_per_s; /* for each account; 0 means no limit */
    uint32_t tokens_per_s;   /* for each account; 0 means no limit */
} BsAccountClass;

/* A data centre. */
typedef struct {
    char *name;
    bool open;
} BsDataCentre;

/* Limits of upstreams in cold start. */
typedef struct {
    uint32_t requests; /* in flight while cold */
    uint32_t tokens;   /* in flight while cold */
    uint32_t ramp_ms;  /* time from cold to the full limit */
} BsColdStart;

/* Limits of load orders to engines. */
typedef struct {
    uint32_t loads_at_once; /* loads of one model in the whole fleet */
    uint32_t load_ms;       /* time that a load takes */
} BsOrderLimits;

/* Values of a sheet. */
typedef struct {
    uint32_t format;
    BsTier *tiers;
    unsigned tiers_count;
    BsModel *models;
    unsigned models_count;
    BsService *services;
    unsigned services_count;
    BsAccount *accounts;
    unsigned accounts_count;
    BsAccountClass *account_classes;
    unsigned account_classes_count;
    char **revoked; /* accounts whose signed tokens are refused */
    unsigned revoked_count;
    BsDataCentre *data_centres;
    unsigned data_centres_count;
    BsColdStart cold_start;
    BsOrderLimits orders;
    uint32_t link_bytes_per_s; /* between regions, each way, whole fleet */
    uint32_t retry_percent;    /* retries per hundred requests */
} BsSheetData;

/* A parsed sheet. */
typedef struct BsSheet BsSheet;

/* Parses TEXT; NULL with BS_ERR_SHEET set when it is invalid. */
BsSheet *BsSheet_Parse(const char *text, size_t size_bytes, GError **error);

/* Frees SHEET; NULL is allowed. */
void BsSheet_Destroy(BsSheet *sheet);

/* Returns the parsed values. */
const BsSheetData *BsSheet_Data(const BsSheet *sheet);

/* Returns the tier NAME, or NULL. */
const BsTier *BsSheet_FindTier(const BsSheet *sheet, const char *name);

/* Returns the model NAME, or NULL. */
const BsModel *BsSheet_FindModel(const BsSheet *sheet, const char *name);

/* Returns the service NAME, or NULL. */
const BsService *BsSheet_FindService(const BsSheet *sheet, const char *name);

/* Returns the rules of the account NAME, or NULL.  For "CLASS:NAME" it returns
   the rules of the class, under the name of the class. */
const BsAccount *BsSheet_FindAccount(const BsSheet *sheet, const char *name);

/* Returns the listed account whose token has the given SHA-256, or NULL. */
const BsAccount *BsSheet_FindTokenHash(const BsSheet *sheet,
                                       const char *token_sha256);

/* Returns whether the signed token of the account NAME is revoked. */
bool BsSheet_IsRevoked(const BsSheet *sheet, const char *name);

/* Returns whether the data centre NAME is listed as open. */
bool BsSheet_IsOpen(const BsSheet *sheet, const char *name);

/* Returns the route of SERVICE with the longest prefix that matches METHOD
   and PATH, or NULL. */
const BsRoute *BsSheet_FindRoute(const BsService *service, const char *method,
                                 const char *path);

/* Returns whether work of tier LOWER may be preempted by tier HIGHER. */
bool BsSheet_Yields(const BsSheet *sheet, const char *lower,
                    const char *higher);

/* Returns whether any tier may be preempted by tier NAME. */
bool BsSheet_IsYieldedTo(const BsSheet *sheet, const char *name);

#endif /* BS_SHEET_H */
