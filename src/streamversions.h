/*
 * streamversions.h - which software version of an upstream began a stream that
 * a caller may take up again.
 *
 * What two versions write does not fit together, so a stream goes on at the
 * version that began it.  The instance that gets the next try of a caller need
 * not be the one that got the first.  Instances therefore tell each other the
 * version of each stream, but only of services of which several versions may
 * have begun streams that can still be taken up.  Of the other services, the
 * one version answers for all streams.
 *
 * An instance that sees a new version beside another one says so at once: the
 * others may see it in the list only later.
 *
 * Rules: a version counts from when it was listed, or named in a record, until
 * a stream's longest life after that.  For as long after a time at which the
 * list of upstreams was not current, or a part of the fleet was never heard,
 * no version is taken to be the only one: only records answer.  So an
 * assumption that is made without complete knowledge is never told to others.
 * Records are merged by their generation, so that order, duplicates and routes
 * do not matter.  Memory is bounded; the oldest records are dropped first.
 */
#ifndef BS_STREAMVERSIONS_H
#define BS_STREAMVERSIONS_H

#include "boragespur.h"

/* Of a stream whose version is not sure: no version of any service. */
#define BS_STREAM_VERSION_UNSURE 1

/* What is known of one stream; also the record that instances exchange. */
typedef struct {
    uint64_t key;        /* BsStreamVersions_Key(); 0: of no stream, it says
                            only that VERSION is in service */
    uint64_t version;    /* BsStreamVersions_Hash(); 0: none */
    uint32_t generation; /* the higher one holds; if equal ones name different
                            versions, the version is unknown */
} BsStreamRecord;

/* What an instance asks the others. */
typedef struct {
    uint64_t key;
    uint32_t service; /* BsStreamVersions_HashService() */
    uint32_t origin;  /* address of the instance to answer; 0: the sender */
} BsStreamQuestion;

typedef enum {
    BS_STREAM_VERSION_UNKNOWN = 0, /* not known here; others may know it */
    BS_STREAM_VERSION_KNOWN        /* the version that began the stream, or the
                                      only one that can have begun it */
} BsStreamVersionState;

typedef struct BsStreamVersions BsStreamVersions;

/* Creates an empty table, which has not known the list of upstreams before
   NOW_MS; free it with BsStreamVersions_Destroy(). */
BsStreamVersions *BsStreamVersions_Create(int64_t now_ms);

/* Frees VERSIONS; NULL is allowed. */
void BsStreamVersions_Destroy(BsStreamVersions *versions);

/* Returns the key of the stream that began as REQUEST_ID, a request of ACCOUNT
   (NULL: none) to SERVICE. */
uint64_t BsStreamVersions_Key(const char *service, const char *account,
                              const char *request_id);

/* Returns a hash of the name SERVICE; never 0. */
uint32_t BsStreamVersions_HashService(const char *service);

/* Returns a hash of VERSION (NULL: the same as "") of SERVICE; never 0. */
uint64_t BsStreamVersions_Hash(const char *service, const char *version);

/* Returns the service of VERSION, as BsStreamVersions_HashService(). */
uint32_t BsStreamVersions_Service(uint64_t version);

/* Sets the longest time for which a stream may be taken up after it began, in
   milliseconds; above 0.  A shorter one than before applies when the earlier
   one has passed. */
void BsStreamVersions_SetLife(BsStreamVersions *versions, int64_t life_ms,
                              int64_t now_ms);

/* Records that an upstream of VERSION is listed, or was until now.  Call it
   for all of them at an interval far shorter than the life of a stream. */
void BsStreamVersions_NoteServing(BsStreamVersions *versions, uint64_t version,
                                  int64_t now_ms);

/* Records that the list of upstreams is known to be that of CURRENT_MS or
   later.  Where that is long ago, also because this process was stalled, the
   list counts as not known. */
void BsStreamVersions_NoteCurrent(BsStreamVersions *versions,
                                  int64_t current_ms);

/* Records that the list of upstreams was not known to be current until NOW_MS,
   so that unknown versions may have begun streams. */
void BsStreamVersions_NoteGap(BsStreamVersions *versions, int64_t now_ms);

/* Records that an instance cannot be reached at NOW_MS: it may not know of
   changes, and send requests to upstreams of every version known. */
void BsStreamVersions_NoteUnreachable(BsStreamVersions *versions,
                                      int64_t now_ms);

/* Records whether a part of the fleet is known to exist, or is to be expected,
   of which this instance has heard nothing since its start: any version may
   have begun streams there.  Until it is heard, and for a life of a stream
   after that, only records answer.  Shortly after the start it may take a
   while to hear all; that makes the time no longer for which nothing is known
   after a start anyhow. */
void BsStreamVersions_NoteUnheard(BsStreamVersions *versions, bool unheard,
                                  int64_t now_ms);

/* Records that this instance sends the request of RECORD's stream to an
   upstream, or takes the stream up, which makes all remember it for longer.
   The generation counts the sends before the first event; any one up to that
   of the known record will do for a take-up. */
void BsStreamVersions_Note(BsStreamVersions *versions,
                           const BsStreamRecord *record, int64_t now_ms);

/* Records that the stream KEY, which was noted, is sent to UPSTREAM (a hash;
   0: it goes on at a version that is sure). */
void BsStreamVersions_NoteUpstream(BsStreamVersions *versions, uint64_t key,
                                   uint32_t upstream, int64_t now_ms);

/* Records that UPSTREAM is listed at VERSION since it started again.  What was
   sent there between that start and this moment may have run at VERSION,
   although it was noted with another one: its version is unknown from now on,
   here and at the instances that were told.  Returns the earliest time of such
   a send. */
int64_t BsStreamVersions_NoteRestart(BsStreamVersions *versions,
                                     uint32_t upstream, uint64_t version,
                                     int64_t now_ms);

/* Finds the version at which the stream KEY of SERVICE
   (BsStreamVersions_HashService()) has to go on.  *VERSION is set to 0 when it
   is unknown. */
BsStreamVersionState BsStreamVersions_Find(const BsStreamVersions *versions,
                                           uint64_t key, uint32_t service,
                                           int64_t now_ms, uint64_t *version);

/* Moves the QUESTIONS (BsStreamQuestion) whose streams are known here to
   RECORDS (BsStreamRecord). */
void BsStreamVersions_Answer(const BsStreamVersions *versions,
                             GArray *questions, int64_t now_ms,
                             GArray *records);

/* Returns whether more than one version may have begun streams of SERVICE that
   can still be taken up. */
bool BsStreamVersions_IsMixed(const BsStreamVersions *versions,
                              uint32_t service, int64_t now_ms);

/* Moves up to MAX records of this instance that the others need and were not
   told yet, and those to be repeated, to RECORDS (BsStreamRecord).  When a
   service becomes mixed, these are all its streams that can still be taken
   up. */
void BsStreamVersions_TakeUnsent(BsStreamVersions *versions, guint max,
                                 int64_t now_ms, GArray *records);

/* Makes BsStreamVersions_TakeUnsent() return all records of this instance, and
   the versions in service, again, for an instance that was not told before. */
void BsStreamVersions_SendAgain(BsStreamVersions *versions, int64_t now_ms);

/* Merges the records (BsStreamRecord) that another instance sent.  Returns
   whether one of them was new. */
bool BsStreamVersions_Merge(BsStreamVersions *versions, const GArray *records,
                            int64_t now_ms);

/* Calls FUNC for each service that became mixed, or is no longer mixed, since
   the last call; VERSIONS_COUNT is the number of versions that count. */
void BsStreamVersions_EachChange(BsStreamVersions *versions, int64_t now_ms,
                                 void (*func)(uint32_t service, bool mixed,
                                              uint32_t versions_count,
                                              void *context),
                                 void *context);

/* Returns how many records are known. */
uint32_t BsStreamVersions_Count(const BsStreamVersions *versions);

/* Returns how many records were dropped before their age was over. */
uint64_t BsStreamVersions_Dropped(const BsStreamVersions *versions);

#endif /* BS_STREAMVERSIONS_H */
