/*
 * catalog.h - the routing configuration: routes, services and accounts.
 *
 * Rules: a catalog never changes after it is built; a newer version replaces
 * it as a whole.  A reader that keeps it beyond a call holds a reference.
 */
#ifndef BS_CATALOG_H
#define BS_CATALOG_H

#include "boragespur.h"

/* Whether the requests of a route may run more than once. */
typedef enum {
    BS_ROUTE_SAFE,   /* idempotent */
    BS_ROUTE_UNSAFE, /* runs at most once */
    BS_ROUTE_STREAM  /* event stream; may run again when resumable */
} BsCatalogKind;

/* One service that a route leads to, and its share of the traffic. */
typedef struct {
    char *service;
    uint32_t weight;
} BsCatalogShare;

/* A route; strings are owned by the catalog. */
typedef struct {
    char *name;
    char *host;         /* lower case */
    char *prefix;       /* begins and ends with '/' */
    GArray *shares;     /* BsCatalogShare, at least one */
    GPtrArray *regions; /* char *; allowed regions, empty for all */
    BsCatalogKind kind;
    uint32_t timeout_ms; /* longest time to an answer */
    uint32_t target_ms; /* latency objective; of streams, to the first event */
    uint32_t gap_ms;    /* objective for the pause between two events */
    uint32_t attempts_max;
    uint32_t rank; /* 0 is the most urgent */
    bool keyless;  /* public: callers need no key */
    bool resumable;
} BsCatalogRoute;

/* A service. */
typedef struct {
    char *name;
    char *health_path;
    uint32_t connections_max; /* to each upstream; 0 means no limit */
    uint32_t cold_ms;         /* time from an upstream's start to full speed */
    double cold_per_s;        /* request rate that a cold upstream can handle;
                                 0 means no limit */
    bool engine;              /* upstreams batch model requests */
} BsCatalogService;

/* A client account. */
typedef struct {
    char *name;
    GPtrArray *keys;       /* char * */
    GPtrArray *regions;    /* char *; allowed regions, empty for all */
    uint32_t rank;         /* 0 is the most urgent */
    bool has_rank;         /* RANK is set; it is compared before the route's */
    bool counts_tokens;    /* PER_S and BURST are tokens, not requests */
    uint32_t plain_tokens; /* cost in tokens of a request without a count */
    double per_s;          /* rate limit; 0 means no limit */
    double burst;          /* bucket size of the rate limit */
} BsCatalogAccount;

/* Limits on what callers may send. */
typedef struct {
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
} BsCatalogLimits;

typedef struct BsCatalog BsCatalog;

/* Creates an empty catalog of VERSION with one reference. */
BsCatalog *BsCatalog_Create(uint64_t version, const BsCatalogLimits *limits);

/* Adds a reference. */
BsCatalog *BsCatalog_Ref(BsCatalog *catalog);

/* Drops a reference; NULL is allowed. */
void BsCatalog_Unref(BsCatalog *catalog);

/* Creates an empty route, service or account, with empty lists. */
BsCatalogRoute *BsCatalogRoute_Create(void);
BsCatalogService *BsCatalogService_Create(void);
BsCatalogAccount *BsCatalogAccount_Create(void);

void BsCatalogRoute_Destroy(BsCatalogRoute *route);
void BsCatalogService_Destroy(BsCatalogService *service);
void BsCatalogAccount_Destroy(BsCatalogAccount *account);

/* Adds an item while the catalog is built, and takes ownership of it. */
void BsCatalog_AddRoute(BsCatalog *catalog, BsCatalogRoute *route);
void BsCatalog_AddService(BsCatalog *catalog, BsCatalogService *service);
void BsCatalog_AddAccount(BsCatalog *catalog, BsCatalogAccount *account);

uint64_t BsCatalog_Version(const BsCatalog *catalog);
const BsCatalogLimits *BsCatalog_Limits(const BsCatalog *catalog);

/* Returns the route of HOST (lower case) with the longest prefix of TARGET, or
   NULL. */
const BsCatalogRoute *BsCatalog_FindRoute(const BsCatalog *catalog,
                                          const char *host,
                                          const char *target);

/* Returns the service NAME, or NULL. */
const BsCatalogService *BsCatalog_FindService(const BsCatalog *catalog,
                                              const char *name);

/* Returns the account NAME, or NULL. */
const BsCatalogAccount *BsCatalog_FindAccount(const BsCatalog *catalog,
                                              const char *name);

/* Returns the account that holds KEY, or NULL. */
const BsCatalogAccount *BsCatalog_FindKey(const BsCatalog *catalog,
                                          const char *key);

/* Calls FUNC for each account. */
void BsCatalog_EachAccount(const BsCatalog *catalog,
                           void (*func)(const BsCatalogAccount *account,
                                        void *context),
                           void *context);

/* Returns the longest time-out of a stream's route that callers may take up
   again, in milliseconds; 0 without such routes. */
uint32_t BsCatalog_LongestStreamMs(const BsCatalog *catalog);

/* Returns the service for a request on ROUTE, chosen by weight; equal SEEDs
   give the same service. */
const char *BsCatalogRoute_PickService(const BsCatalogRoute *route,
                                       uint64_t seed);

/* Returns whether a request on ROUTE may run more than once. */
bool BsCatalogRoute_MayRepeat(const BsCatalogRoute *route);

/* Returns whether ROUTE and ACCOUNT both allow REGION; ACCOUNT may be NULL. */
bool BsCatalog_AllowsRegion(const BsCatalogRoute *route,
                            const BsCatalogAccount *account,
                            const char *region);

#endif /* BS_CATALOG_H */
